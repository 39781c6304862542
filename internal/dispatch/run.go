package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/work"
)

// run is one generation over all its attempts.
type run struct {
	dispatcher *Dispatcher
	answer     answer
	tried      map[string]bool
	attempts   int
	endpoint   string
	ran        failure.Ran
}

// outcome is what is known of the generation so far.
func (r *run) outcome() work.Outcome {
	return work.Outcome{
		FinishReason: r.answer.finish,
		Usage:        r.answer.usage(),
		Attempts:     r.attempts,
		Endpoint:     r.endpoint,
	}
}

// generate makes attempts until the answer is whole.
func (r *run) generate(ctx context.Context) error {
	r.ran = failure.RanNo
	var last *failure.Error
	for {
		lease, err := r.dispatcher.duties.Router.PickForModel(ctx, r.answer.generation, r.tried)
		if err != nil {
			return r.unpicked(ctx, err, last)
		}
		result := r.attempt(ctx, lease)
		if result.err == nil {
			return nil
		}
		last = r.conclude(result)
		if !r.again(ctx, lease, result) {
			return r.final(ctx, last)
		}
	}
}

// unpicked is the failure when no endpoint is left to try.
func (r *run) unpicked(ctx context.Context, err error, last *failure.Error) error {
	if last != nil {
		return r.final(ctx, last)
	}
	return err
}

// conclude adds what a failed attempt tells of whether the work ran.
func (r *run) conclude(result result) *failure.Error {
	switch {
	case r.answer.begun() || result.err.Ran == failure.RanYes:
		r.ran = failure.RanYes
	case result.err.Ran == failure.RanUnknown && r.ran == failure.RanNo:
		r.ran = failure.RanUnknown
	}
	return result.err.WithRan(r.ran)
}

// final is the failure that the caller is told.
func (r *run) final(ctx context.Context, last *failure.Error) error {
	if ctx.Err() == nil || last.Code == failure.Canceled {
		return last
	}
	code, peer := failure.Deadline, last.Peer
	if errors.Is(ctx.Err(), context.Canceled) {
		code, peer = failure.Canceled, "caller"
	}
	return failure.Wrap(code, last.Step, peer, last).WithRan(r.ran)
}

// again reports whether another attempt may be made.
func (r *run) again(ctx context.Context, lease *route.Lease, result result) bool {
	if !result.retry || ctx.Err() != nil || r.attempts >= r.dispatcher.settings.MaxAttempts || r.answer.begun() && !r.answer.resumable() {
		return false
	}
	if !result.retryTaken && !lease.TakeRetry() {
		return false
	}
	if !r.mayAskAgain(lease, result) {
		r.tried[lease.Endpoint.Name] = true
	}
	return true
}

// mayAskAgain reports whether the endpoint stays in the choice. A connection
// that was kept idle may be silent while its endpoint is well; and where
// there is no other endpoint, one that was silent or has begun an answer may
// go on over a new connection.
func (r *run) mayAskAgain(lease *route.Lease, result result) bool {
	if result.staleConn {
		return true
	}
	reached := result.err.Ran == failure.RanYes || errors.Is(result.err, errSilent)
	return reached && !r.dispatcher.duties.Router.HasAlternative(r.answer.generation, r.tried, lease.Endpoint.Name)
}

// result is how one attempt ended.
type result struct {
	// err is nil if the answer is whole.
	err *failure.Error
	// retry is true if another attempt can help.
	retry bool
	// retryTaken is true if the retry was taken from the budget already.
	retryTaken bool
	// staleConn is true if a connection that was reused stayed silent.
	staleConn bool
}

// attempt makes one attempt at the leased endpoint.
func (r *run) attempt(ctx context.Context, lease *route.Lease) result {
	defer lease.Done()
	if r.attempts == 0 {
		lease.CountRequest()
	}
	r.attempts++
	r.endpoint = lease.Endpoint.Name
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{id: uuid.NewString(), run: r, lease: lease, started: time.Now(), cancel: cancel}
	a.begin()
	result := a.execute(ctx)
	a.end(ctx, result)
	return result
}

// record puts an event of an attempt on the time line.
func (a *attempt) record(kind event.Kind, detail string) {
	g := a.run.answer.generation
	a.run.dispatcher.duties.Events.Record(event.Event{
		Duty:      event.DutyDispatch,
		Kind:      kind,
		Request:   g.RequestID,
		Attempt:   a.id,
		Workspace: g.Workspace,
		Endpoint:  a.lease.Endpoint.Name,
		Detail:    detail,
	})
}
