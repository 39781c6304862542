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

// sampleTokens is the answer length of the sample's completions.
const sampleTokens = 12

// Sample sends a few requests through every router of the fleet, and prints
// the answers, the budget and the merged time line.
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

func sampleChat(ctx context.Context, url string, i int, out io.Writer) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"Summarise the season of bin %d."}]}`, ModelName, sampleTokens, i+1)
	answer, err := send(ctx, http.MethodPost, url+engine.PathChat, body, "")
	if err != nil {
		return err
	}
	var completion engine.Chunk
	if err := json.Unmarshal(answer, &completion); err != nil {
		return fmt.Errorf("decode completion of %s: %w", url, err)
	}
	fmt.Fprintf(out, "completion from %s: %s(%d tokens)\n", url, completion.Choices[0].Message.Content, completion.Usage.TotalTokens)
	return nil
}

// sampleCalls switches a fan once, though all routers are asked.
func sampleCalls(ctx context.Context, f *Fleet, out io.Writer) error {
	for _, url := range f.info.Routers {
		answer, err := send(ctx, http.MethodPost, url+"/v1/services/"+ServiceName+"/bins/7/fan", `{"on":true}`, "sample-fan-7")
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "fan call at %s: %s\n", url, strings.TrimSpace(string(answer)))
	}
	fmt.Fprintf(out, "the service ran the call %d time(s)\n", f.Service.ExecutionCount("sample-fan-7"))
	return nil
}

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

// sampleEvents prints the events of all routers in order of their stamps.
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

// send sends a request with the workspace's key and returns a 200 answer.
func send(ctx context.Context, method, url, body, key string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, fmt.Errorf("make %s %s: %w", method, url, err)
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send %s %s: %w", method, url, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	if err != nil {
		return nil, fmt.Errorf("answer of %s %s: %w", method, url, err)
	}
	return answer, nil
}
