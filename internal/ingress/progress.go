package ingress

import (
	"fmt"
	"strings"
)

// responseProgress is how far the response to one attempt has come.
type responseProgress int

const (
	// noResponse: the head of the response was not received.
	noResponse responseProgress = iota
	// responseStarted: the head was received, but no complete event of a stream.
	responseStarted
	// eventsForwarded: at least one event of this attempt was forwarded.
	eventsForwarded
)

// String returns the name of the progress in log lines and metrics.
func (p responseProgress) String() string {
	return [...]string{"no response", "started", "events"}[p]
}

// countFailedAttempt counts an attempt that ended without a complete response.
func (s *stats) countFailedAttempt(outcome attemptOutcome, progress responseProgress) {
	s.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_attempts_failed_total{end=%q,progress=%q}", outcome, progress)).Inc()
}

// maxLoggedSegments bounds the segments in one log line.
const maxLoggedSegments = 16

// loggedSegments returns the ids of the segments that other requests can have in
// common with this one, separated by commas. Beyond maxLoggedSegments it ends in the
// number of the others.
func (q *request) loggedSegments() string {
	shared := q.params.Generation.SharedSegments()
	ids := make([]string, 0, min(len(shared), maxLoggedSegments+1))
	for _, s := range shared[:min(len(shared), maxLoggedSegments)] {
		ids = append(ids, s.ID)
	}
	if others := len(shared) - len(ids); others > 0 {
		ids = append(ids, fmt.Sprintf("and %d others", others))
	}
	return strings.Join(ids, ",")
}
