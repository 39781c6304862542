package calls

import (
	"context"
	"time"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/work"
)

// callIdempotent sends a call to one instance after the other until one
// answers, within the retry budget of the pool.
func (r *Runner) callIdempotent(ctx context.Context, c *work.Call) (*work.Response, error) {
	tried := make(map[string]bool)
	ran := failure.RanNo
	var last *failure.Error
	for attempt := 1; ; attempt++ {
		lease, err := r.duties.Router.PickForService(ctx, c, tried)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		answer, failed := r.attempt(ctx, c, lease, attempt)
		if failed == nil {
			return answer, nil
		}
		ran = worse(ran, failed.Ran)
		last = deadlineOf(ctx, failed).WithRan(ran)
		tried[lease.Endpoint.Name] = true
		if ctx.Err() != nil || attempt >= r.settings.MaxAttempts || !lease.TakeRetry() {
			return nil, last
		}
	}
}

// attempt sends an idempotent call to the leased instance.
func (r *Runner) attempt(ctx context.Context, c *work.Call, lease *route.Lease, number int) (*work.Response, *failure.Error) {
	defer lease.Done()
	if number == 1 {
		lease.CountRequest()
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.AttemptTimeout)
	defer cancel()
	answer, failed := r.sender.send(ctx, c, lease.Endpoint)
	if failed != nil {
		lease.ReportFailure(failed.Message)
		return nil, failed
	}
	lease.ReportSuccess()
	return answer, nil
}

// worse returns which of two says more of the work having run.
func worse(a, b failure.Ran) failure.Ran {
	for _, ran := range []failure.Ran{failure.RanYes, failure.RanUnknown} {
		if a == ran || b == ran {
			return ran
		}
	}
	return failure.RanNo
}

// deadlineOf names a failure that came with the end of the request's time or
// of its caller. An idempotent call whose outcome is unknown may be repeated.
func deadlineOf(ctx context.Context, f *failure.Error) *failure.Error {
	code := failure.EndpointFailed
	switch ctx.Err() {
	case context.DeadlineExceeded:
		code = failure.Deadline
	case context.Canceled:
		code = failure.Canceled
	}
	return failure.Wrap(code, f.Step, f.Peer, f).WithRan(f.Ran).WithRetry(time.Second)
}
