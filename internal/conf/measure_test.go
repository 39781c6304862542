package conf

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/peer"
)

// storeDelay is the time of one call of the store in measurements.
const storeDelay = 2 * time.Millisecond

// node is a router with the configuration and peer duties only, over real
// connections on loopback.
type node struct {
	*Keeper
	link    *peer.Link
	metrics *metrics.Set
	applied chan applied
}

// applied says that a revision came into force at a router.
type applied struct {
	revision int64
	at       time.Time
}

// Record implements event.Recorder.
func (n *node) Record(e event.Event) {
	if e.Kind == event.RevisionApplied {
		n.applied <- applied{e.Revision, time.Now()}
	}
}

// slowBus answers every request late.
type slowBus struct {
	bus.Bus
	delay time.Duration
}

func (b slowBus) Handle(kind bus.Kind, handler bus.Handler) {
	b.Bus.Handle(kind, func(ctx context.Context, from bus.ID, body []byte) ([]byte, error) {
		time.Sleep(b.delay)
		return handler(ctx, from, body)
	})
}

// startNodes starts n routers in so many failure domains; the last one is
// slowed by slow.
func startNodes(t *testing.T, n, domains int, slow time.Duration) ([]*node, *memory.Store) {
	t.Helper()
	store := memory.NewStore(clock.Real{})
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	nodes := make([]*node, n)
	for i := range nodes {
		self := bus.Peer{ID: bus.ID{VM: fmt.Sprintf("entry-%03d", i), Incarnation: fmt.Sprintf("9a1c7c6e-6d0f-4a1e-8f00-%012d", i)}, Domain: fmt.Sprintf("domain-%d", i%domains)}
		view := store.View()
		view.SetFaults(memory.Faults{Delay: storeDelay})
		nodes[i] = &node{metrics: metrics.NewSet(), applied: make(chan applied, 4096)}
		members := member.NewDirectory(member.DefaultSettings(), self, view, clock.Real{}, event.Discard{})
		settings := peer.DefaultSettings()
		settings.Listen, settings.Secret = "127.0.0.1:0", "secret of the measured fleet"
		nodes[i].link = peer.New(settings, self, peer.Dependencies{Directory: members, Clock: hlc.New(clock.Real{}), Events: event.Discard{}, Metrics: nodes[i].metrics, Log: discardLog})
		assert.NilError(t, nodes[i].link.Provision())
		members.SetAddrs(nodes[i].link.Self().Addr, "")
		nodes[i].Keeper = NewKeeper(DefaultSettings(), view, clock.Real{}, nodes[i], discardLog)
		var b bus.Bus = nodes[i].link
		if slow > 0 && i == n-1 {
			b = slowBus{b, slow}
		}
		nodes[i].Join(b, members)
		assert.NilError(t, members.Register(ctx))
		loops.Go(func() { nodes[i].link.Run() })
		loops.Go(func() { members.Run(ctx, func(error) {}) })
		loops.Go(func() { nodes[i].Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		var closing sync.WaitGroup
		for _, n := range nodes {
			closing.Go(func() { n.link.Cleanup() })
		}
		closing.Wait()
		loops.Wait()
	})
	return nodes, store
}

// traffic is what the links of all routers sent.
type traffic struct{ messages, bytes uint64 }

func trafficOf(nodes []*node) (total traffic) {
	for _, n := range nodes {
		total.messages += n.metrics.GetOrCreateCounter("daisyslip_peer_messages_sent_total").Get()
		total.bytes += n.metrics.GetOrCreateCounter("daisyslip_peer_sent_bytes_total").Get()
	}
	return total
}

// mostSince returns the largest number of bytes that one router sent and
// received since the counts in before.
func mostSince(nodes []*node, before []uint64) (most uint64) {
	for i, now := range bytesOf(nodes) {
		most = max(most, now-before[i])
	}
	return most
}

func bytesOf(nodes []*node) []uint64 {
	all := make([]uint64, len(nodes))
	for i, n := range nodes {
		all[i] = n.metrics.GetOrCreateCounter("daisyslip_peer_sent_bytes_total").Get() + n.metrics.GetOrCreateCounter("daisyslip_peer_received_bytes_total").Get()
	}
	return all
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[min(len(times)-1, int(q*float64(len(times))))].Round(100 * time.Microsecond)
}

// TestMeasureCommitToInForce prints a table of the times and the traffic.
func TestMeasureCommitToInForce(t *testing.T) {
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return
	}
	t.Logf("%8s %8s %6s | %10s %10s %10s %10s | %9s %9s | %9s %9s %9s %9s", "routers", "domains", "slow",
		"force p50", "force p99", "accept p50", "accept p99", "msgs/chg", "bytes/chg", "idle B/s", "most B/s", "msgs/s", "reads/s")
	for _, c := range []struct {
		n, domains, changes int
		slow                time.Duration
	}{{6, 3, 200, 0}, {9, 3, 200, 0}, {9, 3, 20, 700 * time.Millisecond}, {50, 16, 100, 0}, {200, 16, 100, 0}, {200, 16, 10, 700 * time.Millisecond}, {200, 8, 50, 0}} {
		measure(t, c.n, c.domains, c.changes, c.slow)
	}
}

func measure(t *testing.T, n, domains, changes int, slow time.Duration) {
	nodes, store := startNodes(t, n, domains, slow)
	first, err := nodes[0].Commit(t.Context(), Change{Ops: []Op{{Kind: KindPool, Name: "p", Put: []byte(`{"kind":"model"}`)}}})
	assert.NilError(t, err)
	assert.Assert(t, nodes[0].AwaitAcceptance(t.Context(), first.Revision, 20*time.Second).Accepted)
	time.Sleep(time.Duration(12+n/10) * time.Second) // members are read and relays chosen

	const idle = 10 * time.Second
	before, counts, each := trafficOf(nodes), store.Counts(), bytesOf(nodes)
	time.Sleep(idle)
	quiet, reads := trafficOf(nodes), store.Counts()
	most := mostSince(nodes, each)

	start := time.Now()
	var force, accept []time.Duration
	for i := range changes {
		committer := nodes[i%(n-1)]
		op := Op{Kind: KindWorkspace, Name: "coop", Put: fmt.Appendf(nil, `{"labels":{"note":"v%d"}}`, i)}
		assert.NilError(t, committer.Load(t.Context()))
		committed := time.Now()
		result, err := committer.Commit(t.Context(), Change{Base: committer.Catalog().Revision, Author: "measure", Ops: []Op{op}})
		assert.NilError(t, err)
		last := committed
		for _, one := range nodes {
			if at := one.appliedAt(result.Revision); at.After(last) {
				last = at
			}
		}
		force = append(force, last.Sub(committed))
		assert.Assert(t, committer.AwaitAcceptance(t.Context(), result.Revision, 20*time.Second).Accepted)
		accept = append(accept, time.Since(committed))
	}
	took := time.Since(start)
	busy := trafficOf(nodes)
	seconds := idle.Seconds()
	perChange := func(total, quietTotal uint64) float64 {
		return (float64(total) - float64(quietTotal)*took.Seconds()/seconds) / float64(changes)
	}
	t.Logf("%8d %8d %6s | %10s %10s %10s %10s | %9.0f %9.0f | %9.0f %9.0f %9.2f %9.1f", n, domains, slow,
		quantile(force, 0.5), quantile(force, 0.99), quantile(accept, 0.5), quantile(accept, 0.99),
		perChange(busy.messages-quiet.messages, quiet.messages-before.messages), perChange(busy.bytes-quiet.bytes, quiet.bytes-before.bytes),
		2*float64(quiet.bytes-before.bytes)/seconds/float64(n), float64(most)/seconds,
		float64(quiet.messages-before.messages)/seconds/float64(n), float64(reads.RowsRead-counts.RowsRead)/seconds)
}

// appliedAt waits until the revision is in force at the router.
func (n *node) appliedAt(revision int64) time.Time {
	for {
		if a := <-n.applied; a.revision >= revision {
			return a.at
		}
	}
}
