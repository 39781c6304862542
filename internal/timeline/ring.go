package timeline

import (
	"sync"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// Ring keeps the latest events of one process. It implements event.Recorder
// and is safe for concurrent use.
//
// Events of requests and lasting events have separate segments, so that a
// busy minute does not push out the change of configuration that began it.
type Ring struct {
	self  bus.ID
	clock *hlc.Clock

	mu       sync.Mutex // guards all below
	seq      uint64
	requests segment
	retained segment
}

var _ event.Recorder = (*Ring)(nil)

// NewRing returns an empty ring.
func NewRing(s Settings, self bus.ID, clock *hlc.Clock) *Ring {
	return &Ring{self: self, clock: clock, requests: newSegment(s.Events), retained: newSegment(s.RetainedEvents)}
}

// Clock returns the clock that stamps the events. Messages between routers
// carry its stamps.
func (r *Ring) Clock() *hlc.Clock { return r.clock }

// Record implements event.Recorder. The oldest event of the same segment is
// overwritten if the segment is full.
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

// isLasting reports whether an event belongs to the lasting segment.
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

// Counts says how many events a ring has taken and overwritten.
type Counts struct {
	Recorded    uint64
	Overwritten uint64
}

// Counts returns the counts since the start of the process.
func (r *Ring) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Recorded: r.seq, Overwritten: r.requests.overwritten() + r.retained.overwritten()}
}

// maxPageScan bounds the events that one page looks at under the lock.
const maxPageScan = 8192

// Page returns the kept events that the query asks for.
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

// segment is a ring buffer of events in order of their numbers.
type segment struct {
	events []event.Event
	added  uint64
}

func newSegment(size int) segment { return segment{events: make([]event.Event, size)} }

func (s *segment) add(e event.Event) {
	s.events[s.added%uint64(len(s.events))] = e
	s.added++
}

func (s *segment) overwritten() uint64 {
	return s.added - min(s.added, uint64(len(s.events)))
}

// at returns the i-th event ever added, which must still be kept.
func (s *segment) at(i uint64) *event.Event { return &s.events[i%uint64(len(s.events))] }

// cursor walks a segment.
type cursor struct {
	segment *segment
	next    uint64
}

// after returns a cursor at the first kept event with a number above seq.
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

// peek returns the event at the cursor, or nil at the end.
func (c *cursor) peek() *event.Event {
	if c.next >= c.segment.added {
		return nil
	}
	return c.segment.at(c.next)
}

// earlier takes the event with the lower number from two cursors, or returns
// nil if both are at the end.
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
