package calls

import (
	"context"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/internal/work"
)

// callOnce claims the call's record and sends it, once. The call goes on
// after its caller has gone, so that its answer can be given to a retry.
func (r *Runner) callOnce(ctx context.Context, c *work.Call) (*work.Response, error) {
	select {
	case r.slots <- struct{}{}:
	default:
		return nil, failure.New(failure.Overloaded, "admit call", "", "the router runs as many calls as it may; try again").WithRetry(time.Second)
	}
	release := func() { <-r.slots }
	claim, err := r.duties.Records.Claim(ctx, once.Call{Workspace: c.Workspace, Service: c.Service, Key: c.IdempotencyKey, Digest: c.Digest})
	if err != nil {
		release()
		r.noteRefusal(c, err)
		return nil, err
	}
	if claim.Stored != nil {
		release()
		return r.replay(c, claim)
	}
	r.metrics.claimed.Inc()
	r.record(c, event.CallClaimed, claim.Attempt, "", "")
	sent := make(chan sent, 1)
	r.pending.Go(func() {
		defer release()
		r.dispatch(ctx, c, claim, sent)
	})
	select {
	case s := <-sent:
		return s.answer, s.err
	case <-ctx.Done():
		return nil, failure.Wrap(failure.OutcomeUnknown, "call service", "", ctx.Err()).WithRan(failure.RanUnknown)
	}
}

// noteRefusal records a call that was answered with an unknown outcome.
func (r *Runner) noteRefusal(c *work.Call, err error) {
	if failure.CodeOf(err) == failure.OutcomeUnknown {
		r.metrics.unknown.Inc()
		r.record(c, event.CallUnknown, "", "", err.Error())
	}
}

// replay returns the answer that an earlier call stored.
func (r *Runner) replay(c *work.Call, claim *once.Claim) (*work.Response, error) {
	answer, err := decodeAnswer(claim.Stored)
	if err != nil {
		return nil, err
	}
	r.metrics.replayed.Inc()
	r.record(c, event.CallReplayed, claim.Attempt, answer.Endpoint, "")
	return answer, nil
}

// sent is what the caller of a dispatched call is told.
type sent struct {
	answer *work.Response
	err    error
}

// dispatch sends a claimed call and puts its outcome on record. It outlives
// the caller.
func (r *Runner) dispatch(caller context.Context, c *work.Call, claim *once.Claim, out chan<- sent) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), r.settings.ResponseTimeout)
	defer cancel()
	answer, failed := r.sendOnce(ctx, caller, c, claim)
	switch {
	case failed == nil:
		r.finish(ctx, c, claim, answer, out)
	case failed.Ran == failure.RanNo:
		r.release(ctx, c, claim, failed, out)
	default:
		r.lose(ctx, c, claim, failed, out)
	}
}

// sendOnce sends the call to one instance. Only if it is certain that the
// instance has not run the call, another instance is asked.
func (r *Runner) sendOnce(ctx, caller context.Context, c *work.Call, claim *once.Claim) (*work.Response, *failure.Error) {
	tried := make(map[string]bool)
	var last *failure.Error
	for attempt := 1; ; attempt++ {
		if attempt > r.settings.MaxAttempts {
			return nil, last
		}
		lease, err := r.duties.Router.PickForService(ctx, c, tried)
		if err != nil {
			if last == nil {
				last = asFailure(err)
			}
			return nil, last
		}
		if over(caller) {
			lease.Done()
			return nil, failure.New(failure.Deadline, "call service", "", "the time of the request has passed; the call was not sent")
		}
		r.record(c, event.AttemptStarted, claim.Attempt, lease.Endpoint.Name, "")
		answer, failed := r.sender.send(ctx, c, lease.Endpoint)
		if failed == nil {
			lease.ReportSuccess()
			lease.Done()
			return answer, nil
		}
		lease.ReportFailure(failed.Message)
		lease.Done()
		r.record(c, event.AttemptFailed, claim.Attempt, lease.Endpoint.Name, failed.Error())
		if failed.Ran != failure.RanNo {
			return nil, failed
		}
		tried[lease.Endpoint.Name] = true
		last = failed
	}
}

// over reports whether the caller's time has passed. It reads the clock too: a
// process that was paused finds its timers not yet fired, and a command that
// is sent long after its caller gave up does harm.
func over(caller context.Context) bool {
	deadline, set := caller.Deadline()
	return caller.Err() != nil || set && !time.Now().Before(deadline)
}

func asFailure(err error) *failure.Error {
	if f := failure.As(err); f != nil {
		return f
	}
	return failure.Wrap(failure.Internal, "call service", "", err)
}

// finish stores the answer. The caller gets it once it is stored, or after
// the bound on storing, whichever is first.
func (r *Runner) finish(ctx context.Context, c *work.Call, claim *once.Claim, answer *work.Response, out chan<- sent) {
	timer := time.AfterFunc(r.settings.StoreWait, func() { offer(out, sent{answer: answer}) })
	err := r.duties.Records.Finish(ctx, claim, encodeAnswer(answer))
	timer.Stop()
	offer(out, sent{answer: answer})
	if err != nil {
		r.duties.Log.Warn("Answer of a call was not stored.", "request", c.RequestID, "err", err)
		r.record(c, event.CallUnknown, claim.Attempt, answer.Endpoint, "the answer was not stored: "+err.Error())
		return
	}
	r.metrics.answered.Inc()
	r.record(c, event.CallAnswered, claim.Attempt, answer.Endpoint, "")
}

// offer sends to a channel that holds one value and keeps the first.
func offer(out chan<- sent, s sent) {
	select {
	case out <- s:
	default:
	}
}

// release gives up the claim of a call that was not sent, so that a retry may
// run. The caller is told that the call did not run.
func (r *Runner) release(ctx context.Context, c *work.Call, claim *once.Claim, failed *failure.Error, out chan<- sent) {
	timer := time.AfterFunc(r.settings.StoreWait, func() { offer(out, sent{err: failed}) })
	err := r.duties.Records.Release(ctx, claim)
	timer.Stop()
	offer(out, sent{err: failed})
	if err != nil {
		r.duties.Log.Warn("Claim of a call that did not run was not released.", "request", c.RequestID, "err", err)
		return
	}
	r.metrics.released.Inc()
}

// lose tells the caller that the outcome is unknown, and notes it.
func (r *Runner) lose(ctx context.Context, c *work.Call, claim *once.Claim, failed *failure.Error, out chan<- sent) {
	unknown := failure.Wrap(failure.OutcomeUnknown, failed.Step, failed.Peer, failed).WithRan(failed.Ran)
	unknown.Message = fmt.Sprintf("the call was sent and its answer was lost; it will not be sent again under this key; check its effect: %s", failed.Message)
	offer(out, sent{err: unknown})
	r.metrics.unknown.Inc()
	r.record(c, event.CallUnknown, claim.Attempt, failed.Peer, failed.Error())
	if err := r.duties.Records.Lose(ctx, claim); err != nil {
		r.duties.Log.Warn("Lost outcome of a call was not noted.", "request", c.RequestID, "err", err)
	}
}
