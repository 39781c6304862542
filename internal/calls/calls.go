// Package calls sends calls to plain services. A call that is not idempotent is
// executed at most once.
package calls

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/requests"
)

// Settings configure a Runner.
type Settings struct {
	// DialTimeout bounds the time to connect to an instance.
	DialTimeout time.Duration `json:"dial_timeout"`
	// MaxResponseBytes bounds the body of a response, in bytes.
	MaxResponseBytes int64 `json:"max_answer_bytes"`
	// MaxAttempts bounds the attempts of a call. A call that is not idempotent
	// is only retried if no instance has executed it.
	MaxAttempts int `json:"max_attempts"`
	// AttemptTimeout bounds one attempt of an idempotent call.
	AttemptTimeout time.Duration `json:"attempt_timeout"`
	// ResponseTimeout bounds the wait for the response to a call that is not
	// idempotent. The wait goes on after the caller has disconnected.
	ResponseTimeout time.Duration `json:"answer_timeout"`
	// StoreWait bounds how long a caller waits for its response to be stored.
	// After that it gets the response while the store operation goes on.
	StoreWait time.Duration `json:"store_wait"`
	// MaxPending bounds the number of concurrent calls that are not idempotent.
	MaxPending int `json:"max_pending"`
	// SweepInterval is the time between two sweeps of old records, and
	// SweepRows bounds the number of records that one sweep reads.
	SweepInterval time.Duration `json:"sweep_interval"`
	SweepRows     int           `json:"sweep_rows"`
	// Once configures the at-most-once records.
	Once once.Settings `json:"once"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:      time.Second,
		MaxResponseBytes: 8 << 20,
		MaxAttempts:      3,
		AttemptTimeout:   10 * time.Second,
		ResponseTimeout:  2 * time.Minute,
		StoreWait:        500 * time.Millisecond,
		MaxPending:       1024,
		SweepInterval:    10 * time.Minute,
		SweepRows:        500,
		Once:             once.DefaultSettings(),
	}
}

// Validate adds every invalid setting to l, with its key below path.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".dial_timeout", s.DialTimeout, time.Millisecond, time.Minute)
	l.Positive(path+".max_answer_bytes", s.MaxResponseBytes)
	l.Positive(path+".max_attempts", int64(s.MaxAttempts))
	l.Duration(path+".attempt_timeout", s.AttemptTimeout, time.Millisecond, time.Hour)
	l.Duration(path+".answer_timeout", s.ResponseTimeout, time.Millisecond, time.Hour)
	l.Duration(path+".store_wait", s.StoreWait, time.Millisecond, time.Minute)
	l.Positive(path+".max_pending", int64(s.MaxPending))
	l.Duration(path+".sweep_interval", s.SweepInterval, time.Second, 24*time.Hour)
	l.Positive(path+".sweep_rows", int64(s.SweepRows))
	for _, p := range s.Once.Validate() {
		l.Add(path+".once."+p.Path, p.Value, p.Want)
	}
}

// Dependencies are the components that a Runner uses.
type Dependencies struct {
	Balancer *balancer.Balancer
	Records  *once.Records
	Events   event.Recorder
	Metrics  *metrics.Set
	Log      *slog.Logger
}

// Runner executes calls. It is safe for concurrent use.
type Runner struct {
	settings Settings
	deps     Dependencies
	metrics  *callMetrics
	sender   *sender
	// pendingSlots holds one element for each running call that is not
	// idempotent; its capacity is MaxPending.
	pendingSlots chan struct{}
	pending      sync.WaitGroup // counts those calls until their outcome is recorded
}

var _ requests.CallRunner = (*Runner)(nil)

// callMetrics counts the outcomes of calls that are not idempotent.
type callMetrics struct {
	claimed        *metrics.Counter
	completed      *metrics.Counter
	unknownOutcome *metrics.Counter
	replayed       *metrics.Counter
	released       *metrics.Counter
}

// New returns a runner. Old records are swept only while Run runs.
func New(s Settings, d Dependencies) *Runner {
	return &Runner{
		settings:     s,
		deps:         d,
		sender:       newSender(s),
		pendingSlots: make(chan struct{}, s.MaxPending),
		metrics: &callMetrics{
			claimed:        d.Metrics.NewCounter("daisyslip_calls_claimed_calls_total"),
			completed:      d.Metrics.NewCounter("daisyslip_calls_answered_calls_total"),
			unknownOutcome: d.Metrics.NewCounter("daisyslip_calls_unknown_calls_total"),
			replayed:       d.Metrics.NewCounter("daisyslip_calls_replayed_calls_total"),
			released:       d.Metrics.NewCounter("daisyslip_calls_released_calls_total"),
		},
	}
}

// Run sweeps old records every SweepInterval until ctx ends. It always returns nil.
func (r *Runner) Run(ctx context.Context) error {
	cursor := ""
	for clock.Sleep(ctx, clock.Real{}, r.settings.SweepInterval) == nil {
		next, count, err := r.deps.Records.Sweep(ctx, cursor, r.settings.SweepRows)
		if err != nil {
			r.deps.Log.Warn("could not sweep old call records, next attempt after the sweep interval", "err", err)
			continue
		}
		r.deps.Log.Debug("swept old call records", "seen", count.Seen, "deleted", count.Deleted, "compacted", count.Compacted)
		cursor = next
	}
	return nil
}

// Drain waits until the outcome of every call that was sent has been recorded. If
// ctx ends first, it returns a failure with the code Deadline.
func (r *Runner) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.Deadline, "wait for calls", "", ctx.Err()).WithRan(failure.RanUnknown)
	}
}

// Call implements requests.CallRunner. A call that is not idempotent needs an
// idempotency key.
func (r *Runner) Call(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	if c.Idempotent {
		return r.callIdempotent(ctx, c)
	}
	if c.IdempotencyKey == "" {
		return nil, failure.New(failure.KeyRequired, "check call", "", "a call that is not idempotent needs an Idempotency-Key")
	}
	return r.callOnce(ctx, c)
}

// record records an event of a call.
func (r *Runner) record(c *requests.Call, kind event.Kind, attempt, endpoint, detail string) {
	r.deps.Events.Record(event.Event{
		Component: event.ComponentCall,
		Kind:      kind,
		Request:   c.RequestID,
		Attempt:   attempt,
		Workspace: c.Workspace,
		Endpoint:  endpoint,
		Detail:    detail,
	})
}
