package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/internal/quarantine"
)

// refusal is an error response that the router itself creates.
type refusal struct {
	status int    // HTTP status
	code   string // a failure.Code
	reason string // message to the caller, also logged
	// retryAfter is the delay after which a retry can succeed; 0 if waiting alone
	// does not help.
	retryAfter time.Duration
}

// Delays after which a caller may retry, before jitter.
const (
	// unreadyRetryDelay is the time that a starting router usually needs to read
	// its first configuration.
	unreadyRetryDelay = 300 * time.Millisecond
	// overloadRetryDelay is the time in which a router completes many of its
	// requests.
	overloadRetryDelay = 500 * time.Millisecond
	// endpointFullRetryDelay is the time in which an endpoint at its limit
	// completes a request.
	endpointFullRetryDelay = 250 * time.Millisecond
	// evacuatedRetryDelay is about the time in which routers learn of the end of an
	// evacuation, which is not known in advance.
	evacuatedRetryDelay = time.Second
	// otherRouterRetryDelay is short, since another router may serve the retry at
	// once: one that does not drain, or one that has a grant while the store is
	// unavailable.
	otherRouterRetryDelay = 40 * time.Millisecond
	// minRetryDelay is the shortest delay that is not zero in the two decimals of Retry-After.
	minRetryDelay = 10 * time.Millisecond
	// maxBudgetRetryDelay bounds the delay until tokens are unlocked, since the store
	// may be reached again at any time.
	maxBudgetRetryDelay = 5 * time.Second
	// budgetBusyRetryDelay is the time in which other routers settle requests or
	// return tokens.
	budgetBusyRetryDelay = time.Second
)

// retryDelayJitter is the share of a delay by which it is randomly shortened or
// extended, so that callers do not all retry at the same time.
const retryDelayJitter = 0.3

// withJitter returns a random duration around delay.
func withJitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 - retryDelayJitter + 2*retryDelayJitter*rand.Float64()))
}

func refuseBadRequest(err error) *refusal {
	return &refusal{status: http.StatusBadRequest, code: string(failure.BadRequest), reason: err.Error()}
}

func refuseUnready(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.StaleView), reason: reason, retryAfter: withJitter(unreadyRetryDelay)}
}

func refuseOverload(inFlight int64) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Overloaded), reason: fmt.Sprintf("%d requests in flight", inFlight), retryAfter: withJitter(overloadRetryDelay)}
}

// refuseNoMemory refuses a request of whose body there is no room for more than the given
// bytes.
func refuseNoMemory(received int) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Overloaded), reason: fmt.Sprintf("no memory for the body after %d bytes", received), retryAfter: withJitter(overloadRetryDelay)}
}

// refuseStalled refuses a request whose body stopped after the given bytes.
func refuseStalled(received int) *refusal {
	return &refusal{status: http.StatusRequestTimeout, code: string(failure.Deadline), reason: fmt.Sprintf("body stopped after %d bytes", received)}
}

// refuseDraining refuses a request that may outlast the drain. The caller's retry
// reaches another router.
func refuseDraining() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Draining), reason: "router stops before the request could end", retryAfter: withJitter(otherRouterRetryDelay)}
}

func refuseNoRoute(revision int64) *refusal {
	return &refusal{status: http.StatusNotFound, code: string(failure.NotFound), reason: fmt.Sprintf("no route in configuration %d", revision)}
}

func refuseUnknownKey(revision int64) *refusal {
	return &refusal{status: http.StatusUnauthorized, code: string(failure.Unauthorized), reason: fmt.Sprintf("unknown key in configuration %d", revision)}
}

func refuseTooLarge(maxBytes int64) *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, code: string(failure.TooLarge), reason: fmt.Sprintf("body over %d bytes", maxBytes)}
}

// refuseBudget refuses a request for which prepaid.Holder.Reserve has failed with
// err.
func refuseBudget(err error) *refusal {
	r := &refusal{reason: err.Error()}
	switch {
	case errors.Is(err, prepaid.ErrExhausted):
		r.status, r.code = http.StatusPaymentRequired, string(failure.BudgetExhausted)
	case errors.Is(err, prepaid.ErrBusy):
		r.status, r.code, r.retryAfter = http.StatusServiceUnavailable, string(failure.BudgetBusy), withJitter(budgetBusyRetryDelay)
	default:
		r.status, r.code, r.retryAfter = http.StatusServiceUnavailable, string(failure.StoreUnavailable), withJitter(otherRouterRetryDelay)
	}
	if after, known := prepaid.RetryAfter(err); known && r.retryAfter > 0 {
		r.retryAfter = min(max(after, otherRouterRetryDelay), maxBudgetRetryDelay)
		r.retryAfter += time.Duration(rand.Int64N(int64(r.retryAfter)/4 + 1))
	}
	return r
}

// refuseAtRateLimit refuses a request because the endpoints that could serve it are at
// their rate limits, want no requests, or are cold. The first of them takes a request after opensIn.
func refuseAtRateLimit(pool string, opensIn time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.NoEndpoint), reason: "endpoints of pool " + pool + " are at their rate limits, refuse requests, or are cold", retryAfter: max(opensIn, minRetryDelay)}
}

// refuseQuarantined refuses a request that crashes endpoints, or whose prompt does. A
// retry is of no use before the quarantine ends.
func refuseQuarantined(r quarantine.Refusal) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Quarantined), reason: r.Reason, retryAfter: r.RetryAfter}
}

func refuseNoEndpoint(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.NoEndpoint), reason: reason, retryAfter: withJitter(endpointFullRetryDelay)}
}

// refuseEvacuated refuses a request whose pool has endpoints in evacuated failure domains
// only.
func refuseEvacuated(pool string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.NoEndpoint), reason: "all endpoints of pool " + pool + " are in evacuated failure domains", retryAfter: withJitter(evacuatedRetryDelay)}
}

// refuseDeadlineExceeded refuses a request that was never sent and whose deadline
// has passed. Reason completes the message "time over ...".
func refuseDeadlineExceeded(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Deadline), reason: "time over " + reason, retryAfter: withJitter(endpointFullRetryDelay)}
}

// refuseOutcomeUnknown ends a request that an endpoint may have executed. It has no
// retryAfter.
func refuseOutcomeUnknown(status int, err error) *refusal {
	return &refusal{status: status, code: string(failure.OutcomeUnknown), reason: err.Error()}
}

// writeRefusal writes a refusal to the caller as JSON with the fields "error" (a
// code of package failure) and "message".
func (q *request) writeRefusal(r *refusal) {
	if q.httpRequest.Context().Err() != nil && q.conn.Err() == nil { // the end of reads by a limit ends the context, too
		q.disconnected = true
		return
	}
	q.status = r.status
	header := q.writer.Header()
	if q.conn.Err() != nil {
		header.Set("Connection", "close")
	}
	q.handler.deps.Codec.SetRequestID(header, q.params.ID)
	if r.retryAfter > 0 {
		q.handler.deps.Codec.SetRetryAfter(header, r.retryAfter)
	}
	body, err := json.Marshal(map[string]string{"error": r.code, "message": r.reason})
	if err != nil {
		panic(err) // strings always encode
	}
	header.Set("Content-Type", "application/json")
	q.handler.closeAfterResponse(header)
	q.writer.WriteHeader(r.status)
	if _, err := q.writer.Write(body); err != nil {
		q.writeFailed(err)
	}
}

// discardRemaining sends a refusal to a caller whose request a limit has ended, and discards what the
// caller still sends. Otherwise the close of the connection could overtake the refusal.
func (q *request) discardRemaining() {
	if q.conn.Err() == nil || q.disconnected {
		return
	}
	if err := http.NewResponseController(q.writer).Flush(); err != nil {
		q.writeFailed(err)
		return
	}
	q.conn.Discard(q.deadline)
}

// writeFailed records that a write to the caller failed. The connection is of no use any
// more.
func (q *request) writeFailed(err error) {
	q.disconnected = true
	if q.writeErr == nil {
		q.writeErr = err
	}
}
