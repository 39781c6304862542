// Package calls runs requests to plain services. A call that is not
// idempotent runs at most once.
package calls

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/work"
)

// Settings are the settings of the service calls.
type Settings struct {
	// DialTimeout bounds the making of a connection to an instance.
	DialTimeout time.Duration `json:"dial_timeout"`
	// MaxAnswerBytes bounds an answer.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{DialTimeout: time.Second, MaxAnswerBytes: 256 << 10}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".dial_timeout", s.DialTimeout, time.Millisecond, time.Minute)
	l.Positive(path+".max_answer_bytes", s.MaxAnswerBytes)
}

// Runner runs calls. It is safe for concurrent use.
type Runner struct {
	settings Settings
	router   *route.Router
	records  *once.Records
	events   event.Recorder
	client   *http.Client
}

var _ work.Caller = (*Runner)(nil)

// New returns a runner that keeps its at-most-once records in records.
func New(s Settings, router *route.Router, records *once.Records, events event.Recorder) *Runner {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		IdleConnTimeout: time.Minute,
	}
	return &Runner{settings: s, router: router, records: records, events: events, client: &http.Client{Transport: transport}}
}

// Close drops the idle connections.
func (r *Runner) Close() { r.client.CloseIdleConnections() }

// Call implements work.Caller.
func (r *Runner) Call(ctx context.Context, c *work.Call) (*work.Answer, error) {
	if c.Idempotent {
		return r.send(ctx, c)
	}
	if c.Key == "" {
		return nil, failure.New(failure.KeyRequired, "check call", "", "a call that is not idempotent needs an Idempotency-Key")
	}
	claim, err := r.records.Claim(ctx, c.Workspace, c.Service, c.Key, c.Digest)
	if err != nil {
		return nil, err
	}
	if claim.Stored != nil {
		return replay(claim)
	}
	answer, err := r.send(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := r.records.Finish(ctx, claim, encodeAnswer(answer)); err != nil {
		r.events.Record(event.Event{Duty: event.DutyCall, Kind: event.CallUnknown, Request: c.RequestID, Detail: err.Error()})
	}
	return answer, nil
}

// send sends the call to one instance.
func (r *Runner) send(ctx context.Context, c *work.Call) (*work.Answer, error) {
	lease, err := r.router.PickService(c, nil)
	if err != nil {
		return nil, err
	}
	defer lease.Done()
	url := lease.Endpoint.URL + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, "make call", lease.Endpoint.Name, err)
	}
	req.Header = c.Header.Clone()
	req.Header.Set(engine.RequestIDHeader, c.RequestID)
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.OutcomeUnknown, "call service", lease.Endpoint.Name, err).WithRan(failure.RanUnknown)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.settings.MaxAnswerBytes+1))
	if err == nil && int64(len(body)) > r.settings.MaxAnswerBytes {
		err = fmt.Errorf("answer is longer than %d bytes", r.settings.MaxAnswerBytes)
	}
	if err != nil {
		return nil, failure.Wrap(failure.OutcomeUnknown, "read answer", lease.Endpoint.Name, err).WithRan(failure.RanUnknown)
	}
	return &work.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Endpoint: lease.Endpoint.Name}, nil
}
