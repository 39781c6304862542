// Package calls runs requests to plain services. A call that is not
// idempotent runs at most once.
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
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/work"
)

// Settings are the settings of the service calls.
type Settings struct {
	// DialTimeout bounds the making of a connection to an instance.
	DialTimeout time.Duration `json:"dial_timeout"`
	// MaxAnswerBytes bounds an answer.
	MaxResponseBytes int64 `json:"max_answer_bytes"`
	// MaxAttempts bounds the attempts of an idempotent call.
	MaxAttempts int `json:"max_attempts"`
	// AttemptTimeout bounds one attempt of an idempotent call.
	AttemptTimeout time.Duration `json:"attempt_timeout"`
	// AnswerTimeout is how long the answer of a call that is not idempotent
	// is waited for, also after its caller has gone.
	ResponseTimeout time.Duration `json:"answer_timeout"`
	// StoreWait is how long a caller waits for its answer to be stored; then
	// it gets the answer, and the storing goes on.
	StoreWait time.Duration `json:"store_wait"`
	// MaxPending bounds the calls that are not idempotent and run at once.
	MaxPending int `json:"max_pending"`
	// SweepInterval is the time between two sweeps of old records, and
	// SweepRows bounds the records that one sweep reads.
	SweepInterval time.Duration `json:"sweep_interval"`
	SweepRows     int           `json:"sweep_rows"`
	// Once are the settings of the at-most-once records.
	Once once.Settings `json:"once"`
}

// DefaultSettings returns the defaults.
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

// Validate adds every problem of the settings to l.
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

// Duties are what the duty of calls uses.
type Dependencies struct {
	Router  *route.Router
	Records *once.Records
	Events  event.Recorder
	Metrics *metrics.Set
	Log     *slog.Logger
}

// Runner runs calls. It is safe for concurrent use.
type Runner struct {
	settings Settings
	duties   Dependencies
	metrics  *callMetrics
	sender   *sender
	// slots holds a place for each call that is not idempotent and runs.
	slots   chan struct{}
	pending sync.WaitGroup
}

var _ work.CallRunner = (*Runner)(nil)

// callMetrics count what becomes of calls.
type callMetrics struct {
	claimed  *metrics.Counter
	answered *metrics.Counter
	unknown  *metrics.Counter
	replayed *metrics.Counter
	released *metrics.Counter
}

// New returns a runner.
func New(s Settings, d Dependencies) *Runner {
	return &Runner{
		settings: s,
		duties:   d,
		sender:   newSender(s),
		slots:    make(chan struct{}, s.MaxPending),
		metrics: &callMetrics{
			claimed:  d.Metrics.NewCounter("daisyslip_calls_claimed_calls_total"),
			answered: d.Metrics.NewCounter("daisyslip_calls_answered_calls_total"),
			unknown:  d.Metrics.NewCounter("daisyslip_calls_unknown_calls_total"),
			replayed: d.Metrics.NewCounter("daisyslip_calls_replayed_calls_total"),
			released: d.Metrics.NewCounter("daisyslip_calls_released_calls_total"),
		},
	}
}

// Close drops the idle connections.
func (r *Runner) Close() { r.sender.close() }

// Run sweeps old records until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	cursor := ""
	for clock.Sleep(ctx, clock.Real{}, r.settings.SweepInterval) == nil {
		next, count, err := r.duties.Records.Sweep(ctx, cursor, r.settings.SweepRows)
		if err != nil {
			r.duties.Log.Warn("Sweep of call records failed.", "err", err)
			continue
		}
		r.duties.Log.Debug("Call records swept.", "seen", count.Seen, "deleted", count.Deleted, "compacted", count.Compacted)
		cursor = next
	}
	return nil
}

// Drain waits until every call that was sent has its outcome on record, or
// ctx ends.
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

// Call implements work.Caller.
func (r *Runner) Call(ctx context.Context, c *work.Call) (*work.Response, error) {
	if c.Idempotent {
		return r.callIdempotent(ctx, c)
	}
	if c.IdempotencyKey == "" {
		return nil, failure.New(failure.KeyRequired, "check call", "", "a call that is not idempotent needs an Idempotency-Key")
	}
	return r.callOnce(ctx, c)
}

// record puts an event of a call on the time line.
func (r *Runner) record(c *work.Call, kind event.Kind, attempt, endpoint, detail string) {
	r.duties.Events.Record(event.Event{
		Duty:      event.DutyCall,
		Kind:      kind,
		Request:   c.RequestID,
		Attempt:   attempt,
		Workspace: c.Workspace,
		Endpoint:  endpoint,
		Detail:    detail,
	})
}
