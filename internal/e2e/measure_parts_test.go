package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/capacity"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// startEngine starts a stand-in engine with the given flags and returns its URL.
func startEngine(t *testing.T, flags ...string) string {
	t.Helper()
	return startStandin(t, "engine", append([]string{"--model", testModel}, flags...)...)
}

// change commits operations on top of the router's current revision of the
// configuration.
func (f *fleet) commitOps(r *router, ops ...fleetconfig.Op) {
	f.t.Helper()
	c := f.client(r)
	document, err := c.Config(f.t.Context())
	assert.NilError(f.t, err)
	_, err = c.Commit(f.t.Context(), fleetconfig.Change{Base: document.Revision, Ops: ops})
	assert.NilError(f.t, err)
}

// addEngine adds an engine at the URL to the configuration as an endpoint.
func (f *fleet) addEngine(name, url string) {
	f.t.Helper()
	f.commitOps(f.routers[0], putEntityOp(f.t, fleetconfig.KindEndpoint, name, catalog.Endpoint{
		URL: url, Models: []string{testModel}, Labels: map[string]string{"role": "engine"},
	}))
}

// TestMeasureStreams measures a router's resident memory per open stream.
func TestMeasureStreams(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	var points []capacity.Point
	for _, n := range []int{10, 100, 200, 300, 400} {
		f := startFleet(t, 1, 0, 1_000_000_000)
		f.addEngine("engine-1", startEngine(t, "--token-time", "40ms", "--slots", "1000", "--batch-slowdown", "1"))
		r := f.routers[0]
		time.Sleep(settleTime)
		var streams sync.WaitGroup
		for i := range n {
			streams.Go(func() { f.streamCompletion(r, fmt.Sprintf("Question %d.", i), 120) })
		}
		time.Sleep(settleTime)
		points = append(points, capacity.Point{X: float64(n), Y: f.scrape(r)[metricMemory]})
		streams.Wait()
	}
	storeSlope(t, capacity.MemoryPerStream, "bytes", "open stream", points)
}

// TestMeasureEndpoints measures a router's CPU time for polling endpoints in use.
func TestMeasureEndpoints(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	const window = 8 * time.Second
	var points []capacity.Point
	for _, n := range []int{4, 16, 32, 48} {
		f := startFleet(t, 1, n, 1_000_000_000)
		r := f.routers[0]
		f.runCompletions(r, 20*n, 8, 1)
		before := f.scrape(r)
		time.Sleep(window)
		points = append(points, capacity.Point{X: float64(n), Y: f.scrape(r).increase(before, metricCPU) / window.Seconds()})
		for _, p := range f.routers {
			assert.NilError(t, p.cmd.Process.Kill())
		}
	}
	storeSlope(t, capacity.CPUPerEndpointInUse, "cores", "endpoint in use", points)
}

// TestMeasureChanges measures the cost of configuration changes at a router that
// watches them.
func TestMeasureChanges(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	f := startFleet(t, 2, 1, 1_000_000)
	watcher := f.routers[1]
	var cpu, bytes, rows []capacity.Point
	changes := 0
	for _, n := range []int{20, 40, 80, 160} {
		before := f.scrape(watcher)
		for range n {
			changes++
			f.commitOps(f.routers[0], putEntityOp(t, fleetconfig.KindEndpoint, "engine-1", catalog.Endpoint{
				URL: f.engineURLs[0], Models: []string{testModel}, Labels: map[string]string{"role": "engine", "serial": fmt.Sprint(changes)},
			}))
		}
		time.Sleep(settleTime)
		after := f.scrape(watcher)
		x := float64(n)
		cpu = append(cpu, capacity.Point{X: x, Y: after.increase(before, metricCPU)})
		bytes = append(bytes, capacity.Point{X: x, Y: after.increase(before, metricPlatformSent, metricPlatformReceived, metricPeerSent, metricPeerReceived)})
		rows = append(rows, capacity.Point{X: x, Y: after.increase(before, metricRowsRead)})
	}
	storeSlope(t, capacity.CPUPerChange, "core seconds", "change", cpu)
	storeSlope(t, capacity.PlatformBytesPerChange, "bytes", "change", bytes)
	storeSlope(t, capacity.RowsReadPerChange, "rows", "change", rows)
}

// countingConn adds the bytes read and written on a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *int
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	*c.bytes += n
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	*c.bytes += n
	return n, err
}

// TestMeasureReports measures the bytes of an endpoint's load report, request and
// response headers included.
func TestMeasureReports(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	bytes := 0
	client := http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: &bytes}, err
	}}}
	url := startEngine(t) + engine.PathLoad
	var points []capacity.Point
	for _, n := range []int{10, 20, 40, 80} {
		before := bytes
		for range n {
			resp, err := client.Get(url)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
		}
		points = append(points, capacity.Point{X: float64(n), Y: float64(bytes - before)})
	}
	storeSlope(t, capacity.BytesPerLoadReport, "bytes", "load report", points)
}
