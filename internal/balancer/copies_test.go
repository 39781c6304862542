package balancer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// connEndpoint is an endpoint whose responses a function of the test writes. It keeps
// which requests each connection has carried.
type connEndpoint struct {
	net.Listener
	mu    sync.Mutex // guards paths
	paths [][]string // of the requests, by connection
}

// newConnEndpoint starts an endpoint. The function respond returns the body of the
// response to a request that follows others on its connection.
func newConnEndpoint(t *testing.T, respond func(path string, earlier []string) string) *connEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	e := &connEndpoint{Listener: listener}
	go func() {
		for i := 0; ; i++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.paths = append(e.paths, nil)
			e.mu.Unlock()
			go e.serve(c, i, respond)
		}
	}()
	return e
}

// serve handles the requests of connection i.
func (e *connEndpoint) serve(c net.Conn, i int, respond func(path string, earlier []string) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.mu.Lock()
		earlier := e.paths[i]
		e.paths[i] = append(e.paths[i], r.URL.Path)
		e.mu.Unlock()
		body := respond(r.URL.Path, earlier)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// balancerOf returns a balancer with the endpoint as its only one.
func balancerOf(t *testing.T, e *connEndpoint) (*Balancer, *catalog.Member) {
	index, err := catalog.NewIndex(catalog.Document{
		Revision: 1, Pools: []catalog.Pool{{Name: "engines", Kind: catalog.PoolModel}},
		Endpoints: []catalog.Endpoint{{Name: "engine-1", URL: "http://" + e.Addr().String(), Models: []string{"m"}}},
	})
	assert.NilError(t, err)
	b := New(DefaultSettings(), Dependencies{
		Config: staticConfig{index}, Events: event.Discard{}, Metrics: metrics.NewSet(), Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(b.Close)
	return b, index.Endpoint("engine-1")
}

// encode returns the JSON form of the body of a response.
func encode(t *testing.T, v any) string {
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return string(data)
}

// TestProbeUsesNewConnection guards against a probe over an idle connection, which may have died.
func TestProbeUsesNewConnection(t *testing.T) {
	report := encode(t, engine.Load{Slots: 8, ReportedAt: time.Now()})
	e := newConnEndpoint(t, func(path string, _ []string) string {
		if path == engine.PathChat {
			return "data: {}\n\ndata: " + engine.StreamEndMarker + "\n\n"
		}
		return report
	})
	b, m := balancerOf(t, e)
	b.probe(t.Context(), m)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, paths := range e.paths {
		for i, path := range paths {
			assert.Check(t, path != engine.PathChat || i == 0, "probe on a connection that carried %q before", paths[:i])
		}
	}
}

// TestRepeatedCacheEventsAreNoLoadReport guards against a full endpoint that looks idle.
func TestRepeatedCacheEventsAreNoLoadReport(t *testing.T) {
	report := encode(t, engine.Load{Running: 60, Waiting: 9, Slots: 8, Leaving: true, ReportedAt: time.Now()})
	events := encode(t, engine.CacheEvents{LastSeq: 7})
	e := newConnEndpoint(t, func(path string, earlier []string) string {
		if path == engine.PathLoad && len(earlier) == 0 {
			return report
		}
		return events // the second load report comes after a copy
	})
	b, m := balancerOf(t, e)
	b.poll(t.Context(), m)
	b.poll(t.Context(), m)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(m.Name)
	assert.Check(t, s.report.Waiting == 9 && s.leaving, "an endpoint that is full and leaving looks like %+v", s.report)
}

// TestRepeatedLoadReportIsNotTheCurrentOne guards against an old load that counts as the current one.
func TestRepeatedLoadReportIsNotTheCurrentOne(t *testing.T) {
	var started atomic.Int64
	start := time.Now()
	e := newConnEndpoint(t, func(path string, earlier []string) string {
		if path != engine.PathLoad {
			return encode(t, engine.CacheEvents{})
		}
		if len(earlier) == 0 {
			started.Add(1)
		} // else the report comes after a copy of the one before
		n := started.Load()
		return encode(t, engine.Load{Running: int(n), ReportedAt: start.Add(time.Duration(n) * time.Second)})
	})
	b, m := balancerOf(t, e)
	for want := 1; want <= 3; want++ {
		b.poll(t.Context(), m)
		assert.Equal(t, runningAt(b, m), want)
	}
}

// TestRepeatedLoadReportIsNoListOfCacheEvents guards against the loss of the estimate of cached blocks.
func TestRepeatedLoadReportIsNoListOfCacheEvents(t *testing.T) {
	const block = 42
	e := newConnEndpoint(t, func(path string, earlier []string) string {
		if path == engine.PathLoad || slices.Contains(earlier, path) { // a second list of events comes after a copy
			return encode(t, engine.Load{ReportedAt: time.Now()})
		}
		return encode(t, engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 7, Block: block, Stored: true}}, LastSeq: 7})
	})
	b, m := balancerOf(t, e)
	for range 2 {
		b.poll(t.Context(), m)
		assert.Equal(t, b.CachedBlocks(m.Name, []uint64{block}), 1)
	}
}

// TestLoadReportsWithoutTimeAreRead guards against an endpoint without times in its reports that gets no requests.
func TestLoadReportsWithoutTimeAreRead(t *testing.T) {
	var running atomic.Int64
	e := newConnEndpoint(t, func(path string, _ []string) string {
		if path == engine.PathLoad {
			return encode(t, map[string]int64{"running": running.Load(), "slots": 8})
		}
		return encode(t, engine.CacheEvents{})
	})
	b, m := balancerOf(t, e)
	for want := 1; want <= 3; want++ {
		running.Store(int64(want))
		assert.Assert(t, b.refreshReport(t.Context(), m))
		assert.Equal(t, runningAt(b, m), want)
	}
}

// TestPollsReuseConnection guards against polls that open a new connection each time.
func TestPollsReuseConnection(t *testing.T) {
	e := newConnEndpoint(t, func(path string, _ []string) string {
		if path == engine.PathLoad {
			return encode(t, engine.Load{ReportedAt: time.Now()})
		}
		return encode(t, engine.CacheEvents{LastSeq: 7})
	})
	b, m := balancerOf(t, e)
	for range 8 {
		b.poll(t.Context(), m)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Check(t, len(e.paths) <= 2, "%d connections", len(e.paths)) // the first report has its own
}

// runningAt returns the running requests of the endpoint's latest report.
func runningAt(b *Balancer, m *catalog.Member) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateLocked(m.Name).report.Running
}
