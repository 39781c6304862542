package timeline

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// copyKind is the kind of the peer request that carries copies of events.
const copyKind bus.Kind = "timeline.copy"

// copyBatch is the body of the request. The VM and incarnation of the events are
// empty to save bytes; they are those of the sender.
type copyBatch struct {
	Events []event.Event `cbor:"1,keyasint"`
}

// copyResponse is the response to a copyBatch.
type copyResponse struct {
	// Stored is the number of events that the receiver did not have yet.
	Stored int `cbor:"1,keyasint"`
}

// Copies stores copies of other routers' events, so that the important events of
// a router survive its death. It is safe for concurrent use.
type Copies struct {
	self  bus.ID
	clock *hlc.Clock

	mu      sync.Mutex // guards all fields below
	events  segment
	lastSeq map[bus.ID]uint64 // highest sequence number stored of each sender
	senders []bus.ID          // keys of lastSeq, in the order in which they were added
}

// maxSenders bounds the entries of Copies.lastSeq. Each incarnation of a router
// is a sender of its own.
const maxSenders = 1024

// NewCopies returns an empty store of copies at the router self.
func NewCopies(s Settings, self bus.ID, clock *hlc.Clock) *Copies {
	return &Copies{self: self, clock: clock, events: newSegment(s.CopiedEvents), lastSeq: make(map[bus.ID]uint64)}
}

// store adds the events of a batch that are newer than those stored of the same
// sender. A sender repeats a batch whose response it did not receive.
func (c *Copies) store(from bus.ID, batch copyBatch) copyResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastSeq, known := c.lastSeq[from]
	if !known {
		c.addSenderLocked(from)
	}
	stored := 0
	for _, e := range batch.Events {
		if e.Seq <= lastSeq {
			continue
		}
		lastSeq = e.Seq
		e.VM, e.Incarnation = from.VM, from.Incarnation
		c.events.add(e)
		stored++
	}
	c.lastSeq[from] = lastSeq
	return copyResponse{Stored: stored}
}

// addSenderLocked adds a sender and, above maxSenders, removes the one that was
// added first. The caller holds c.mu.
func (c *Copies) addSenderLocked(from bus.ID) {
	c.senders = append(c.senders, from)
	if len(c.senders) > maxSenders {
		delete(c.lastSeq, c.senders[0])
		c.senders = c.senders[1:]
	}
}

// Page returns the stored copies that match the query, in the order of their
// arrival. Its cursor is a position in that order, counted over all copies ever
// stored.
func (c *Copies) Page(q Query) Page {
	since := q.Since
	if q.Incarnation != c.self.Incarnation {
		since = 0
	}
	limit := q.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	from := max(since, c.events.overwritten())
	page := Page{
		VM: c.self.VM, Incarnation: c.self.Incarnation, Now: c.clock.Now(),
		Next: from, Dropped: from - since, Events: []event.Event{},
	}
	for page.Next < c.events.added && len(page.Events) < limit {
		if e := c.events.at(page.Next); q.Filter.Matches(e) {
			page.Events = append(page.Events, *e)
		}
		page.Next++
	}
	page.More = page.Next < c.events.added
	return page
}

// copyMetrics are the counters of the copies that a router sends to its peer.
type copyMetrics struct {
	sent    *metrics.Counter
	bytes   *metrics.Counter
	skipped *metrics.Counter
	failed  *metrics.Counter
}

func newCopyMetrics(set *metrics.Set) copyMetrics {
	return copyMetrics{
		sent:    set.NewCounter("daisyslip_timeline_copied_events_total"),
		bytes:   set.NewCounter("daisyslip_timeline_copied_bytes_total"),
		skipped: set.NewCounter("daisyslip_timeline_uncopied_events_total"),
		failed:  set.NewCounter("daisyslip_timeline_copy_failures_total"),
	}
}
