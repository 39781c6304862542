package calls

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/requests"
)

// callIdempotent sends a call to one instance after another until one responds. It
// is limited by MaxAttempts and by the retry budget of the pool.
func (r *Runner) callIdempotent(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	tried := make(map[string]bool)
	executed := failure.RanNo
	var lastFailure *failure.Error
	for attempt := 1; ; attempt++ {
		assignment, err := r.deps.Balancer.PickForService(ctx, c, tried)
		if err != nil {
			if lastFailure != nil {
				return nil, lastFailure
			}
			return nil, err
		}
		response, failed := r.attempt(ctx, c, assignment, attempt)
		if failed == nil {
			return response, nil
		}
		executed = mergeRan(executed, failed.Ran)
		lastFailure = withContextCode(ctx, failed).WithRan(executed)
		tried[assignment.Endpoint.Name] = true
		if ctx.Err() != nil || attempt >= r.settings.MaxAttempts || !assignment.TakeRetry() {
			return nil, lastFailure
		}
	}
}

// attempt sends an idempotent call to the assigned instance within AttemptTimeout and
// ends the assignment. The first attempt, number 1, counts as a request in the retry
// budget.
func (r *Runner) attempt(ctx context.Context, c *requests.Call, assignment *balancer.Assignment, number int) (*requests.Response, *failure.Error) {
	defer assignment.Done()
	if number == 1 {
		assignment.CountRequest()
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.AttemptTimeout)
	defer cancel()
	response, failed := r.sender.send(ctx, c, assignment.Endpoint)
	if failed != nil {
		assignment.ReportFailure(failed.Message)
		return nil, failed
	}
	assignment.ReportSuccess()
	return response, nil
}

// mergeRan combines what two attempts show on whether the call was executed: yes
// takes precedence over unknown, and unknown over no.
func mergeRan(a, b failure.Ran) failure.Ran {
	for _, ran := range []failure.Ran{failure.RanYes, failure.RanUnknown} {
		if a == ran || b == ran {
			return ran
		}
	}
	return failure.RanNo
}

// withContextCode returns the failure of an idempotent call with the code Deadline
// or Canceled if the request's context has ended, and EndpointFailed otherwise. The
// code is never OutcomeUnknown, because an idempotent call may be retried even if
// its outcome is unknown.
func withContextCode(ctx context.Context, failed *failure.Error) *failure.Error {
	code := failure.EndpointFailed
	switch ctx.Err() {
	case context.DeadlineExceeded:
		code = failure.Deadline
	case context.Canceled:
		code = failure.Canceled
	}
	return failure.Wrap(code, failed.Step, failed.Peer, failed).WithRan(failed.Ran).WithRetry(time.Second)
}
