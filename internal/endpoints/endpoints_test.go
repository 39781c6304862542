package endpoints_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

const heartbeat = time.Second

func newRegistry() (*endpoints.Registry, *clock.Fake) {
	c := clock.NewFake(time.Unix(1000, 0))
	r := endpoints.NewRegistry(heartbeat, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.Read()
	return r, c
}

func entry(seq int64) endpoints.Endpoint {
	return endpoints.Endpoint{ID: "i-1", Pool: "app", Addr: "10.0.0.1:80", StartedMs: 500, Sequence: seq}
}

func leaving(e endpoints.Endpoint) endpoints.Endpoint {
	e.Leaving = true
	return e
}

func TestLeavingIsNotForgotten(t *testing.T) {
	r, _ := newRegistry()
	r.Set(entry(1))
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Set(leaving(entry(2)))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(3))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	assert.Equal(t, len(r.Usable("app")), 0)
}

// TestKnownOnceTheListIsTakenOver: a router that calls itself ready between the
// answer of the store and that would refuse its first requests.
func TestKnownOnceTheListIsTakenOver(t *testing.T) {
	r, _ := newRegistry()
	r.Read()
	assert.Assert(t, !r.Synced())
	r.Replace([]endpoints.Endpoint{entry(1)})
	assert.Assert(t, r.Synced())
	assert.Equal(t, len(r.Usable("app")), 1)
}

// TestLateEntryDoesNotBringBack: an entry that was written before the endpoint
// left, and arrives after, changes nothing.
func TestLateEntryDoesNotBringBack(t *testing.T) {
	r, _ := newRegistry()
	r.Set(entry(4))
	r.Remove("i-1", "entry removed")
	r.Set(entry(4))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(3))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(5)) // it lives
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Set(leaving(entry(6)))
	r.Set(entry(5))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
}

// TestNewStartUnderTheSameID: a later start begins anew, an earlier one is
// ignored.
func TestNewStartUnderTheSameID(t *testing.T) {
	r, _ := newRegistry()
	r.Set(leaving(entry(9)))
	fresh := entry(1)
	fresh.StartedMs, fresh.Addr = 900, "10.0.0.2:80"
	r.Set(fresh)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Set(entry(10))
	assert.Equal(t, r.Usable("app")[0].Addr, "10.0.0.2:80")
}

// TestEntriesVanishWhileTheStoreIsAway: they count for the platform's 2 s after
// its return, and are taken as gone after that.
func TestEntriesVanishWhileTheStoreIsAway(t *testing.T) {
	r, c := newRegistry()
	r.Set(entry(1))
	r.MarkListUnreadable()
	c.Advance(10 * time.Second)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Read()
	r.Replace(nil)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	c.Advance(1900 * time.Millisecond)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	c.Advance(200 * time.Millisecond)
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(2))
	assert.Assert(t, r.AcceptsRequests("i-1"))
}

func TestRemovalInCalmTimesHoldsAtOnce(t *testing.T) {
	r, c := newRegistry()
	c.Advance(time.Minute)
	r.Set(entry(1))
	r.Replace(nil)
	assert.Assert(t, !r.AcceptsRequests("i-1"))
}

// TestStaleEntryIsPassedOver: an endpoint that stopped writing gets no work
// while others write, also if it was first seen by an entry that came late.
func TestStaleEntryIsPassedOver(t *testing.T) {
	r, c := newRegistry()
	other := func(seq int64) endpoints.Endpoint {
		e := entry(seq)
		e.ID = "i-2"
		return e
	}
	r.Set(entry(1))
	r.Set(other(1))
	for seq := range int64(5) {
		c.Advance(heartbeat)
		r.Set(other(seq + 2))
	}
	assert.Equal(t, len(r.Usable("app")), 1)
	assert.Equal(t, r.Usable("app")[0].ID, "i-2")
	c.Advance(3 * heartbeat) // none writes
	assert.Equal(t, len(r.Usable("app")), 2)
	r.Set(entry(2))
	r.MarkListUnreadable()
	c.Advance(10 * heartbeat)
	assert.Equal(t, len(r.Usable("app")), 2)
	r.Read()
	c.Advance(heartbeat)
	assert.Equal(t, len(r.Usable("app")), 2)
}
