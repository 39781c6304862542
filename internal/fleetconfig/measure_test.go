package fleetconfig

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

// storeDelay is the injected duration of one call to the store.
const storeDelay = 2 * time.Millisecond

// node is a router with only the configuration and peer components, which uses
// real connections on the loopback interface.
type node struct {
	*Keeper
	link    *peer.Link
	metrics *metrics.Set
	applied chan appliedRevision
}

// appliedRevision records when a router applied a revision.
type appliedRevision struct {
	revision int64
	at       time.Time
}

// Record implements event.Recorder. It reports applied revisions to n.applied.
func (n *node) Record(e event.Event) {
	if e.Kind == event.RevisionApplied {
		n.applied <- appliedRevision{e.Revision, time.Now()}
	}
}

// slowBus delays the handling of every request.
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

// startNodes starts n routers, spread over the given number of failure domains.
// The last router delays its handling of requests by slow.
func startNodes(t *testing.T, n, domains int, slow time.Duration) ([]*node, *memory.Store) {
	t.Helper()
	store := memory.NewStore(clock.Real{})
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	nodes := make([]*node, n)
	for i := range nodes {
		self := bus.Peer{ID: bus.ID{VM: fmt.Sprintf("entry-%03d", i), Incarnation: fmt.Sprintf("9a1c7c6e-6d0f-4a1e-8f00-%012d", i)}, Domain: fmt.Sprintf("domain-%d", i%domains)}
		client := store.NewClient()
		client.SetFaults(memory.Faults{Delay: storeDelay})
		nodes[i] = &node{metrics: metrics.NewSet(), applied: make(chan appliedRevision, 4096)}
		members := member.NewDirectory(member.DefaultSettings(), self, client, clock.Real{}, event.Discard{})
		settings := peer.DefaultSettings()
		settings.Listen, settings.Secret = "127.0.0.1:0", "secret of the measured fleet"
		nodes[i].link = peer.New(settings, self, peer.Dependencies{Directory: members, Clock: hlc.New(clock.Real{}), Events: event.Discard{}, Metrics: nodes[i].metrics, Log: discardLog})
		assert.NilError(t, nodes[i].link.Provision())
		members.SetAddrs(nodes[i].link.Self().Addr, "")
		nodes[i].Keeper = NewKeeper(DefaultSettings(), client, clock.Real{}, nodes[i], discardLog)
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

// traffic counts the messages and bytes sent by the links of all routers.
type traffic struct{ messages, bytes uint64 }

func totalTraffic(nodes []*node) (total traffic) {
	for _, n := range nodes {
		total.messages += n.metrics.GetOrCreateCounter("daisyslip_peer_messages_sent_total").Get()
		total.bytes += n.metrics.GetOrCreateCounter("daisyslip_peer_sent_bytes_total").Get()
	}
	return total
}

// maxBytesSince returns the largest number of bytes that any one router has sent
// and received since the counts in before.
func maxBytesSince(nodes []*node, before []uint64) (maxBytes uint64) {
	for i, sent := range bytesPerNode(nodes) {
		maxBytes = max(maxBytes, sent-before[i])
	}
	return maxBytes
}

// bytesPerNode returns the number of bytes that each router has sent and received.
func bytesPerNode(nodes []*node) []uint64 {
	total := make([]uint64, len(nodes))
	for i, n := range nodes {
		total[i] = n.metrics.GetOrCreateCounter("daisyslip_peer_sent_bytes_total").Get() + n.metrics.GetOrCreateCounter("daisyslip_peer_received_bytes_total").Get()
	}
	return total
}

// quantile returns the q-quantile of times, rounded to 100 microseconds. It sorts
// times in place.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times[min(len(times)-1, int(q*float64(len(times))))].Round(100 * time.Microsecond)
}

// TestMeasureCommitToApplied prints a table of the times from a commit until all
// routers have applied it and until it is accepted, and of the traffic. It runs only
// if DAISYSLIP_MEASURE is set.
func TestMeasureCommitToApplied(t *testing.T) {
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return
	}
	t.Logf("%8s %8s %6s | %10s %10s %10s %10s | %9s %9s | %9s %9s %9s %9s", "routers", "domains", "slow",
		"apply p50", "apply p99", "accept p50", "accept p99", "msgs/chg", "bytes/chg", "idle B/s", "max B/s", "msgs/s", "reads/s")
	for _, c := range []struct {
		n, domains, changes int
		slow                time.Duration
	}{{6, 3, 200, 0}, {9, 3, 200, 0}, {9, 3, 20, 700 * time.Millisecond}, {50, 16, 100, 0}, {200, 16, 100, 0}, {200, 16, 10, 700 * time.Millisecond}, {200, 8, 50, 0}} {
		measure(t, c.n, c.domains, c.changes, c.slow)
	}
}

// measure prints one row of the table: idle traffic first, then the given number of
// changes.
func measure(t *testing.T, n, domains, changes int, slow time.Duration) {
	nodes, store := startNodes(t, n, domains, slow)
	first, err := nodes[0].Commit(t.Context(), Change{Ops: []Op{{Kind: KindPool, Name: "p", Put: []byte(`{"kind":"model"}`)}}})
	assert.NilError(t, err)
	assert.Assert(t, nodes[0].AwaitAcceptance(t.Context(), first.Revision, 20*time.Second).Accepted)
	time.Sleep(time.Duration(12+n/10) * time.Second) // all routers read the members and determine their relays

	const idle = 10 * time.Second
	before, storeBefore, bytesBefore := totalTraffic(nodes), store.Counts(), bytesPerNode(nodes)
	time.Sleep(idle)
	afterIdle, storeAfter := totalTraffic(nodes), store.Counts()
	maxBytes := maxBytesSince(nodes, bytesBefore)

	start := time.Now()
	var applyTimes, acceptTimes []time.Duration
	for i := range changes {
		committer := nodes[i%(n-1)]
		op := Op{Kind: KindWorkspace, Name: "coop", Put: fmt.Appendf(nil, `{"labels":{"note":"v%d"}}`, i)}
		assert.NilError(t, committer.Load(t.Context()))
		committed := time.Now()
		result, err := committer.Commit(t.Context(), Change{Base: committer.Catalog().Revision, Author: "measure", Ops: []Op{op}})
		assert.NilError(t, err)
		lastApplied := committed
		for _, other := range nodes {
			if at := other.waitApplied(result.Revision); at.After(lastApplied) {
				lastApplied = at
			}
		}
		applyTimes = append(applyTimes, lastApplied.Sub(committed))
		assert.Assert(t, committer.AwaitAcceptance(t.Context(), result.Revision, 20*time.Second).Accepted)
		acceptTimes = append(acceptTimes, time.Since(committed))
	}
	elapsed := time.Since(start)
	afterChanges := totalTraffic(nodes)
	seconds := idle.Seconds()
	perChange := func(total, idleTotal uint64) float64 {
		return (float64(total) - float64(idleTotal)*elapsed.Seconds()/seconds) / float64(changes)
	}
	t.Logf("%8d %8d %6s | %10s %10s %10s %10s | %9.0f %9.0f | %9.0f %9.0f %9.2f %9.1f", n, domains, slow,
		quantile(applyTimes, 0.5), quantile(applyTimes, 0.99), quantile(acceptTimes, 0.5), quantile(acceptTimes, 0.99),
		perChange(afterChanges.messages-afterIdle.messages, afterIdle.messages-before.messages), perChange(afterChanges.bytes-afterIdle.bytes, afterIdle.bytes-before.bytes),
		2*float64(afterIdle.bytes-before.bytes)/seconds/float64(n), float64(maxBytes)/seconds,
		float64(afterIdle.messages-before.messages)/seconds/float64(n), float64(storeAfter.RowsRead-storeBefore.RowsRead)/seconds)
}

// waitApplied waits until the router has applied the revision or a later one and
// returns when that happened.
func (n *node) waitApplied(revision int64) time.Time {
	for {
		if a := <-n.applied; a.revision >= revision {
			return a.at
		}
	}
}
