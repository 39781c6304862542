package ingress

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"daisyslip.dev/daisyslip/internal/upstream"
)

// errSequence is returned if the id of an event does not follow on that of the event before, as when an endpoint has
// spoiled one of them, or resumes a stream at the wrong event.
var errSequence = errors.New("events do not follow on those passed on")

// sequence follows the ids of the events of a stream, over all endpoints that serve it one after another, and decides which
// events are forwarded and whether another endpoint can resume the stream. An id that is no number has no known
// order. Numbers rise by one. One that does not shows that the id of this event or of the one before is
// spoiled: that of the one before only if nothing has confirmed it.
type sequence struct {
	// id is the id of the last event that has one, and withoutID the number of events after it that have none.
	id        string
	withoutID int64
	// confirmed is set if id followed on a number, or the caller has named it.
	confirmed bool
	// named is set if the caller resumes the stream, and resumes if the current run goes on after events that the
	// caller has. begun is set once an event of the run was accepted.
	named, resumes, begun bool
	// skipped is the number of the run's newest event that the caller has already, and overlaps is set if there is one.
	skipped  int64
	overlaps bool
}

// resumeSequence returns the sequence of a stream that its caller resumes after an event, or begins if id is empty.
func resumeSequence(id string) sequence {
	s := sequence{id: id, confirmed: id != "", named: id != ""}
	s.startRun(false)
	return s
}

// startRun begins a run of the stream. forwarded says that the caller has events of another run.
func (s *sequence) startRun(forwarded bool) {
	s.resumes, s.begun, s.overlaps = s.named || forwarded, false, false
}

// resumable reports whether a run can go on right after the last event.
func (s *sequence) resumable() bool { return s.withoutID == 0 }

// next decides on the next event of the run, by its id, which is empty if it has none. It returns true for an event
// that the caller already has. After an error, which wraps errSequence or upstream.ErrMalformed, the sequence is that
// before the event.
func (s *sequence) next(id string) (skip bool, err error) {
	if !canResumeAfter(id) {
		return false, fmt.Errorf("%w: event id %.32q", upstream.ErrMalformed, id)
	}
	last, lastErr := strconv.ParseInt(s.id, 10, 64)
	number, numberErr := strconv.ParseInt(id, 10, 64)
	switch {
	case lastErr == nil && numberErr != nil && s.resumes && !s.begun:
		return false, fmt.Errorf("%w: id %.32q of a run that is to go on after %d", upstream.ErrMalformed, id, last)
	case id == "":
		s.withoutID++
		s.begun = true
		return false, nil
	case lastErr != nil, numberErr != nil && !s.confirmed:
		s.accept(id, false)
		return false, nil
	case numberErr != nil:
	case s.resumes && !s.begun && number <= last && (!s.overlaps || number == s.skipped+1):
		s.overlaps, s.skipped = true, number
		return true, nil
	case number > last && number <= last+1+s.withoutID && (!s.overlaps || s.begun || s.skipped == last):
		s.accept(id, true)
		return false, nil
	}
	return false, fmt.Errorf("%w: %w: id %.32q after %.32q", upstream.ErrMalformed, errSequence, id, s.id)
}

// accept notes an event that is forwarded.
func (s *sequence) accept(id string, confirmed bool) {
	s.id, s.withoutID, s.confirmed, s.begun = id, 0, confirmed, true
}

// maxEventIDBytes bounds the id of an event.
const maxEventIDBytes = 256

// canResumeAfter reports whether an event id can be sent in a header.
func canResumeAfter(id string) bool {
	return len(id) <= maxEventIDBytes && !strings.ContainsAny(id, "\r\n\x00")
}
