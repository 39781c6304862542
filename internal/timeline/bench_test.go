package timeline

import (
	"testing"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

var benchEvent = event.Event{
	Component: event.ComponentDispatch, Kind: event.AttemptStarted, Request: "6f0c2f0e-0b7c-4b55-8d1e-b5a8f1f7f9d1",
	Attempt: "0b7c6f0c-0f0e-4b55-8d1e-b5a8f1f7f9d1", Workspace: "coop-7", Endpoint: "engine-3",
}

// channelRing is an alternative to the locked ring: one goroutine owns the ring
// and receives events over a bounded channel. Events are dropped while the channel
// is full.
type channelRing struct {
	ring    *Ring
	events  chan event.Event
	dropped int
}

func (c *channelRing) run() {
	for e := range c.events {
		c.ring.Record(e)
	}
}

func (c *channelRing) Record(e event.Event) {
	select {
	case c.events <- e:
	default:
		c.dropped++
	}
}

func newBenchRing() *Ring {
	return NewRing(DefaultSettings(), bus.ID{VM: "a", Incarnation: "1"}, hlc.New(clock.Real{}))
}

// BenchmarkRecord records events from one goroutine.
func BenchmarkRecord(b *testing.B) {
	ring := newBenchRing()
	b.ReportAllocs()
	for b.Loop() {
		ring.Record(benchEvent)
	}
}

// BenchmarkRecordParallel records events from several goroutines, which contend for
// the lock of the ring.
func BenchmarkRecordParallel(b *testing.B) {
	ring := newBenchRing()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ring.Record(benchEvent)
		}
	})
}

// BenchmarkRecordByChannel records events over the channel of a channelRing and
// reports the share of events that were dropped.
func BenchmarkRecordByChannel(b *testing.B) {
	c := &channelRing{ring: newBenchRing(), events: make(chan event.Event, 4096)}
	go c.run()
	for b.Loop() {
		c.Record(benchEvent)
	}
	close(c.events)
	b.ReportMetric(float64(c.dropped)/float64(b.N), "dropped/op")
}

// BenchmarkPage reads a page of a full segment of request events, none of which match.
func BenchmarkPage(b *testing.B) {
	ring := newBenchRing()
	for range DefaultSettings().Events {
		ring.Record(benchEvent)
	}
	b.ReportAllocs()
	for b.Loop() {
		ring.Page(Query{Filter: Filter{Requests: []string{"absent"}}})
	}
}
