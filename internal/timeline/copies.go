package timeline

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// copyKind is the request by which a router sends copies of its events.
const copyKind bus.Kind = "timeline.copy"

// copyBatch is a batch of copied events. The events leave out the VM and the
// incarnation, which are those of the sender.
type copyBatch struct {
	Events []event.Event `cbor:"1,keyasint"`
}

// copyReceipt answers a batch.
type copyResponse struct {
	// Stored counts the events that were new.
	Stored int `cbor:"1,keyasint"`
}

// Copies keeps copies of other routers' events, so that a part of a router's
// story outlives it. It is safe for concurrent use.
type Copies struct {
	self  bus.ID
	clock *hlc.Clock

	mu      sync.Mutex // guards all below
	events  segment
	lastSeq map[bus.ID]uint64 // number of the newest event of each sender
	senders []bus.ID          // keys of latest, oldest first
}

// maxSenders bounds the senders that are remembered.
const maxSenders = 1024

// NewCopies returns an empty store of copies.
func NewCopies(s Settings, self bus.ID, clock *hlc.Clock) *Copies {
	return &Copies{self: self, clock: clock, events: newSegment(s.CopiedEvents), lastSeq: make(map[bus.ID]uint64)}
}

// store keeps the events of a batch that are newer than what the sender sent
// before; a batch may come twice.
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

// rememberLocked makes room for a sender and forgets the oldest one.
func (c *Copies) addSenderLocked(from bus.ID) {
	c.senders = append(c.senders, from)
	if len(c.senders) > maxSenders {
		delete(c.lastSeq, c.senders[0])
		c.senders = c.senders[1:]
	}
}

// Page returns the kept copies that the query asks for; its cursor counts
// copies in the order of their arrival.
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

// copyMetrics count the copies that a router sends.
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
