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

const heartbeatInterval = time.Second

// newRegistry returns an empty registry whose list is readable, and its clock.
func newRegistry() (*endpoints.Registry, *clock.Fake) {
	fake := clock.NewFake(time.Unix(1000, 0))
	r := endpoints.NewRegistry(heartbeatInterval, fake, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.MarkListRead()
	return r, fake
}

// entry returns the entry of endpoint i-1 with a sequence number.
func entry(seq int64) endpoints.Endpoint {
	return endpoints.Endpoint{ID: "i-1", Pool: "app", Addr: "10.0.0.1:80", StartedMs: 500, Sequence: seq}
}

func leaving(e endpoints.Endpoint) endpoints.Endpoint {
	e.Leaving = true
	return e
}

// TestLeavingEndpointGetsNoRequestsAgain guards against an endpoint that is leaving
// and gets requests again because a later entry of it does not say that it leaves.
func TestLeavingEndpointGetsNoRequestsAgain(t *testing.T) {
	r, _ := newRegistry()
	r.Set(entry(1))
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Set(leaving(entry(2)))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(3))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	assert.Equal(t, len(r.Usable("app")), 0)
}

// TestEndpointThatSaidItLeavesGetsNoRequests guards against requests to an endpoint that
// has said in a response that it is leaving, although the list states otherwise, and
// against applying that to a later start of it.
func TestEndpointThatSaidItLeavesGetsNoRequests(t *testing.T) {
	r, _ := newRegistry()
	r.Set(entry(1))
	assert.Assert(t, !r.MarkLeaving("i-1", 400), "an earlier start said so")
	assert.Assert(t, r.AcceptsRequests("i-1"))
	assert.Assert(t, r.MarkLeaving("i-1", 500))
	assert.Assert(t, !r.MarkLeaving("i-1", 500))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(2))
	r.Replace([]endpoints.Endpoint{entry(3)})
	r.Remove("i-1", "entry removed")
	r.Set(entry(4))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	assert.Equal(t, len(r.Usable("app")), 0)
	restarted := entry(1)
	restarted.StartedMs++
	r.Set(restarted)
	assert.Assert(t, r.AcceptsRequests("i-1"))
}

// TestSyncedOnlyAfterCompleteList guards against a router that reports itself
// ready once the store has responded but before the endpoints are known, and then
// refuses its first requests.
func TestSyncedOnlyAfterCompleteList(t *testing.T) {
	r, _ := newRegistry()
	r.MarkListRead()
	assert.Assert(t, !r.Synced())
	r.Replace([]endpoints.Endpoint{entry(1)})
	assert.Assert(t, r.Synced())
	assert.Equal(t, len(r.Usable("app")), 1)
}

// TestLateEntryDoesNotRestoreEndpoint guards against an endpoint that gets requests
// again because of an entry that was written before the endpoint was removed or
// marked as leaving, but arrives after that.
func TestLateEntryDoesNotRestoreEndpoint(t *testing.T) {
	r, _ := newRegistry()
	r.Set(entry(4))
	r.Remove("i-1", "entry removed")
	r.Set(entry(4))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(3))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(5)) // written after the removal, so the endpoint is alive
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Set(leaving(entry(6)))
	r.Set(entry(5))
	assert.Assert(t, !r.AcceptsRequests("i-1"))
}

// TestRestartUnderSameID checks that an entry of a later start replaces the
// state of an endpoint, even with a lower sequence number, and that a late entry of
// the earlier start is ignored.
func TestRestartUnderSameID(t *testing.T) {
	r, _ := newRegistry()
	r.Set(leaving(entry(9)))
	restarted := entry(1)
	restarted.StartedMs, restarted.Addr = 900, "10.0.0.2:80"
	r.Set(restarted)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.Set(entry(10))
	assert.Equal(t, r.Usable("app")[0].Addr, "10.0.0.2:80")
}

// TestEntriesLostDuringStoreOutageStayUsable guards against dropping live endpoints
// whose entries the store lost while it was unavailable. They stay usable for
// RecoveryGrace after the list is readable again, and are removed after that.
func TestEntriesLostDuringStoreOutageStayUsable(t *testing.T) {
	r, c := newRegistry()
	r.Set(entry(1))
	r.MarkListUnreadable()
	c.Advance(10 * time.Second)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	r.MarkListRead()
	r.Replace(nil)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	c.Advance(1900 * time.Millisecond)
	assert.Assert(t, r.AcceptsRequests("i-1"))
	c.Advance(200 * time.Millisecond)
	assert.Assert(t, !r.AcceptsRequests("i-1"))
	r.Set(entry(2))
	assert.Assert(t, r.AcceptsRequests("i-1"))
}

// TestRemovalWithoutOutageTakesEffectAtOnce guards against a grace period that
// applies although the list was readable all the time.
func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	r, c := newRegistry()
	c.Advance(time.Minute)
	r.Set(entry(1))
	r.Replace(nil)
	assert.Assert(t, !r.AcceptsRequests("i-1"))
}

// TestEndpointWithStaleEntryIsNotUsed checks that an endpoint that stopped writing
// entries gets no requests while others write, also if the first entry that the
// router read of it came late. No endpoint may be left out while none writes or the
// list cannot be read.
func TestEndpointWithStaleEntryIsNotUsed(t *testing.T) {
	r, c := newRegistry()
	other := func(seq int64) endpoints.Endpoint {
		e := entry(seq)
		e.ID = "i-2"
		return e
	}
	r.Set(entry(1))
	r.Set(other(1))
	for seq := range int64(5) {
		c.Advance(heartbeatInterval)
		r.Set(other(seq + 2))
	}
	assert.Equal(t, len(r.Usable("app")), 1)
	assert.Equal(t, r.Usable("app")[0].ID, "i-2")
	c.Advance(3 * heartbeatInterval) // no endpoint writes an entry
	assert.Equal(t, len(r.Usable("app")), 2)
	r.Set(entry(2))
	r.MarkListUnreadable()
	c.Advance(10 * heartbeatInterval)
	assert.Equal(t, len(r.Usable("app")), 2)
	r.MarkListRead()
	c.Advance(heartbeatInterval)
	assert.Equal(t, len(r.Usable("app")), 2)
}
