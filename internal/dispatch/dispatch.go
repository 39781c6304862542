// Package dispatch sends work to endpoints and reads their answers. It checks
// that each piece belongs to the attempt that asked, and that an answer is
// whole.
package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/sse"
	"daisyslip.dev/daisyslip/internal/work"
)

// maxEventBytes bounds one event of an engine's stream.
const maxEventBytes = 1 << 20

// Settings are the settings of the dispatch duty.
type Settings struct {
	// DialTimeout bounds the making of a connection to an endpoint.
	DialTimeout time.Duration `json:"dial_timeout"`
	// IdleConns bounds the idle connections kept to each endpoint.
	IdleConns int `json:"idle_conns"`
	// MaxAnswerBytes bounds the answer of a plain service.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{DialTimeout: time.Second, IdleConns: 256, MaxAnswerBytes: 8 << 20}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".dial_timeout", s.DialTimeout, time.Millisecond, time.Minute)
	l.Positive(path+".idle_conns", int64(s.IdleConns))
	l.Positive(path+".max_answer_bytes", s.MaxAnswerBytes)
}

// Dispatcher runs work on endpoints. It is safe for concurrent use.
type Dispatcher struct {
	settings Settings
	router   *route.Router
	events   event.Recorder
	client   *http.Client
}

var _ work.Generator = (*Dispatcher)(nil)

// New returns a dispatcher that asks router for endpoints.
func New(s Settings, router *route.Router, events event.Recorder) *Dispatcher {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: s.IdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Dispatcher{settings: s, router: router, events: events, client: &http.Client{Transport: transport}}
}

// Close drops the idle connections.
func (d *Dispatcher) Close() { d.client.CloseIdleConnections() }

// Generate implements work.Generator.
func (d *Dispatcher) Generate(ctx context.Context, g *work.Generation, sink work.Sink) (work.Outcome, error) {
	lease, err := d.router.PickModel(g, nil)
	if err != nil {
		return work.Outcome{}, err
	}
	defer lease.Done()
	a := &attempt{id: uuid.NewString(), generation: g, endpoint: lease.Endpoint.Endpoint, sink: sink}
	d.record(a, event.AttemptStarted, "")
	outcome, err := d.run(ctx, a)
	outcome.Attempts, outcome.Endpoint = 1, a.endpoint.Name
	if err != nil {
		d.record(a, event.AttemptFailed, err.Error())
		return outcome, err
	}
	d.record(a, event.AttemptEnded, "")
	return outcome, nil
}

func (d *Dispatcher) record(a *attempt, kind event.Kind, detail string) {
	d.events.Record(event.Event{
		Duty:      event.DutyDispatch,
		Kind:      kind,
		Request:   a.generation.RequestID,
		Attempt:   a.id,
		Workspace: a.generation.Workspace,
		Endpoint:  a.endpoint.Name,
		Detail:    detail,
	})
}

// run sends the attempt and reads its stream to the end.
func (d *Dispatcher) run(ctx context.Context, a *attempt) (work.Outcome, error) {
	resp, err := d.send(ctx, a)
	if err != nil {
		return work.Outcome{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return work.Outcome{}, d.refusal(a, resp)
	}
	return a.read(sse.NewReader(resp.Body, maxEventBytes))
}

func (d *Dispatcher) send(ctx context.Context, a *attempt) (*http.Response, error) {
	body, err := a.body()
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, "encode attempt", a.endpoint.Name, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.endpoint.URL+engine.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, "make attempt", a.endpoint.Name, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.RequestIDHeader, a.id)
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.EndpointFailed, "send attempt", a.endpoint.Name, err).WithRan(ranAfter(err))
	}
	return resp, nil
}

// ranAfter tells whether work may have run when sending it failed: only a
// connection that was never made proves that no byte has left.
func ranAfter(err error) failure.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.RanNo
	}
	return failure.RanUnknown
}

// refusal turns an engine's error answer into a failure.
func (d *Dispatcher) refusal(a *attempt, resp *http.Response) error {
	var body engine.ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body); err != nil {
		body.Error.Message = err.Error()
	}
	message := fmt.Sprintf("status %d: %s", resp.StatusCode, body.Error.Message)
	if resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusTooManyRequests {
		return failure.New(failure.BadRequest, "send attempt", a.endpoint.Name, message)
	}
	return failure.New(failure.EndpointFailed, "send attempt", a.endpoint.Name, message).WithRetry(time.Second)
}
