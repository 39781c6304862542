package timeline

import (
	"sync"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// Ring keeps the latest events of one process in memory. It implements
// event.Recorder and is safe for concurrent use.
//
// Request events and retained events have separate segments, so that many
// requests do not overwrite the rare events that explain them, such as a change
// of the configuration.
type Ring struct {
	self  bus.ID
	clock *hlc.Clock

	mu       sync.Mutex // guards all fields below
	seq      uint64     // sequence number of the latest event
	requests segment
	retained segment
}

var _ event.Recorder = (*Ring)(nil)

// NewRing returns an empty ring of the process self. The clock stamps its events.
func NewRing(s Settings, self bus.ID, clock *hlc.Clock) *Ring {
	return &Ring{self: self, clock: clock, requests: newSegment(s.Events), retained: newSegment(s.RetainedEvents)}
}

// Clock returns the clock that stamps the events. Messages between routers carry
// its stamps, so that the events of all routers are causally ordered.
func (r *Ring) Clock() *hlc.Clock { return r.clock }

// Record implements event.Recorder. If the segment is full, its oldest event is
// overwritten.
func (r *Ring) Record(e event.Event) {
	e.VM, e.Incarnation = r.self.VM, r.self.Incarnation
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Seq = r.seq
	e.Time = r.clock.Now()
	if isRetained(&e) {
		r.retained.add(e)
		return
	}
	r.requests.add(e)
}

// isRetained reports whether an event belongs to the retained segment: changes
// of in-doubt grants, and events of the other components that belong to no
// request.
func isRetained(e *event.Event) bool {
	switch e.Kind {
	case event.GrantInDoubt, event.InDoubtGrantResolved:
		return true
	}
	switch e.Component {
	case event.ComponentCaller, event.ComponentDispatch, event.ComponentBudget, event.ComponentCall, event.ComponentPlatform:
		return false
	}
	return e.Request == ""
}

// Counts are the numbers of events that a ring has recorded and overwritten
// since the process started.
type Counts struct {
	Recorded    uint64
	Overwritten uint64
}

// Counts returns the current counts.
func (r *Ring) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Recorded: r.seq, Overwritten: r.requests.overwritten() + r.retained.overwritten()}
}

// maxPageScan bounds the events that are read for one page, since the lock is
// held meanwhile.
const maxPageScan = 8192

// Page returns the events in the ring that match the query, in order of their
// sequence numbers. It returns fewer than the limit, possibly none, with More set
// if it stops at maxPageScan.
func (r *Ring) Page(q Query) Page {
	since := q.Since
	if q.Incarnation != r.self.Incarnation {
		since = 0
	}
	limit := q.limit()
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{VM: r.self.VM, Incarnation: r.self.Incarnation, Now: r.clock.Now(), Next: since, Events: []event.Event{}}
	scanned := uint64(0)
	requests, retained := r.requests.after(since), r.retained.after(since)
	for len(page.Events) < limit && scanned < maxPageScan {
		e := nextInOrder(&requests, &retained)
		if e == nil {
			page.Next = r.seq
			break
		}
		scanned++
		page.Next = e.Seq
		if q.Filter.Matches(e) {
			page.Events = append(page.Events, *e)
		}
	}
	page.More = page.Next < r.seq
	page.Dropped = page.Next - min(since, page.Next) - scanned
	return page
}

// segment is a ring buffer of events. It does no locking of its own.
type segment struct {
	events []event.Event
	added  uint64 // events ever added
}

func newSegment(size int) segment { return segment{events: make([]event.Event, size)} }

// add adds an event and overwrites the oldest one if the segment is full.
func (s *segment) add(e event.Event) {
	s.events[s.added%uint64(len(s.events))] = e
	s.added++
}

// overwritten returns the number of events that were overwritten, which is also
// the index of the oldest event that is kept.
func (s *segment) overwritten() uint64 {
	return s.added - min(s.added, uint64(len(s.events)))
}

// at returns the i-th event ever added, counted from 0. It must not have been
// overwritten.
func (s *segment) at(i uint64) *event.Event { return &s.events[i%uint64(len(s.events))] }

// cursor reads the events of a segment in order; next is the index of the
// following one.
type cursor struct {
	segment *segment
	next    uint64
}

// after returns a cursor at the oldest event in the segment with a sequence
// number above seq. The events must have been added in order of their numbers.
func (s *segment) after(seq uint64) cursor {
	low, high := s.overwritten(), s.added
	for low < high {
		middle := (low + high) / 2
		if s.at(middle).Seq <= seq {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return cursor{segment: s, next: low}
}

// peek returns the event at the cursor without advancing, or nil at the end.
func (c *cursor) peek() *event.Event {
	if c.next >= c.segment.added {
		return nil
	}
	return c.segment.at(c.next)
}

// nextInOrder returns the event with the lower sequence number at two cursors
// and advances its cursor. It returns nil if both are at the end.
func nextInOrder(a, b *cursor) *event.Event {
	x, y := a.peek(), b.peek()
	if x == nil && y == nil {
		return nil
	}
	if y == nil || x != nil && x.Seq < y.Seq {
		a.next++
		return x
	}
	b.next++
	return y
}
