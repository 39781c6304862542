package timeline

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// testSeed seeds the random numbers of this package's tests.
const testSeed = 7

// node is a router of a test: a Source over a ring, which fails while the node is
// unreachable.
type node struct {
	*Ring
	vm          string
	clock       *hlc.Clock
	wall        *clock.Fake
	unreachable bool
}

func newNode(vm string, s Settings) *node {
	wall := clock.NewFake(time.Unix(1000, 0))
	hybrid := hlc.New(wall)
	return &node{Ring: NewRing(s, bus.ID{VM: vm, Incarnation: "1"}, hybrid), vm: vm, clock: hybrid, wall: wall}
}

// Name implements Source.
func (n *node) Name() string { return n.vm }

// Page implements Source.
func (n *node) Page(_ context.Context, q Query) (Page, error) {
	if n.unreachable {
		return Page{}, errors.New("silent")
	}
	return n.Ring.Page(q), nil
}

func sources(nodes ...*node) []Source {
	var all []Source
	for _, n := range nodes {
		all = append(all, n)
	}
	return all
}

// naiveRing keeps the latest events of all kinds in one segment.
type naiveRing struct{ events []event.Event }

func (r *naiveRing) Record(e event.Event, size int) {
	r.events = append(r.events, e)
	r.events = r.events[max(0, len(r.events)-size):]
}

// TestRequestFloodKeepsRetainedEvents guards against request events overwriting
// rare ones. It records a change of the configuration and then many requests: a
// ring with one segment loses the change, Ring keeps it.
func TestRequestFloodKeepsRetainedEvents(t *testing.T) {
	const size, flood = 100, 10_000
	n := newNode("a", Settings{Events: size, RetainedEvents: size})
	var naive naiveRing
	record := func(e event.Event) {
		n.Record(e)
		naive.Record(e, size)
	}
	record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionApplied, Revision: 7})
	for range flood {
		record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r"})
	}
	applied := func(e event.Event) bool { return e.Kind == event.RevisionApplied }
	assert.Assert(t, !slices.ContainsFunc(naive.events, applied), "the naive ring keeps the change")
	events, notices := NewCollector(sources(n)).All(t.Context(), Filter{})
	assert.Assert(t, slices.ContainsFunc(events, applied))
	assert.Equal(t, len(events), size+1)
	assert.DeepEqual(t, notices, []Notice{{Source: "a", Dropped: flood - size}})
	assert.Equal(t, n.Counts(), Counts{Recorded: flood + 1, Overwritten: flood - size})
}

// TestMergeKeepsCausalOrder sends messages between routers whose wall clocks
// differ. Sorted by wall clock, some effects come before their causes; the merged
// timeline must never have them in that order.
func TestMergeKeepsCausalOrder(t *testing.T) {
	t.Logf("seed %d", testSeed)
	random := rand.New(rand.NewPCG(testSeed, 0))
	nodes := []*node{newNode("a", DefaultSettings()), newNode("b", DefaultSettings()), newNode("c", DefaultSettings())}
	for i, n := range nodes {
		n.wall.Advance(time.Duration(i) * time.Second)
	}
	var walls []time.Time
	for step := range 500 {
		from, to := nodes[random.IntN(len(nodes))], nodes[random.IntN(len(nodes))]
		walls = append(walls, from.wall.Now())
		from.Record(event.Event{Component: event.ComponentPeer, Kind: event.PeerConnected, Revision: int64(2 * step)})
		to.clock.Observe(from.clock.Now())
		walls = append(walls, to.wall.Now())
		to.Record(event.Event{Component: event.ComponentPeer, Kind: event.PeerConnected, Revision: int64(2*step + 1)})
		nodes[random.IntN(len(nodes))].wall.Advance(time.Duration(random.IntN(1000)) * time.Microsecond)
	}
	inverted := 0
	for i := 0; i < len(walls); i += 2 {
		if walls[i+1].Before(walls[i]) {
			inverted++
		}
	}
	assert.Assert(t, inverted > 0, "the wall clocks never disagree")
	events, _ := NewCollector(sources(nodes...)).All(t.Context(), Filter{})
	position := make(map[int64]int)
	for i, e := range events {
		position[e.Revision] = i
	}
	for step := range int64(500) {
		assert.Assert(t, position[2*step] < position[2*step+1], "step %d", step)
	}
}

// TestCollectorNextKeepsOrder reads two routers while they record events.
// Appending the pages as they arrive puts events out of order; the events that
// Next returns must be in order.
func TestCollectorNextKeepsOrder(t *testing.T) {
	t.Logf("seed %d", testSeed)
	random := rand.New(rand.NewPCG(testSeed, 1))
	a, b := newNode("a", DefaultSettings()), newNode("b", DefaultSettings())
	c := NewCollector(sources(a, b))
	var inPageOrder, collected []event.Event
	var cursors [2]uint64
	for range 200 {
		for i, n := range []*node{a, b} {
			for range random.IntN(3) {
				n.Record(event.Event{Component: event.ComponentMember, Kind: event.MemberJoined})
			}
			page := n.Ring.Page(Query{Incarnation: "1", Since: cursors[i]})
			cursors[i] = page.Next
			inPageOrder = append(inPageOrder, page.Events...)
			n.wall.Advance(time.Duration(random.IntN(1000)) * time.Microsecond)
		}
		events, notices := c.Next(t.Context(), Filter{})
		assert.Equal(t, len(notices), 0)
		collected = append(collected, events...)
	}
	collected = append(collected, c.TakePending()...)
	assert.Assert(t, !slices.IsSortedFunc(inPageOrder, event.Compare), "pages appended as they arrive are in order")
	assert.Assert(t, slices.IsSortedFunc(collected, event.Compare))
	assert.Equal(t, len(collected), len(inPageOrder))
}

// TestUnreachableAndRestartedRoutersAreReported checks that an unreachable router
// is reported once, and that a restarted one is reported and read from its first
// event.
func TestUnreachableAndRestartedRoutersAreReported(t *testing.T) {
	a, b := newNode("a", DefaultSettings()), newNode("b", DefaultSettings())
	joined := event.Event{Component: event.ComponentMember, Kind: event.MemberJoined}
	c := NewCollector(sources(a, b))
	a.Record(joined)
	b.unreachable = true
	events, notices := c.Next(t.Context(), Filter{})
	assert.Equal(t, len(events), 1)
	assert.Equal(t, notices[0].String(), "b does not answer: silent")
	_, notices = c.Next(t.Context(), Filter{})
	assert.Equal(t, len(notices), 0)
	b.unreachable = false
	b.Record(joined)
	events, _ = c.All(t.Context(), Filter{})
	assert.Equal(t, len(events), 1)
	b.Ring = NewRing(DefaultSettings(), bus.ID{VM: "b", Incarnation: "2"}, b.clock)
	b.Record(joined)
	events, notices = c.All(t.Context(), Filter{})
	assert.Equal(t, len(events), 1)
	assert.DeepEqual(t, notices, []Notice{{Source: "b", Restarted: true}})
}

// TestTraceFollowsRetries checks that a trace contains both attempts of a request
// at two routers and the transaction that billed it, but not the other request
// that was billed in the same transaction.
func TestTraceFollowsRetries(t *testing.T) {
	a, b := newNode("a", DefaultSettings()), newNode("b", DefaultSettings())
	key := event.KeyHash("coop", "fan-7")
	a.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r1", Key: key})
	a.Record(event.Event{Component: event.ComponentDispatch, Kind: event.AttemptStarted, Request: "r1", Attempt: "x"})
	b.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r2", Key: key})
	b.Record(event.Event{Component: event.ComponentBudget, Kind: event.BillWritten, Request: "r2", Op: "op1"})
	b.Record(event.Event{Component: event.ComponentPlatform, Kind: event.PlatformCommitted, Op: "op1"})
	b.Record(event.Event{Component: event.ComponentBudget, Kind: event.BillWritten, Request: "other", Op: "op1"})
	b.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "other", Key: event.KeyHash("coop", "fan-8")})
	byRequestOnly, _ := NewCollector(sources(a, b)).All(t.Context(), Filter{Requests: []string{"r1"}})
	assert.Equal(t, len(byRequestOnly), 2, "a read by request id alone follows retries")
	for _, request := range []string{"r1", "r2"} {
		trace, notices := Trace(t.Context(), sources(a, b), request)
		assert.Equal(t, len(notices), 0)
		assert.Equal(t, len(trace), 5)
	}
}

// TestPagingSkipsNoEvents reads a ring in small pages with a filter. All matching
// events must be returned once, and all overwritten ones counted.
func TestPagingSkipsNoEvents(t *testing.T) {
	n := newNode("a", Settings{Events: 50, RetainedEvents: 50})
	for i := range 60 {
		n.Record(event.Event{Component: event.ComponentCaller, Request: fmt.Sprint(i % 2)})
		n.Record(event.Event{Component: event.ComponentConfig, Revision: int64(i)})
	}
	for limit := 1; limit < 12; limit++ {
		q := Query{Incarnation: "1", Limit: limit, Filter: Filter{Requests: []string{"1"}}}
		var got []event.Event
		dropped := uint64(0)
		for more := true; more; {
			page := n.Ring.Page(q)
			got = append(got, page.Events...)
			dropped += page.Dropped
			q.Since, more = page.Next, page.More
		}
		assert.Equal(t, len(got), 25)
		assert.Equal(t, dropped, uint64(20))
		assert.Assert(t, slices.IsSortedFunc(got, event.Compare))
	}
}

// TestQueryRoundTrip checks that a query survives encoding and decoding, and that
// an invalid value is rejected with the name of its parameter.
func TestQueryRoundTrip(t *testing.T) {
	q := Query{
		Filter: Filter{
			Requests: []string{"r1", "r2"}, Keys: []string{"k"}, Ops: []string{"o"}, Workspace: "w", Endpoint: "e",
			Component: event.ComponentCall, Kind: event.CallClaimed, From: time.Unix(1, 5).UTC(), To: time.Unix(2, 0).UTC(),
		},
		Incarnation: "i", Since: 9, Limit: 3,
	}
	got, err := ParseQuery(q.Values())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, q)
	values := q.Values()
	values.Set("since", "-1")
	_, err = ParseQuery(values)
	assert.ErrorContains(t, err, "read since")
}
