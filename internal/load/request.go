package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/sse"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// send sends one request and adds what it saw to result.
func (r *runner) send(ctx context.Context, result *Result, n int64) {
	seen := Observation{Target: result.Target, StartedAt: time.Now()}
	if err := r.exchange(ctx, result, n, &seen); err != nil {
		seen.Failure = err.Error()
		result.failed(seen.Failure)
	}
	seen.EndedAt = time.Now()
	if r.options.Observe != nil {
		r.options.Observe(seen)
	}
}

// exchange sends one request and reads its answer. Its errors are short, since
// they are counted by their text.
func (r *runner) exchange(ctx context.Context, result *Result, n int64, seen *Observation) error {
	req, err := r.request(ctx, result.Target, n)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.New("transport")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return errors.New("status " + strconv.Itoa(resp.StatusCode))
	}
	return readStream(resp.Body, result, seen)
}

func (r *runner) request(ctx context.Context, t Target, n int64) (*http.Request, error) {
	content, err := json.Marshal(r.options.prompt(n))
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(engine.ChatRequest{
		Model:         r.options.Model,
		Messages:      []engine.Message{{Role: "user", Content: content}},
		MaxTokens:     int64(r.options.MaxTokens),
		Stream:        true,
		StreamOptions: &engine.StreamOptions{IncludeUsage: true, ContinuousUsage: true},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.Key != "" {
		req.Header.Set("Authorization", "Bearer "+t.Key)
	}
	if r.options.Deadline > 0 {
		req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(r.options.Deadline.Milliseconds(), 10))
	}
	if r.options.Priority != "" {
		req.Header.Set("X-Request-Priority", r.options.Priority)
	}
	return req, nil
}

// streamEvent is the part of a chunk or a failure that the load reads.
type streamEvent struct {
	Choices []engine.Choice `json:"choices"`
	Error   *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream reads an answer to its end marker.
func readStream(body io.Reader, result *Result, seen *Observation) error {
	events := sse.NewReader(body, maxEventBytes)
	last := seen.StartedAt
	for {
		data, err := events.Next()
		if err != nil {
			return errors.New("cut off")
		}
		if string(data) == engine.StreamEndMarker {
			result.whole(time.Since(seen.StartedAt), seen.Tokens)
			return nil
		}
		text, err := textOf(data)
		if err != nil {
			return err
		}
		if text == "" {
			continue
		}
		now := time.Now()
		seen.token(now.Sub(last))
		result.token(seen.Tokens == 1, now.Sub(last))
		last = now
	}
}

// token notes one more token, which came this long after the last one.
func (o *Observation) token(since time.Duration) {
	if o.Tokens == 0 {
		o.FirstToken = since
	} else {
		o.LongestGap = max(o.LongestGap, since)
	}
	o.Tokens++
}

// textOf returns the text of an event, which may be empty.
func textOf(data []byte) (string, error) {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return "", errors.New("malformed event")
	}
	if event.Error != nil {
		return "", fmt.Errorf("error event %s", event.Error.Code)
	}
	if len(event.Choices) == 0 || event.Choices[0].Delta == nil {
		return "", nil
	}
	return event.Choices[0].Delta.Content, nil
}
