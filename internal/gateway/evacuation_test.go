package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

// lockedBuffer is a buffer for the log of a gateway that runs.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), text)
}

// evacuationSite is a gateway that follows a store with one endpoint in each of the
// domains a, b and c.
type evacuationSite struct {
	t     *testing.T
	store *memory.Store
	g     *Gateway
	log   lockedBuffer
	stop  context.CancelFunc
}

func newEvacuationSite(t *testing.T) *evacuationSite {
	s := &evacuationSite{t: t, store: memory.New()}
	s.put("config", "")
	for _, domain := range []string{"a", "b", "c"} {
		putEndpoint(t, s.store, endpoints.Endpoint{ID: "at-" + domain, Domain: domain, Sequence: 1})
	}
	s.start()
	return s
}

// start replaces the gateway by a new one, as a restart does.
func (s *evacuationSite) start() {
	if s.stop != nil {
		s.stop()
	}
	s.g = newTestGateway(s.store)
	s.g.log = slog.New(slog.NewTextHandler(&s.log, nil))
	ctx, stop := context.WithCancel(s.t.Context())
	s.stop = stop
	go s.g.watchConfig(ctx)
	go s.g.watchEndpoints(ctx)
}

func (s *evacuationSite) put(name, value string) {
	_, err := s.store.Commit(s.t.Context(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "op", Name: name}, Value: []byte(value)}}})
	assert.NilError(s.t, err)
}

func (s *evacuationSite) remove(name string) {
	_, err := s.store.Commit(s.t.Context(), rowstore.Tx{Remove: []rowstore.Key{{Table: "op", Name: name}}})
	assert.NilError(s.t, err)
}

// check waits for a time and checks which endpoints get requests.
func (s *evacuationSite) check(after time.Duration, want string) {
	s.t.Helper()
	time.Sleep(after)
	var got []string
	for _, e := range s.g.endpoints.Usable("app") {
		got = append(got, e.Domain)
		assert.Check(s.t, s.g.endpoints.AcceptsRequests(e.ID))
	}
	assert.Equal(s.t, strings.Join(got, " "), want)
}

// evacuateWithin is the platform's default bound.
const evacuateWithin = 5 * time.Second

// TestEvacuationsFollowTheRows guards against requests to an evacuated domain while
// another one is evacuated, too, after one of them has returned, and after a restart, at
// which a router must not be ready before it knows the evacuations.
func TestEvacuationsFollowTheRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		s.check(time.Second, "a b c")
		s.put("out/a", "{}")
		s.check(evacuateWithin, "b c")
		s.put("out/b", "{}")
		s.check(evacuateWithin, "c")
		s.put("config", "2")
		s.check(evacuateWithin, "c")
		for s.start(); !s.g.Ready(); {
			time.Sleep(time.Millisecond)
		}
		s.check(0, "c")
		s.remove("out/a")
		s.check(evacuateWithin, "a c")
		s.put("out/c", "{}")
		s.remove("out/b")
		s.check(evacuateWithin, "a b")
		s.store.Compact() // the whole table is read again
		s.remove("out/c")
		s.check(evacuateWithin, "a b c")
		assert.Assert(t, !s.g.endpoints.PoolEvacuated("app"))
		s.stop()
	})
}

// TestEvacuationStaysWhileStoreIsUnreachable guards against an evacuation that ends while
// the store cannot be read, and against one that stays although a restored store does not
// have it.
func TestEvacuationStaysWhileStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		backup := s.store.Copy()
		s.put("out/a", "{}")
		s.check(evacuateWithin, "b c")
		s.store.SetFaults(memory.Faults{Outage: true})
		s.check(time.Minute, "b c")
		s.store.SetFaults(memory.Faults{})
		s.check(evacuateWithin, "b c")
		s.store.Restore(backup)
		s.check(evacuateWithin, "a b c")
		s.stop()
	})
}

// TestInvalidEvacuationRows guards against an evacuation that is not kept because of its
// value or an unknown domain beside it, against a row without a domain that evacuates
// anything or stops the feed, and against a log line for each read.
func TestInvalidEvacuationRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		s.put("out/", "{}")
		s.put("out/nowhere", "{}")
		s.put("out/a", strings.Repeat("x", 1000))
		s.check(evacuateWithin, "b c")
		s.put("out/b", "{}")
		s.check(evacuateWithin, "c")
		s.store.Compact()
		s.put("config", "2")
		s.check(evacuateWithin, "c")
		assert.Equal(t, s.log.count("evacuation row is invalid"), 2)
		assert.Equal(t, s.log.count("evacuation of an unknown failure domain"), 1)
		assert.Equal(t, s.log.count(strings.Repeat("x", maxLoggedBytes+1)), 0)
		s.remove("out/a")
		s.check(evacuateWithin, "a c")
		s.stop()
	})
}
