package timeline

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
)

// copyFixture is a pair of routers in two failure domains. The first one copies
// its events to the second one.
type copyFixture struct {
	from, to *node
	copier   *Copier
	copies   *Copies
	network  *bus.Network
}

func newCopyFixture(s Settings) *copyFixture {
	c := &copyFixture{from: newNode("a", s), to: newNode("b", s), network: bus.NewNetwork()}
	c.copies = NewCopies(s, c.to.self, c.to.clock)
	here := c.network.Join(bus.Peer{ID: c.from.self, Domain: "x"})
	there := c.network.Join(bus.Peer{ID: c.to.self, Domain: "y"})
	NewCopier(s, c.to.Ring, c.copies, there, c.to.wall, metrics.NewSet())
	c.copier = NewCopier(s, c.from.Ring, NewCopies(s, c.from.self, c.from.clock), here, c.from.wall, metrics.NewSet())
	return c
}

// copied returns the copies that match the filter.
func (c *copyFixture) copied(f Filter) []event.Event { return c.copies.Page(Query{Filter: f}).Events }

// TestTraceSurvivesRouterDeath guards against losing the events of a request's
// first attempt when its router dies and the caller retries at another router.
// Without copies the trace holds only the retry.
func TestTraceSurvivesRouterDeath(t *testing.T) {
	c := newCopyFixture(DefaultSettings())
	key := event.KeyHash("coop", "rota-4")
	c.from.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r1", Key: key})
	c.from.Record(event.Event{Component: event.ComponentDispatch, Kind: event.AttemptStarted, Request: "r1", Attempt: "x"})
	c.copier.copyNewEvents(t.Context())
	c.copier.copyNewEvents(t.Context())
	c.from.unreachable = true
	c.to.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r2", Key: key})
	withoutCopies, _ := Trace(t.Context(), sources(c.from, c.to), "r2")
	assert.Equal(t, len(withoutCopies), 1, "the trace without copies has the first attempt")
	withCopies := append(sources(c.from, c.to), copySource{c})
	trace, notices := Trace(t.Context(), withCopies, "r2")
	assert.Equal(t, len(trace), 3)
	assert.Equal(t, len(notices), 1)
	assert.Equal(t, trace[0].VM, "a")
	assert.Equal(t, trace[0].Incarnation, "1")
}

// TestCopierResendsAfterPartition checks that events recorded while the peer is
// unreachable are sent once it is reachable, and that a batch that is sent twice
// is stored once.
func TestCopierResendsAfterPartition(t *testing.T) {
	c := newCopyFixture(DefaultSettings())
	c.from.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionApplied, Revision: 3})
	c.network.SetPartitioned(c.from.self, c.to.self, true)
	c.copier.copyNewEvents(t.Context())
	assert.Equal(t, len(c.copied(Filter{})), 0)
	c.network.SetPartitioned(c.from.self, c.to.self, false)
	c.copier.copyNewEvents(t.Context())
	c.copier.next = 0
	c.copier.copyNewEvents(t.Context())
	assert.Equal(t, len(c.copied(Filter{})), 1)
}

// TestCopierStaysWithinByteRate records many more request events than the byte
// rate allows to copy. The copies must stay within the rate, and the one retained
// event, which is recorded last, must be among them.
func TestCopierStaysWithinByteRate(t *testing.T) {
	s := DefaultSettings()
	s.Events = 8192
	c := newCopyFixture(s)
	const seconds, perSecond = 300, 40
	rounds := int(seconds / s.CopyInterval.Seconds())
	for i := range rounds {
		if i == rounds-1 {
			c.from.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionApplied, Revision: 3})
		}
		for range perSecond * int(s.CopyInterval/time.Millisecond) / 1000 {
			c.from.Record(event.Event{
				Component: event.ComponentCaller, Kind: event.RequestReceived, Workspace: "coop-7",
				Request: "6f0c2f0e-0b7c-4b55-8d1e-b5a8f1f7f9d1",
			})
		}
		c.copier.allowance = min(c.copier.allowance+int(s.MaxCopyBytesPerSecond*s.CopyInterval.Seconds()), s.copyBurst())
		c.copier.copyNewEvents(t.Context())
	}
	sent := float64(c.copier.metrics.bytes.Get())
	assert.Assert(t, sent <= s.MaxCopyBytesPerSecond*(seconds+copyBurstTime.Seconds()), "%.0f bytes sent", sent)
	assert.Assert(t, c.copier.metrics.skipped.Get() > 0)
	kept := c.copied(Filter{Component: event.ComponentConfig})
	assert.Equal(t, len(kept), 1)
	all := c.copies.Page(Query{Limit: maxPageEvents})
	assert.Assert(t, slices.IsSortedFunc(all.Events, event.Compare))
	t.Logf("%d of %d events copied, %.0f bytes each", c.copier.metrics.sent.Get(), seconds*perSecond+1, sent/float64(c.copier.metrics.sent.Get()))
}

// copySource is a Backup over the copies of a copyFixture.
type copySource struct{ *copyFixture }

// Name implements Source.
func (c copySource) Name() string { return "copies" }

// IsBackup implements Backup.
func (c copySource) IsBackup() {}

// Page implements Source.
func (c copySource) Page(_ context.Context, q Query) (Page, error) { return c.copies.Page(q), nil }
