package load

import (
	"bytes"
	"context"
	"encoding/json"
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
	req, err := r.request(ctx, result.Target, n)
	if err != nil {
		result.failed(err.Error())
		return
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		result.failed("transport")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		result.failed("status " + strconv.Itoa(resp.StatusCode))
		return
	}
	if err := readStream(resp.Body, began, result); err != nil {
		result.failed(err.Error())
	}
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
func readStream(body io.Reader, began time.Time, result *Result) error {
	events := sse.NewReader(body, maxEventBytes)
	tokens, last := int64(0), began
	for {
		data, err := events.Next()
		if err != nil {
			return fmt.Errorf("cut off")
		}
		if string(data) == engine.EndOfStream {
			result.whole(time.Since(began), tokens)
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return fmt.Errorf("malformed event")
		}
		if event.Error != nil {
			return fmt.Errorf("error event %s", event.Error.Code)
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta == nil || event.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		result.token(tokens == 0, now.Sub(last))
		last = now
		tokens++
	}
}
