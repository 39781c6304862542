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

// maxEventBytes is the largest event of a stream that is accepted.
const maxEventBytes = 1 << 20

// sendRequest sends prompt n to the target of result, adds what it observed to result and
// passes it to Options.Observe.
func (r *runner) sendRequest(ctx context.Context, result *Result, n int64) {
	observation := Observation{Target: result.Target, StartedAt: time.Now()}
	if err := r.exchange(ctx, result, n, &observation); err != nil {
		observation.Failure = err.Error()
		result.addFailure(observation.Failure)
	}
	observation.EndedAt = time.Now()
	if r.options.Observe != nil {
		r.options.Observe(observation)
	}
}

// exchange sends one request and reads its response. Its errors have short texts without
// details, since failures are counted by their text.
func (r *runner) exchange(ctx context.Context, result *Result, n int64, observation *Observation) error {
	req, err := r.newRequest(ctx, result.Target, n)
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
	return readStream(resp.Body, result, observation)
}

// newRequest returns the request with prompt n for a target.
func (r *runner) newRequest(ctx context.Context, t Target, n int64) (*http.Request, error) {
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

// eventFields are the fields that the load reads of an event, which is a chunk or an
// error.
type eventFields struct {
	Choices []engine.Choice `json:"choices"`
	Error   *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream reads a streamed response up to its end marker and adds its tokens to result
// and observation. An event with text counts as one token.
func readStream(body io.Reader, result *Result, observation *Observation) error {
	events := sse.NewReader(body, maxEventBytes)
	lastToken := observation.StartedAt
	for {
		data, err := events.Next()
		if err != nil {
			return errors.New("cut off")
		}
		if string(data) == engine.StreamEndMarker {
			result.addCompleted(time.Since(observation.StartedAt), observation.Tokens)
			return nil
		}
		content, err := eventText(data)
		if err != nil {
			return err
		}
		if content == "" {
			continue
		}
		now := time.Now()
		observation.addToken(now.Sub(lastToken))
		result.addToken(observation.Tokens == 1, now.Sub(lastToken))
		lastToken = now
	}
}

// addToken counts one token that arrived this long after the previous one or, if it is
// the first, after the start of the request.
func (o *Observation) addToken(gap time.Duration) {
	if o.Tokens == 0 {
		o.FirstToken = gap
	} else {
		o.LongestGap = max(o.LongestGap, gap)
	}
	o.Tokens++
}

// eventText returns the text of a chunk, which may be empty. It returns an error for an
// error event.
func eventText(data []byte) (string, error) {
	var event eventFields
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
