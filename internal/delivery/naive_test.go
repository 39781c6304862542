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
	"daisyslip.dev/daisyslip/internal/sse"
	"daisyslip.dev/daisyslip/internal/work"
)

// naiveDispatcher is what a first version does: it asks the endpoints in
// turn, passes on every piece that arrives, takes the end of the connection
// for the end of the answer, waits as long as it takes, and starts over at
// the next endpoint when an attempt fails.
type naiveDispatcher struct {
	bench *bench
	next  atomic.Int64
}

// Generate implements work.Generator.
func (d *naiveDispatcher) Generate(ctx context.Context, g *work.Generation, sink work.Sink) (work.Outcome, error) {
	var outcome work.Outcome
	var last error
	for range d.bench.engines {
		i := int(d.next.Add(1)-1) % len(d.bench.engines)
		outcome.Attempts++
		if last = d.attempt(ctx, d.bench.document.Endpoints[i].URL, g, sink, &outcome.Usage); last == nil || ctx.Err() != nil {
			break
		}
	}
	return outcome, last
}

func (d *naiveDispatcher) attempt(ctx context.Context, url string, g *work.Generation, sink work.Sink, used *work.Usage) error {
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
	resp, err := d.bench.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return d.read(sse.NewReader(resp.Body, 1<<20), sink, used)
}

func (d *naiveDispatcher) read(events *sse.Reader, sink work.Sink, used *work.Usage) error {
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
		used.CompletionTokens++
		if err := sink(work.Piece{Text: text, Tokens: 1}); err != nil {
			return err
		}
	}
}

func messagesOf(g *work.Generation) []engine.Message {
	var messages []engine.Message
	if err := json.Unmarshal(g.Messages, &messages); err != nil {
		panic(err)
	}
	return messages
}
