package connlimit

import "time"

// phase is what a connection is doing.
type phase int

const (
	idle    phase = iota // no byte of the next request has been read
	head                 // a part of the head of a request has been read
	body                 // the head is complete and the request was not passed on yet
	serving              // the request was passed on; the connection is not closed by limits
)

// view is what the choice of a connection to close depends on.
type view struct {
	phase phase
	// served is set once the connection has had a request.
	served bool
	// phaseAge is the time since the phase began, age that since the connection was accepted, and
	// stall that since the last progress.
	phaseAge, age, stall time.Duration
	// headBytes are the bytes read of an incomplete head.
	headBytes int
}

// stalledAfter is the time without progress after which a body counts as stalled. The bytes of an
// ordinary caller arrive several times a second.
const stalledAfter = 2 * time.Second

// rank returns the order in which connections are closed, 0 first, and false if v is never closed
// for its number. Connections with an incomplete request come before idle ones, which ordinary
// callers have by the hundred.
func (v view) rank() (int, bool) {
	switch {
	case v.phase == head:
		return 0, true
	case v.phase == body && v.stall >= stalledAfter:
		return 1, true
	case v.phase == idle && !v.served:
		return 2, true
	case v.phase == idle:
		return 3, true
	}
	return 0, false
}

// matureIn returns how long to wait until v may be closed. A connection gets the time grace to be
// scheduled and read after its phase began.
func (v view) matureIn(grace time.Duration) time.Duration { return max(grace-v.phaseAge, 0) }

// choose returns the index of the connection to close so that another one can be accepted. If none
// may be closed yet, the index is -1 and wait is the time until one may, or 0 if there is none. It
// responds to callers that open connections and do not complete requests on them: of equal rank, the
// one with the largest head is closed, then the newest.
func choose(views []view, grace time.Duration) (index int, wait time.Duration) {
	index = -1
	best := 0
	for i, v := range views {
		rank, ok := v.rank()
		if !ok {
			continue
		}
		if left := v.matureIn(grace); left > 0 {
			if index < 0 && (wait == 0 || left < wait) {
				wait = left
			}
			continue
		}
		if index < 0 || rank < best || rank == best && before(v, views[index]) {
			index, best, wait = i, rank, 0
		}
	}
	return index, wait
}

// before reports whether v is closed before w of the same rank.
func before(v, w view) bool {
	if v.headBytes != w.headBytes {
		return v.headBytes > w.headBytes
	}
	return v.age < w.age
}
