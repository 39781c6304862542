package peer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// TestTraceSpansRouters sends a peer request on behalf of a caller's request to a
// router whose wall clock is an hour behind. The other router must record its
// event under the caller's request, and the hybrid clock must order that event
// after the sending and before the response.
func TestTraceSpansRouters(t *testing.T) {
	dir := newFakeDirectory()
	now := time.Unix(1_000_000, 0)
	start := func(vm string, wall time.Time) (*Link, *timeline.Ring) {
		hybrid := hlc.New(clock.NewFake(wall))
		id := bus.ID{VM: vm, Incarnation: vm + "-1"}
		ring := timeline.NewRing(timeline.DefaultSettings(), id, hybrid)
		l := New(testSettings(), bus.Peer{ID: id}, Dependencies{
			Directory: dir, Clock: hybrid, Events: ring, Metrics: metrics.NewSet(), Log: slog.New(slog.DiscardHandler),
		})
		l.Handle("whose", func(ctx context.Context, _ bus.ID, _ []byte) ([]byte, error) {
			return []byte(event.RequestOf(ctx)), nil
		})
		assert.NilError(t, l.Provision())
		go l.Run()
		t.Cleanup(func() { assert.NilError(t, l.Cleanup()) })
		dir.add(l.Self())
		return l, ring
	}
	one, ringOne := start("one", now)
	two, ringTwo := start("two", now.Add(-time.Hour))
	ringOne.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r1"})
	response, err := one.Request(event.WithRequest(t.Context(), "r1"), two.Self().ID, "whose", nil)
	assert.NilError(t, err)
	assert.Equal(t, string(response), "r1")
	ringOne.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestCompleted, Request: "r1"})
	eventsOf := func(r *timeline.Ring) []event.Event {
		return r.Page(timeline.Query{Filter: timeline.Filter{Requests: []string{"r1"}}}).Events
	}
	sent, handled := eventsOf(ringOne), eventsOf(ringTwo)
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, len(handled), 1)
	assert.Equal(t, handled[0].Kind, event.PeerRequestHandled)
	assert.Assert(t, event.Compare(sent[0], handled[0]) < 0)
	assert.Assert(t, event.Compare(handled[0], sent[1]) < 0)
}
