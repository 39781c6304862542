package timeline

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// Source reads the events of one router.
type Source interface {
	// Name identifies the router in notices.
	Name() string
	// Page returns one page of the router's events.
	Page(ctx context.Context, q Query) (Page, error)
}

// Backup is a Source of the copies that a router stores of other routers' events. No
// notice is given if it fails or has lost events, since it is only a fallback.
type Backup interface {
	Source
	// IsBackup marks the implementation; it does nothing.
	IsBackup()
}

// Notice describes a gap in a merged timeline.
type Notice struct {
	// Source names the router.
	Source string
	// Err is the error with which the read of the router failed, or nil.
	Err error
	// Dropped counts events that were overwritten before they were read.
	Dropped uint64
	// Restarted is true if the router has restarted since it was last read.
	// Events of its previous incarnation that were not read are lost.
	Restarted bool
}

// String returns the notice as a sentence for operators.
func (n Notice) String() string {
	switch {
	case n.Err != nil:
		return fmt.Sprintf("%s does not answer: %v", n.Source, n.Err)
	case n.Restarted:
		return n.Source + " has restarted; its earlier events are lost"
	}
	return fmt.Sprintf("%s has overwritten %d events", n.Source, n.Dropped)
}

// Collector merges the events of several routers. It is not safe for
// concurrent use.
type Collector struct {
	// Timeout bounds one page of one router.
	Timeout time.Duration

	readers []*sourceReader
	pending []event.Event // read, but not safe to return in order yet
}

// sourceReader holds the cursor in the events of one router.
type sourceReader struct {
	source      Source
	incarnation string
	next        uint64
	failing     bool // the last read failed; a notice is given only for the first failure
}

// DefaultTimeout is the initial Collector.Timeout.
const DefaultTimeout = 3 * time.Second

// NewCollector returns a collector that reads the sources from their first
// event.
func NewCollector(sources []Source) *Collector {
	c := &Collector{Timeout: DefaultTimeout}
	for _, s := range sources {
		c.readers = append(c.readers, &sourceReader{source: s})
	}
	return c
}

// roundResult holds what was read from one router in one round.
type roundResult struct {
	events  []event.Event
	now     hlc.Time // the router's clock at the last page
	notices []Notice
	failed  bool
}

// Next reads the new events of all routers. It returns them in causal order up
// to the earliest clock among the routers that responded; later events are held
// for the next call, since a router may still record earlier ones. A router that
// does not respond delays no events; a notice is given when it first fails to
// respond, and not again until it has responded.
func (c *Collector) Next(ctx context.Context, f Filter) ([]event.Event, []Notice) {
	results := c.readSources(ctx, f)
	var notices []Notice
	var horizon hlc.Time
	for _, r := range results {
		c.pending = append(c.pending, r.events...)
		notices = append(notices, r.notices...)
		if !r.failed && (horizon == hlc.Time{} || r.now.Compare(horizon) < 0) {
			horizon = r.now
		}
	}
	slices.SortFunc(c.pending, event.Compare)
	ready := len(c.pending)
	if (horizon != hlc.Time{}) {
		ready, _ = slices.BinarySearchFunc(c.pending, horizon, func(e event.Event, t hlc.Time) int { return e.Time.Compare(t) })
	}
	events := c.pending[:ready:ready]
	c.pending = c.pending[ready:]
	return events, notices
}

// TakePending returns the events that Next has held back, in causal order, and
// clears them.
func (c *Collector) TakePending() []event.Event {
	pending := c.pending
	c.pending = nil
	return pending
}

// All reads all events that the routers still keep, in causal order. An event
// that is also stored as a copy is returned once.
func (c *Collector) All(ctx context.Context, f Filter) ([]event.Event, []Notice) {
	events, notices := c.Next(ctx, f)
	events = append(events, c.TakePending()...)
	slices.SortFunc(events, event.Compare)
	isDuplicate := func(a, b event.Event) bool { return event.Compare(a, b) == 0 }
	return slices.CompactFunc(events, isDuplicate), notices
}

// readSources reads all routers concurrently.
func (c *Collector) readSources(ctx context.Context, f Filter) []roundResult {
	results := make([]roundResult, len(c.readers))
	var group sync.WaitGroup
	for i, r := range c.readers {
		group.Go(func() { results[i] = r.read(ctx, f, c.Timeout) })
	}
	group.Wait()
	return results
}

// read reads pages until the router has no more events or a page fails. Events of
// the pages before a failed one are kept.
func (r *sourceReader) read(ctx context.Context, f Filter, timeout time.Duration) roundResult {
	var result roundResult
	for {
		page, err := r.page(ctx, f, timeout)
		if err != nil {
			result.failed = true
			if !r.failing && !r.isBackup() {
				result.notices = append(result.notices, Notice{Source: r.source.Name(), Err: err})
			}
			r.failing = true
			return result
		}
		r.failing = false
		result.notices = append(result.notices, r.advance(page)...)
		result.events = append(result.events, page.Events...)
		result.now = page.Now
		if !page.More {
			return result
		}
	}
}

// isBackup reports whether the source holds copies of other routers' events.
func (r *sourceReader) isBackup() bool {
	_, isBackup := r.source.(Backup)
	return isBackup
}

// page reads the page at the cursor, within timeout.
func (r *sourceReader) page(ctx context.Context, f Filter, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.source.Page(ctx, Query{Filter: f, Incarnation: r.incarnation, Since: r.next})
}

// advance moves the cursor past a page and returns notices of events that were
// lost before it.
func (r *sourceReader) advance(page Page) []Notice {
	var notices []Notice
	if r.incarnation != "" && r.incarnation != page.Incarnation && !r.isBackup() {
		notices = append(notices, Notice{Source: r.source.Name(), Restarted: true})
	}
	if page.Dropped > 0 && !r.isBackup() {
		notices = append(notices, Notice{Source: r.source.Name(), Dropped: page.Dropped})
	}
	r.incarnation, r.next = page.Incarnation, page.Next
	return notices
}
