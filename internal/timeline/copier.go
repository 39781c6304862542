package timeline

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
)

// Copier sends copies of a router's events to one peer, in another failure
// domain if there is one, within Settings.MaxCopyBytesPerSecond.
type Copier struct {
	settings Settings
	ring     *Ring
	bus      bus.Bus
	clock    clock.Clock
	metrics  copyMetrics

	// next is the cursor in the ring, and allowance the number of bytes that
	// may be sent now. Only the goroutine of Run uses them.
	next      uint64
	allowance int
}

// NewCopier returns a copier that sends the events of ring over b. It also
// registers the handler of b that stores other routers' events in copies.
func NewCopier(s Settings, ring *Ring, copies *Copies, b bus.Bus, c clock.Clock, set *metrics.Set) *Copier {
	bus.Handle(b, copyKind, func(_ context.Context, from bus.ID, batch copyBatch) (copyResponse, error) {
		return copies.store(from, batch), nil
	})
	return &Copier{settings: s, ring: ring, bus: b, clock: c, metrics: newCopyMetrics(set), allowance: s.copyBurst()}
}

// Run sends a batch every CopyInterval until ctx ends. It returns nil.
func (c *Copier) Run(ctx context.Context) error {
	for clock.Sleep(ctx, c.clock, c.settings.CopyInterval) == nil {
		refill := c.settings.MaxCopyBytesPerSecond * c.settings.CopyInterval.Seconds()
		c.allowance = min(c.allowance+int(refill), c.settings.copyBurst())
		c.copyNewEvents(ctx)
	}
	return nil
}

// copyNewEvents sends the most important events since the last batch, within the
// allowance. Events that do not fit are never sent, since newer ones matter more.
func (c *Copier) copyNewEvents(ctx context.Context) {
	peer, found := c.choosePeer()
	if !found {
		return // the events stay in the ring until there is a peer
	}
	page := c.ring.Page(Query{Incarnation: c.ring.self.Incarnation, Since: c.next, Limit: maxPageEvents})
	var batch copyBatch
	for _, e := range page.Events {
		if rankOf(&e) > 0 {
			e.VM, e.Incarnation = "", ""
			batch.Events = append(batch.Events, e)
		}
	}
	if len(batch.Events) == 0 {
		c.next = page.Next
		return
	}
	body, skipped := c.encode(batch)
	c.metrics.skipped.Add(skipped)
	if sent := len(batch.Events) - skipped; sent > 0 {
		if _, err := c.bus.Request(ctx, peer.ID, copyKind, body); err != nil {
			c.metrics.failed.Inc()
			return // retried with the next batch; the receiver skips duplicates
		}
		c.allowance -= len(body)
		c.metrics.sent.Add(sent)
		c.metrics.bytes.Add(len(body))
	}
	c.next = page.Next
}

// encode returns the encoded batch and the number of events left out. If the
// batch is above the allowance, it leaves out the events of the lowest ranks
// first, and then the newest ones.
func (c *Copier) encode(batch copyBatch) (body []byte, skipped int) {
	allEvents := batch.Events
	for rank := lowestRank; len(batch.Events) > 0; rank++ {
		body, err := cbor.Marshal(batch)
		if err != nil {
			panic(fmt.Sprintf("encode events: %v", err)) // events consist of plain values, which always encode
		}
		if len(body) <= c.allowance {
			return body, len(allEvents) - len(batch.Events)
		}
		if rank >= highestRank {
			fitting := len(batch.Events) * max(c.allowance, 0) / len(body)
			batch.Events = batch.Events[:min(fitting, len(batch.Events)-1)]
			continue
		}
		batch.Events = slices.DeleteFunc(slices.Clone(batch.Events), func(e event.Event) bool { return rankOf(&e) <= rank })
	}
	return nil, len(allEvents)
}

// The lowest and the highest rank of events that are copied.
const (
	lowestRank  = 1
	highestRank = 4
)

// rankOf returns how important an event is after the death of its router, from
// lowestRank to highestRank, or 0 for an event that is not copied.
func rankOf(e *event.Event) int {
	if isRetained(e) {
		return highestRank
	}
	switch e.Kind {
	case event.RequestReceived, event.CallClaimed, event.CallOutcomeUnknown:
		return highestRank - 1
	case event.AttemptStarted, event.RequestBroken:
		return highestRank - 2
	case event.AttemptFailed, event.RequestCompleted, event.RequestRefused, event.GrantDrawn, event.BillWritten:
		return lowestRank
	}
	return 0
}

// choosePeer returns the peer that gets the copies, or false if there is none. It
// prefers peers in other failure domains, and chooses among them by rendezvous
// hashing, so that the choice seldom changes when members come and go.
func (c *Copier) choosePeer() (bus.Peer, bool) {
	self := c.bus.Self()
	var best bus.Peer
	var bestScore uint64
	for _, p := range c.bus.Peers() {
		score := rendezvousScore(self.ID.VM, p.ID.VM) >> 1
		if p.Domain != self.Domain {
			score |= 1 << 63
		}
		if best.ID.IsZero() || score > bestScore {
			best, bestScore = p, score
		}
	}
	return best, !best.ID.IsZero()
}

// rendezvousScore returns the weight of b as the peer of a.
func rendezvousScore(a, b string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", a, b)
	return h.Sum64()
}
