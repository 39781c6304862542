package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/requests"
)

// generationRun is the execution of one generation over all its attempts. Its fields
// change only in the goroutine that calls generate.
type generationRun struct {
	dispatcher *Dispatcher
	response   response
	tried      map[string]bool // names of endpoints that get no further attempt
	attempts   int             // number of attempts started
	endpoint   string          // name of the endpoint of the latest attempt
	executed   failure.Ran     // whether any attempt was executed
}

// outcome returns the outcome of the generation as of now, complete or not.
func (r *generationRun) outcome() requests.Outcome {
	return requests.Outcome{
		FinishReason: r.response.finishReason,
		Usage:        r.response.usage(),
		Attempts:     r.attempts,
		Endpoint:     r.endpoint,
	}
}

// generate makes attempts until the response is complete, or until no further
// attempt is allowed or useful.
func (r *generationRun) generate(ctx context.Context) error {
	r.executed = failure.RanNo
	var lastFailure *failure.Error
	for {
		assignment, err := r.dispatcher.deps.Balancer.PickForModel(ctx, r.response.generation, r.tried)
		if err != nil {
			return r.pickFailure(ctx, err, lastFailure)
		}
		result := r.attempt(ctx, assignment)
		if result.err == nil {
			return nil
		}
		lastFailure = r.mergeExecution(result)
		if !r.mayRetry(ctx, assignment, result) {
			return r.finalFailure(ctx, lastFailure)
		}
	}
}

// pickFailure returns the error for a request for which no endpoint could be
// picked: the failure of the last attempt if there was one, otherwise err.
func (r *generationRun) pickFailure(ctx context.Context, err error, lastFailure *failure.Error) error {
	if lastFailure != nil {
		return r.finalFailure(ctx, lastFailure)
	}
	return err
}

// mergeExecution updates r.executed after a failed attempt, and returns the attempt's
// failure with Ran set to the value that holds for all attempts so far.
func (r *generationRun) mergeExecution(result attemptResult) *failure.Error {
	switch {
	case r.response.started() || result.err.Ran == failure.RanYes:
		r.executed = failure.RanYes
	case result.err.Ran == failure.RanUnknown && r.executed == failure.RanNo:
		r.executed = failure.RanUnknown
	}
	return result.err.WithRan(r.executed)
}

// finalFailure returns the failure that is reported to the caller. If the request's
// deadline has passed or its caller has disconnected, its code says so.
func (r *generationRun) finalFailure(ctx context.Context, lastFailure *failure.Error) error {
	if ctx.Err() == nil || lastFailure.Code == failure.Canceled {
		return lastFailure
	}
	code, peer := failure.Deadline, lastFailure.Peer
	if errors.Is(ctx.Err(), context.Canceled) {
		code, peer = failure.Canceled, "caller"
	}
	return failure.Wrap(code, lastFailure.Step, peer, lastFailure).WithRan(r.executed)
}

// mayRetry reports whether another attempt may be made. If so, it has taken the retry
// from the retry budget, and has added the endpoint to the tried ones unless the next
// attempt may use it again.
func (r *generationRun) mayRetry(ctx context.Context, assignment *balancer.Assignment, result attemptResult) bool {
	if !result.retryable || ctx.Err() != nil || r.attempts >= r.dispatcher.settings.MaxAttempts || r.response.started() && !r.response.resumable() {
		return false
	}
	if !result.retryTaken && !assignment.TakeRetry() {
		return false
	}
	if !r.mayReuseEndpoint(assignment, result) {
		r.tried[assignment.Endpoint.Name] = true
	}
	return true
}

// mayReuseEndpoint reports whether the next attempt may use the same endpoint. It may
// if there is no other endpoint and this one stalled or had started to respond, since
// it may be able to continue over a new connection.
func (r *generationRun) mayReuseEndpoint(assignment *balancer.Assignment, result attemptResult) bool {
	mayContinue := result.err.Ran == failure.RanYes || errors.Is(result.err, errStalled)
	return mayContinue && !r.dispatcher.deps.Balancer.HasAlternative(r.response.generation, r.tried, assignment.Endpoint.Name)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// err is nil if the response is complete.
	err *failure.Error
	// retryable is true if another attempt can help.
	retryable bool
	// retryTaken is true if the retry has been taken from the budget already.
	retryTaken bool
}

// attempt makes one attempt at the assigned endpoint and ends the assignment.
func (r *generationRun) attempt(ctx context.Context, assignment *balancer.Assignment) attemptResult {
	defer assignment.Done()
	if r.attempts == 0 {
		assignment.CountRequest()
	}
	r.attempts++
	r.endpoint = assignment.Endpoint.Name
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{id: uuid.NewString(), run: r, assignment: assignment, started: time.Now(), cancel: cancel}
	a.recordStart()
	result := a.execute(ctx)
	a.recordOutcome(ctx, result)
	return result
}

// record records an event of the attempt.
func (a *attempt) record(kind event.Kind, detail string) {
	g := a.run.response.generation
	a.run.dispatcher.deps.Events.Record(event.Event{
		Component: event.ComponentDispatch,
		Kind:      kind,
		Request:   g.RequestID,
		Attempt:   a.id,
		Workspace: g.Workspace,
		Endpoint:  a.assignment.Endpoint.Name,
		Detail:    detail,
	})
}
