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
type generationRun struct {
	dispatcher *Dispatcher
	response   response
	tried      map[string]bool
	attempts   int
	endpoint   string
	executed   failure.Ran
}

// outcome is what is known of the generation so far.
func (r *generationRun) outcome() work.Outcome {
	return work.Outcome{
		FinishReason: r.response.finishReason,
		Usage:        r.response.usage(),
		Attempts:     r.attempts,
		Endpoint:     r.endpoint,
	}
}

// generate makes attempts until the answer is whole.
func (r *generationRun) generate(ctx context.Context) error {
	r.executed = failure.RanNo
	var last *failure.Error
	for {
		lease, err := r.dispatcher.deps.Router.PickForModel(ctx, r.response.generation, r.tried)
		if err != nil {
			return r.pickFailure(ctx, err, last)
		}
		result := r.attempt(ctx, lease)
		if result.err == nil {
			return nil
		}
		last = r.mergeExecution(result)
		if !r.mayRetry(ctx, lease, result) {
			return r.finalFailure(ctx, last)
		}
	}
}

// unpicked is the failure when no endpoint is left to try.
func (r *generationRun) pickFailure(ctx context.Context, err error, last *failure.Error) error {
	if last != nil {
		return r.finalFailure(ctx, last)
	}
	return err
}

// conclude adds what a failed attempt tells of whether the work ran.
func (r *generationRun) mergeExecution(result attemptResult) *failure.Error {
	switch {
	case r.response.started() || result.err.Ran == failure.RanYes:
		r.executed = failure.RanYes
	case result.err.Ran == failure.RanUnknown && r.executed == failure.RanNo:
		r.executed = failure.RanUnknown
	}
	return result.err.WithRan(r.executed)
}

// final is the failure that the caller is told.
func (r *generationRun) finalFailure(ctx context.Context, last *failure.Error) error {
	if ctx.Err() == nil || last.Code == failure.Canceled {
		return last
	}
	code, peer := failure.Deadline, last.Peer
	if errors.Is(ctx.Err(), context.Canceled) {
		code, peer = failure.Canceled, "caller"
	}
	return failure.Wrap(code, last.Step, peer, last).WithRan(r.executed)
}

// again reports whether another attempt may be made.
func (r *generationRun) mayRetry(ctx context.Context, lease *route.Lease, result attemptResult) bool {
	if !result.retryable || ctx.Err() != nil || r.attempts >= r.dispatcher.settings.MaxAttempts || r.response.started() && !r.response.resumable() {
		return false
	}
	if !result.retryTaken && !lease.TakeRetry() {
		return false
	}
	if !r.mayReuseEndpoint(lease, result) {
		r.tried[lease.Endpoint.Name] = true
	}
	return true
}

// mayAskAgain reports whether the endpoint stays in the choice. A connection
// that was kept idle may be silent while its endpoint is well; and where
// there is no other endpoint, one that was silent or has begun an answer may
// go on over a new connection.
func (r *generationRun) mayReuseEndpoint(lease *route.Lease, result attemptResult) bool {
	if result.staleConn {
		return true
	}
	mayContinue := result.err.Ran == failure.RanYes || errors.Is(result.err, errStalled)
	return mayContinue && !r.dispatcher.deps.Router.HasAlternative(r.response.generation, r.tried, lease.Endpoint.Name)
}

// result is how one attempt ended.
type attemptResult struct {
	// err is nil if the answer is whole.
	err *failure.Error
	// retry is true if another attempt can help.
	retryable bool
	// retryTaken is true if the retry was taken from the budget already.
	retryTaken bool
	// staleConn is true if a connection that was reused stayed silent.
	staleConn bool
}

// attempt makes one attempt at the leased endpoint.
func (r *generationRun) attempt(ctx context.Context, lease *route.Lease) attemptResult {
	defer lease.Done()
	if r.attempts == 0 {
		lease.CountRequest()
	}
	r.attempts++
	r.endpoint = lease.Endpoint.Name
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{id: uuid.NewString(), run: r, lease: lease, started: time.Now(), cancel: cancel}
	a.recordStart()
	result := a.execute(ctx)
	a.recordOutcome(ctx, result)
	return result
}

// record puts an event of an attempt on the time line.
func (a *attempt) record(kind event.Kind, detail string) {
	g := a.run.response.generation
	a.run.dispatcher.deps.Events.Record(event.Event{
		Duty:      event.DutyDispatch,
		Kind:      kind,
		Request:   g.RequestID,
		Attempt:   a.id,
		Workspace: g.Workspace,
		Endpoint:  a.lease.Endpoint.Name,
		Detail:    detail,
	})
}
