package balancer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/requests"
)

// roundTripper is an http.RoundTripper that is a function.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// reportsWithStatus answers every request for a load report with the status after
// the delay that delayAt returns for the time since the test began.
func reportsWithStatus(status int, delayAt func(time.Duration) time.Duration) roundTripper {
	started := time.Now()
	return func(r *http.Request) (*http.Response, error) {
		select {
		case <-time.After(delayAt(time.Since(started))):
			return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(`{"slots":64}`)), Request: r}, nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// newUnreportedBalancer returns a balancer over three endpoints that have given no
// load report yet, whose reports come from the transport.
func newUnreportedBalancer(t *testing.T, transport http.RoundTripper) *Balancer {
	b := newTestBalancer(t, 3)
	b.deps.Clock, b.client.Transport = clock.Real{}, transport
	for _, s := range b.states {
		s.reportRequestedAt = time.Time{}
	}
	return b
}

// pickBefore picks an endpoint for a request with the deadline timeout from now, and
// returns how long that took.
func pickBefore(t *testing.T, b *Balancer, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	started := time.Now()
	_, err := b.PickForModel(ctx, &requests.Generation{RequestInfo: requests.RequestInfo{Workspace: "coop"}, Model: "m"}, nil)
	return time.Since(started), err
}

// TestLateReportsDoNotRefuseRequests guards against refusals while the endpoints are
// too busy to report within the poll timeout, although the deadlines leave time.
func TestLateReportsDoNotRefuseRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busyTime = 5 * time.Second
		b := newUnreportedBalancer(t, reportsWithStatus(http.StatusOK, func(at time.Duration) time.Duration {
			if at < busyTime {
				return time.Second
			}
			return time.Millisecond
		}))
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				// Most requests find reads of reports in progress that soon time out.
				time.Sleep(time.Duration(i) * 70 * time.Millisecond)
				_, err := pickBefore(t, b, 20*time.Second)
				assert.Check(t, err)
			})
		}
		group.Wait()
		assert.Check(t, b.metrics.staleReports.Get() > 0)
	})
}

// TestEndpointsWithoutReportsRefuseInTime guards against requests that wait for
// endpoints which will not report: at once if they respond with errors, and while
// half of the time to the deadline remains if they are silent.
func TestEndpointsWithoutReportsRefuseInTime(t *testing.T) {
	for name, c := range map[string]struct {
		status   int
		delay    time.Duration
		earliest time.Duration
		latest   time.Duration
	}{
		"errors": {status: http.StatusInternalServerError},
		// The last round begins before 10 s and reads three reports.
		"silence": {status: http.StatusOK, delay: time.Hour, earliest: 10 * time.Second, latest: 11500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newUnreportedBalancer(t, reportsWithStatus(c.status, func(time.Duration) time.Duration { return c.delay }))
				elapsed, err := pickBefore(t, b, 20*time.Second)
				assert.Equal(t, failure.CodeOf(err), failure.StaleView)
				assert.Equal(t, failure.As(err).Ran, failure.RanNo)
				assert.Assert(t, failure.As(err).RetryAfter > 0)
				assert.Assert(t, elapsed >= c.earliest && elapsed <= c.latest, "refused after %v", elapsed)
			})
		})
	}
}

// TestCanceledRequestStopsWaitingForReports guards against reads of load reports for
// a caller that has disconnected.
func TestCanceledRequestStopsWaitingForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newUnreportedBalancer(t, reportsWithStatus(http.StatusOK, func(time.Duration) time.Duration { return time.Hour }))
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		time.AfterFunc(time.Second, cancel)
		started := time.Now()
		_, err := b.PickForModel(ctx, &requests.Generation{RequestInfo: requests.RequestInfo{Workspace: "coop"}, Model: "m"}, nil)
		assert.Equal(t, failure.CodeOf(err), failure.StaleView)
		assert.Assert(t, time.Since(started) <= 3*b.settings.PollTimeout, "waited %v", time.Since(started))
	})
}

// TestWaitForReportsConfirmsConfigurationAgain guards against an assignment by a
// configuration that went out of date while the request waited for load reports.
func TestWaitForReportsConfirmsConfigurationAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newUnreportedBalancer(t, reportsWithStatus(http.StatusOK, func(at time.Duration) time.Duration {
			return max(time.Millisecond, 3*time.Second-at)
		}))
		started := time.Now()
		outdated := failure.New(failure.StaleView, "confirm configuration", "platform", "too old")
		b.deps.ConfirmView = func(context.Context) error {
			if time.Since(started) > time.Second {
				return outdated
			}
			return nil
		}
		_, err := pickBefore(t, b, 20*time.Second)
		assert.ErrorIs(t, err, outdated)
	})
}
