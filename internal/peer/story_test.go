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

// TestStoryCrossesTheLink sends a request on a caller's behalf to a router
// whose wall clock is an hour behind: the other router knows the caller's
// request, and what it records stands after the sending and before the answer.
func TestStoryCrossesTheLink(t *testing.T) {
	b := newBook()
	now := time.Unix(1_000_000, 0)
	start := func(vm string, wall time.Time) (*Link, *timeline.Ring) {
		stamps := hlc.New(clock.NewFake(wall))
		id := bus.ID{VM: vm, Incarnation: vm + "-1"}
		ring := timeline.NewRing(timeline.DefaultSettings(), id, stamps)
		l := New(testSettings(), bus.Peer{ID: id}, Dependencies{
			Directory: b, Clock: stamps, Events: ring, Metrics: metrics.NewSet(), Log: slog.New(slog.DiscardHandler),
		})
		l.Handle("whose", func(ctx context.Context, _ bus.ID, _ []byte) ([]byte, error) {
			return []byte(event.RequestOf(ctx)), nil
		})
		assert.NilError(t, l.Provision())
		go l.Run()
		t.Cleanup(func() { assert.NilError(t, l.Cleanup()) })
		b.add(l.Self())
		return l, ring
	}
	one, ahead := start("one", now)
	two, behind := start("two", now.Add(-time.Hour))
	ahead.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestReceived, Request: "r1"})
	answer, err := one.Request(event.WithRequest(t.Context(), "r1"), two.Self().ID, "whose", nil)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "r1")
	ahead.Record(event.Event{Component: event.ComponentCaller, Kind: event.RequestCompleted, Request: "r1"})
	whole := func(r *timeline.Ring) []event.Event {
		return r.Page(timeline.Query{Filter: timeline.Filter{Requests: []string{"r1"}}}).Events
	}
	sent, handled := whole(ahead), whole(behind)
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, len(handled), 1)
	assert.Equal(t, handled[0].Kind, event.PeerRequestHandled)
	assert.Assert(t, event.Compare(sent[0], handled[0]) < 0)
	assert.Assert(t, event.Compare(handled[0], sent[1]) < 0)
}
