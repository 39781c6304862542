package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// sampleMaxTokens is the largest number of tokens of a sample completion.
const sampleMaxTokens = 12

// Sample sends a few requests through every router of the fleet, and prints the
// responses, the balance of the budget and the merged events of all routers to out.
func Sample(ctx context.Context, f *Fleet, out io.Writer) error {
	for i, url := range f.info.Routers {
		if err := sampleChat(ctx, url, i, out); err != nil {
			return err
		}
	}
	if err := sampleCalls(ctx, f, out); err != nil {
		return err
	}
	if err := sampleBalance(ctx, f, out); err != nil {
		return err
	}
	return sampleEvents(ctx, f, out)
}

// sampleChat requests a completion from the router at url, which is router i from 0.
func sampleChat(ctx context.Context, url string, i int, out io.Writer) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"Summarise the season of bin %d."}]}`, ModelName, sampleMaxTokens, i+1)
	response, err := send(ctx, http.MethodPost, url+engine.PathChat, body, "")
	if err != nil {
		return err
	}
	var completion engine.Chunk
	if err := json.Unmarshal(response, &completion); err != nil {
		return fmt.Errorf("decode completion of %s: %w", url, err)
	}
	fmt.Fprintf(out, "completion from %s: %s(%d tokens)\n", url, completion.Choices[0].Message.Content, completion.Usage.TotalTokens)
	return nil
}

// sampleCalls sends a service call with the same idempotency key through every router,
// and prints how many times the service executed it.
func sampleCalls(ctx context.Context, f *Fleet, out io.Writer) error {
	for _, url := range f.info.Routers {
		response, err := send(ctx, http.MethodPost, url+"/v1/services/"+ServiceName+"/bins/7/fan", `{"on":true}`, "sample-fan-7")
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "fan call at %s: %s\n", url, strings.TrimSpace(string(response)))
	}
	fmt.Fprintf(out, "the service ran the call %d time(s)\n", f.Service.ExecutionCount("sample-fan-7"))
	return nil
}

// sampleBalance prints the balance of the workspace's budget.
func sampleBalance(ctx context.Context, f *Fleet, out io.Writer) error {
	c := client.New(f.info.Operator, OperatorToken, "sample")
	balance, err := c.Balance(ctx, budget.Account{Workspace: WorkspaceName, Budget: catalog.DefaultBudget})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "budget: paid %d, unspent %d, held %d, settled %d, in doubt %d\n",
		balance.Paid, balance.Unspent, balance.Held, balance.Settled, balance.InDoubt)
	return nil
}

// sampleEvents prints the events of all routers in the order of their timestamps.
func sampleEvents(ctx context.Context, f *Fleet, out io.Writer) error {
	var sources []timeline.Source
	for _, url := range f.info.Operators {
		sources = append(sources, client.New(url, OperatorToken, "sample"))
	}
	events, notices := timeline.NewCollector(sources).All(ctx, timeline.Filter{})
	for _, n := range notices {
		if n.Err != nil {
			return n.Err
		}
	}
	fmt.Fprintln(out, "time line:")
	for _, e := range events {
		fmt.Fprintln(out, "  "+timeline.FormatEvent(e))
	}
	return nil
}

// send sends a request with the workspace's access key and returns the body of the
// response. It returns an error for a status other than 200.
func send(ctx context.Context, method, url, body, idempotencyKey string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, fmt.Errorf("create request %s %s: %w", method, url, err)
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send %s %s: %w", method, url, err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, response)
	}
	if err != nil {
		return nil, fmt.Errorf("response to %s %s: %w", method, url, err)
	}
	return response, nil
}
