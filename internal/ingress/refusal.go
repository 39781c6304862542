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
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	code   string
	reason string
	// retryAfter is when coming back can help; 0 if it can't by itself.
	retryAfter time.Duration
}

// The pauses after which a caller may come back.
const (
	// unreadyPause is the usual time of a start to its first configuration.
	unreadyPause = 300 * time.Millisecond
	// overloadPause is the time in which a router ends many of its requests.
	overloadPause = 500 * time.Millisecond
	// fullPause is the time in which an endpoint at its limit ends a request.
	fullPause = 250 * time.Millisecond
	// elsewherePause is where another try reaches a router that can serve: one
	// that does not stop, or that has a grant of its own while the store is
	// away.
	elsewherePause = 40 * time.Millisecond
	// busyPause is the time in which other routers settle requests or return
	// tokens.
	busyPause = time.Second
)

// spread is the part of a pause by which callers are set apart, so that they do
// not come back together.
const spread = 0.3

func after(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - spread + 2*spread*rand.Float64()))
}

func refuseBadRequest(err error) *refusal {
	return &refusal{status: http.StatusBadRequest, code: string(failure.BadRequest), reason: err.Error()}
}

func refuseUnready(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.StaleView), reason: reason, retryAfter: after(unreadyPause)}
}

func refuseOverload(inFlight int64) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Overloaded), reason: fmt.Sprintf("%d requests in flight", inFlight), retryAfter: after(overloadPause)}
}

// refuseDraining sends a caller to another router.
func refuseDraining() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Draining), reason: "router stops before the request could end", retryAfter: after(elsewherePause)}
}

func refuseNoRoute(revision int64) *refusal {
	return &refusal{status: http.StatusNotFound, code: string(failure.NotFound), reason: fmt.Sprintf("no route in configuration %d", revision)}
}

func refuseKey(revision int64) *refusal {
	return &refusal{status: http.StatusUnauthorized, code: string(failure.Unauthorized), reason: fmt.Sprintf("unknown key in configuration %d", revision)}
}

func refuseTooLarge(most int64) *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, code: string(failure.TooLarge), reason: fmt.Sprintf("body over %d bytes", most)}
}

func refuseFunds(err error) *refusal {
	r := &refusal{reason: err.Error()}
	switch {
	case errors.Is(err, prepaid.ErrExhausted):
		r.status, r.code = http.StatusPaymentRequired, string(failure.BudgetExhausted)
	case errors.Is(err, prepaid.ErrBusy):
		r.status, r.code, r.retryAfter = http.StatusServiceUnavailable, string(failure.BudgetBusy), after(busyPause)
	default:
		r.status, r.code, r.retryAfter = http.StatusServiceUnavailable, string(failure.StoreUnavailable), after(elsewherePause)
	}
	return r
}

func refuseNoEndpoint(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.NoEndpoint), reason: reason, retryAfter: after(fullPause)}
}

// refuseLate ends a request that was never sent and whose time is over.
func refuseLate(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: string(failure.Deadline), reason: "time over " + reason, retryAfter: after(fullPause)}
}

// failSent ends a request that an endpoint may have run.
func failSent(status int, err error) *refusal {
	return &refusal{status: status, code: string(failure.OutcomeUnknown), reason: err.Error()}
}

// refuse writes the answer.
func (q *request) refuse(r *refusal) {
	if q.http.Context().Err() != nil {
		q.gone = true
		return
	}
	q.status = r.status
	header := q.writer.Header()
	q.handler.duties.Codec.SetRequestID(header, q.said.ID)
	if r.retryAfter > 0 {
		q.handler.duties.Codec.SetRetryAfter(header, r.retryAfter)
	}
	body, err := json.Marshal(map[string]string{"error": r.code, "message": r.reason})
	if err != nil {
		panic(err) // strings always encode
	}
	header.Set("Content-Type", "application/json")
	q.writer.WriteHeader(r.status)
	if _, err := q.writer.Write(body); err != nil {
		q.gone = true // the line of the request says so
	}
}
