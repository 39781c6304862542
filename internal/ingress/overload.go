package ingress

import (
	"net/http"

	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/placement"
)

// weigh returns what an attempt shows of its endpoint. While the router is overloaded, a
// timeout or a failed dial is probably its own fault and shows nothing.
func (h *Handler) weigh(outcome attemptOutcome, o placement.Observation) placement.Observation {
	timedOut := o == placement.Unreachable || o == placement.Stalled || outcome == stalled
	if timedOut && h.deps.Load.Doubtful() {
		return placement.Inconclusive
	}
	return o
}

// suspect tells the balancer that an endpoint stalls, unless the router itself is overloaded.
func (h *Handler) suspect(e endpoints.Endpoint) {
	if !h.deps.Load.Doubtful() {
		h.deps.Balancer.Suspect(e)
	}
}

// closeAfterResponse makes the connection of a caller end after the response with the given
// header while the router drains or is overloaded, so that the caller connects to another
// router.
func (h *Handler) closeAfterResponse(header http.Header) {
	if h.drain.Load() != nil || h.deps.Load.Overloaded() {
		header.Set("Connection", "close")
	}
}

// countWritten counts bytes of a response that are written to the caller, for the work that a
// request is.
func (q *request) countWritten(bytes, writes int64) {
	q.written += bytes
	q.writes += writes
}
