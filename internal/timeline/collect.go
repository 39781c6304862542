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

// Source answers queries for the events of one router.
type Source interface {
	// Name is how messages name the router.
	Name() string
	Page(ctx context.Context, q Query) (Page, error)
}

// Backup is a source that holds copies of other routers' events: what it
// lacks is not worth a notice.
type Backup interface {
	Source
	IsBackup()
}

// Notice says what a merged time line lacks.
type Notice struct {
	// Source names the router.
	Source string
	// Err is why the router did not answer, or nil.
	Err error
	// Dropped counts events that were overwritten before they were read.
	Dropped uint64
	// Restarted is true if the router runs as a new incarnation since it was
	// last read; events of the earlier one that were not read are lost.
	Restarted bool
}

// String says the notice to people.
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
	pending []event.Event
}

// reader follows one router.
type sourceReader struct {
	source      Source
	incarnation string
	next        uint64
	failing     bool
}

// DefaultTimeout bounds one page of one router unless a collector says
// otherwise.
const DefaultTimeout = 3 * time.Second

// NewCollector returns a collector over the routers.
func NewCollector(sources []Source) *Collector {
	c := &Collector{Timeout: DefaultTimeout}
	for _, s := range sources {
		c.readers = append(c.readers, &sourceReader{source: s})
	}
	return c
}

// reading is what one router answered in one round.
type roundResult struct {
	events  []event.Event
	now     hlc.Time
	notices []Notice
	failed  bool
}

// Next reads the new events of all routers. It returns them in causal order,
// up to the point that every router that answers has passed; later ones wait
// for the next call. Routers that do not answer hold nothing back and are
// named once for each time that they fall silent.
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

// Rest returns the events that Next has held back.
func (c *Collector) TakePending() []event.Event {
	pending := c.pending
	c.pending = nil
	return pending
}

// All reads every kept event, in causal order. An event that is also kept as
// a copy is returned once.
func (c *Collector) All(ctx context.Context, f Filter) ([]event.Event, []Notice) {
	events, notices := c.Next(ctx, f)
	events = append(events, c.TakePending()...)
	slices.SortFunc(events, event.Compare)
	isDuplicate := func(a, b event.Event) bool { return event.Compare(a, b) == 0 }
	return slices.CompactFunc(events, isDuplicate), notices
}

// round reads all routers side by side.
func (c *Collector) readSources(ctx context.Context, f Filter) []roundResult {
	results := make([]roundResult, len(c.readers))
	var group sync.WaitGroup
	for i, r := range c.readers {
		group.Go(func() { results[i] = r.read(ctx, f, c.Timeout) })
	}
	group.Wait()
	return results
}

// read reads pages until the router has no more.
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

// backup reports whether the router's copies of others are read.
func (r *sourceReader) isBackup() bool {
	_, isBackup := r.source.(Backup)
	return isBackup
}

func (r *sourceReader) page(ctx context.Context, f Filter, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.source.Page(ctx, Query{Filter: f, Incarnation: r.incarnation, Since: r.next})
}

// advance moves the cursor past a page and says what the page lacks.
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
