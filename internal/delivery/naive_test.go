package delivery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/sse"
)

// naiveDispatcher is a simple implementation of requests.Generator to compare with. It
// sends requests to the endpoints in turn, forwards every piece that arrives, takes
// the end of the connection for the end of the response, has no timeouts of its own,
// and starts the response over at the next endpoint when an attempt fails.
type naiveDispatcher struct {
	testbed *testbed
	next    atomic.Int64
}

// Generate implements requests.Generator.
func (d *naiveDispatcher) Generate(ctx context.Context, g *requests.Generation, sink requests.Sink) (requests.Outcome, error) {
	var outcome requests.Outcome
	var lastErr error
	for range d.testbed.engines {
		i := int(d.next.Add(1)-1) % len(d.testbed.engines)
		outcome.Attempts++
		if lastErr = d.attempt(ctx, d.testbed.document.Endpoints[i].URL, g, sink, &outcome.Usage); lastErr == nil || ctx.Err() != nil {
			break
		}
	}
	return outcome, lastErr
}

// attempt sends the request to one endpoint and forwards its stream.
func (d *naiveDispatcher) attempt(ctx context.Context, url string, g *requests.Generation, sink requests.Sink, usage *requests.Usage) error {
	body, err := json.Marshal(engine.ChatRequest{
		Model: g.Model, Messages: messagesOf(g), MaxTokens: g.MaxTokens, Stream: true, AddGenerationPrompt: true,
		StreamOptions: &engine.StreamOptions{IncludeUsage: true, ContinuousUsage: true},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(engine.RequestIDHeader, g.RequestID)
	resp, err := d.testbed.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return d.forwardStream(sse.NewReader(resp.Body, 1<<20), sink, usage)
}

// forwardStream forwards the pieces of a stream to sink and counts one token for each.
// It takes the end of the connection for the end of the response.
func (d *naiveDispatcher) forwardStream(events *sse.Reader, sink requests.Sink, usage *requests.Usage) error {
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) || string(data) == engine.StreamEndMarker {
			return nil
		}
		if err != nil {
			return err
		}
		var chunk engine.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		text := chunk.Choices[0].Delta.Content
		if text == "" {
			continue
		}
		usage.CompletionTokens++
		if err := sink(requests.Piece{Text: text, Tokens: 1}); err != nil {
			return err
		}
	}
}

// messagesOf decodes the messages of a generation.
func messagesOf(g *requests.Generation) []engine.Message {
	var messages []engine.Message
	if err := json.Unmarshal(g.Messages, &messages); err != nil {
		panic(err)
	}
	return messages
}
