package calls

import (
	"context"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/requests"
)

// callOnce claims the record of a call that is not idempotent and executes the call
// at most once. If the record holds a response already, that is replayed. The call
// goes on after its caller has disconnected, so that a retry can get its response.
func (r *Runner) callOnce(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	select {
	case r.pendingSlots <- struct{}{}:
	default:
		return nil, failure.New(failure.Overloaded, "admit call", "", "the router runs as many calls as it may; try again").WithRetry(time.Second)
	}
	release := func() { <-r.pendingSlots }
	claim, err := r.deps.Records.Claim(ctx, once.Call{Workspace: c.Workspace, Service: c.Service, Key: c.IdempotencyKey, Digest: c.Digest})
	if err != nil {
		release()
		r.recordUnknownOutcome(c, err)
		return nil, err
	}
	if claim.StoredResponse != nil {
		release()
		return r.replay(c, claim)
	}
	r.metrics.claimed.Inc()
	r.record(c, event.CallClaimed, claim.Attempt, "", "")
	results := make(chan callResult, 1)
	r.pending.Go(func() {
		defer release()
		r.execute(ctx, c, claim, results)
	})
	select {
	case result := <-results:
		return result.response, result.err
	case <-ctx.Done():
		return nil, failure.Wrap(failure.OutcomeUnknown, "call service", "", ctx.Err()).WithRan(failure.RanUnknown)
	}
}

// recordUnknownOutcome records that a call was refused because the outcome of an
// earlier call under the same key is unknown. Other errors are not recorded.
func (r *Runner) recordUnknownOutcome(c *requests.Call, err error) {
	if failure.CodeOf(err) == failure.OutcomeUnknown {
		r.metrics.unknownOutcome.Inc()
		r.record(c, event.CallOutcomeUnknown, "", "", err.Error())
	}
}

// replay returns the response that an earlier call stored.
func (r *Runner) replay(c *requests.Call, claim *once.Claim) (*requests.Response, error) {
	response, err := decodeResponse(claim.StoredResponse)
	if err != nil {
		return nil, err
	}
	r.metrics.replayed.Inc()
	r.record(c, event.CallReplayed, claim.Attempt, response.Endpoint, "")
	return response, nil
}

// callResult is the result of a call that is reported to its caller.
type callResult struct {
	response *requests.Response
	err      error
}

// execute sends a claimed call, reports its result on results and records its
// outcome. It goes on after callerCtx has ended, bounded by ResponseTimeout.
func (r *Runner) execute(callerCtx context.Context, c *requests.Call, claim *once.Claim, results chan<- callResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(callerCtx), r.settings.ResponseTimeout)
	defer cancel()
	response, failed := r.sendOnce(ctx, callerCtx, c, claim)
	switch {
	case failed == nil:
		r.storeResponse(ctx, c, claim, response, results)
	case failed.Ran == failure.RanNo:
		r.releaseClaim(ctx, c, claim, failed, results)
	default:
		r.recordLostOutcome(ctx, c, claim, failed, results)
	}
}

// sendOnce sends the call to one instance. Another instance is used only if it is
// certain that the first one did not execute the call.
func (r *Runner) sendOnce(ctx, callerCtx context.Context, c *requests.Call, claim *once.Claim) (*requests.Response, *failure.Error) {
	tried := make(map[string]bool)
	var lastFailure *failure.Error
	for attempt := 1; ; attempt++ {
		if attempt > r.settings.MaxAttempts {
			return nil, lastFailure
		}
		assignment, err := r.deps.Balancer.PickForService(callerCtx, c, tried)
		if err != nil {
			if lastFailure == nil {
				lastFailure = asFailure(err)
			}
			return nil, lastFailure
		}
		if callerTimedOut(callerCtx) {
			assignment.Done()
			return nil, failure.New(failure.Deadline, "call service", "", "the time of the request has passed; the call was not sent")
		}
		r.record(c, event.AttemptStarted, claim.Attempt, assignment.Endpoint.Name, "")
		response, failed := r.sender.send(ctx, c, assignment.Endpoint)
		if failed == nil {
			assignment.ReportSuccess()
			assignment.Done()
			return response, nil
		}
		assignment.ReportFailure(failed.Message)
		assignment.Done()
		r.record(c, event.AttemptFailed, claim.Attempt, assignment.Endpoint.Name, failed.Error())
		if failed.Ran != failure.RanNo {
			return nil, failed
		}
		tried[assignment.Endpoint.Name] = true
		lastFailure = failed
	}
}

// callerTimedOut reports whether the caller's context has ended or its deadline has
// passed. It checks the clock as well, because after a pause of the process the
// context's timer may not have fired yet. A call with side effects that is sent long
// after its caller has given up does harm.
func callerTimedOut(callerCtx context.Context) bool {
	deadline, hasDeadline := callerCtx.Deadline()
	return callerCtx.Err() != nil || hasDeadline && !time.Now().Before(deadline)
}

// asFailure returns err as a failure; an error of another kind becomes an Internal
// failure.
func asFailure(err error) *failure.Error {
	if f := failure.As(err); f != nil {
		return f
	}
	return failure.Wrap(failure.Internal, "call service", "", err)
}

// storeResponse stores the response. The caller gets it once it is stored or after
// StoreWait, whichever is first.
func (r *Runner) storeResponse(ctx context.Context, c *requests.Call, claim *once.Claim, response *requests.Response, results chan<- callResult) {
	timer := time.AfterFunc(r.settings.StoreWait, func() { sendFirst(results, callResult{response: response}) })
	err := r.deps.Records.Finish(ctx, claim, encodeResponse(response))
	timer.Stop()
	sendFirst(results, callResult{response: response})
	if err != nil {
		r.deps.Log.Warn("could not save the response to a call", "request", c.RequestID, "err", err)
		r.record(c, event.CallOutcomeUnknown, claim.Attempt, response.Endpoint, "the answer was not stored: "+err.Error())
		return
	}
	r.metrics.completed.Inc()
	r.record(c, event.CallCompleted, claim.Attempt, response.Endpoint, "")
}

// sendFirst sends a result unless the channel, which has a capacity of one, holds a
// result already. It never blocks.
func sendFirst(results chan<- callResult, result callResult) {
	select {
	case results <- result:
	default:
	}
}

// releaseClaim releases the claim of a call that was not executed, so that a retry
// may execute it. The caller gets the failure, which states that the call was not
// executed, once the claim is released or after StoreWait, whichever is first.
func (r *Runner) releaseClaim(ctx context.Context, c *requests.Call, claim *once.Claim, failed *failure.Error, results chan<- callResult) {
	timer := time.AfterFunc(r.settings.StoreWait, func() { sendFirst(results, callResult{err: failed}) })
	err := r.deps.Records.Release(ctx, claim)
	timer.Stop()
	sendFirst(results, callResult{err: failed})
	if err != nil {
		r.deps.Log.Warn("could not release the claim of a call that was not executed", "request", c.RequestID, "err", err)
		return
	}
	r.metrics.released.Inc()
}

// recordLostOutcome reports an unknown outcome to the caller and records it, so that
// a retry under the same key is refused.
func (r *Runner) recordLostOutcome(ctx context.Context, c *requests.Call, claim *once.Claim, failed *failure.Error, results chan<- callResult) {
	unknown := failure.Wrap(failure.OutcomeUnknown, failed.Step, failed.Peer, failed).WithRan(failed.Ran)
	unknown.Message = fmt.Sprintf("the call was sent and its answer was lost; it will not be sent again under this key; check its effect: %s", failed.Message)
	sendFirst(results, callResult{err: unknown})
	r.metrics.unknownOutcome.Inc()
	r.record(c, event.CallOutcomeUnknown, claim.Attempt, failed.Peer, failed.Error())
	if err := r.deps.Records.MarkOutcomeLost(ctx, claim); err != nil {
		r.deps.Log.Warn("could not record the unknown outcome of a call", "request", c.RequestID, "err", err)
	}
}
