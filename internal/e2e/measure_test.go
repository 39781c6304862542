package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/capacity"
	"daisyslip.dev/daisyslip/internal/engine"
)

// measureCommand is the command that repeats the measurements; it is stored with
// each slope.
const measureCommand = "DAISYSLIP_MEASURE=1 go test -count=1 -run Measure ./internal/e2e"

// settleTime is the time between the start of a fleet or load and the measurement,
// so that start-up work is not measured.
const settleTime = 2 * time.Second

// measurementsEnabled reports whether the environment variable DAISYSLIP_MEASURE is
// set.
func measurementsEnabled(t *testing.T) bool {
	t.Helper()
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return false
	}
	return true
}

// metricsSample holds a router's metrics at one time by name. Series that differ
// only in their labels are summed.
type metricsSample map[string]float64

// scrape reads the router's metrics from its operator listener.
func (f *fleet) scrape(r *router) metricsSample {
	f.t.Helper()
	resp, err := http.Get(r.Operator + "/metrics")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	s := make(metricsSample)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		valueSeparator := strings.LastIndexByte(lines.Text(), ' ')
		if valueSeparator < 0 || strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		name, _, _ := strings.Cut(lines.Text()[:valueSeparator], "{")
		value, err := strconv.ParseFloat(lines.Text()[valueSeparator+1:], 64)
		assert.NilError(f.t, err)
		s[name] += value
	}
	return s
}

// increase returns by how much the named counters have grown since an earlier
// sample, summed over the names.
func (s metricsSample) increase(before metricsSample, names ...string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += s[name] - before[name]
	}
	return sum
}

// Names of the metrics from which the slopes are computed.
const (
	metricCPU              = "process_cpu_seconds_total"
	metricMemory           = "process_resident_memory_bytes"
	metricEvents           = "daisyslip_timeline_recorded_events_total"
	metricRowsRead         = "daisyslip_platform_read_rows_total"
	metricRowsWritten      = "daisyslip_platform_written_rows_total"
	metricPlatformSent     = "daisyslip_platform_sent_bytes_total"
	metricPlatformReceived = "daisyslip_platform_received_bytes_total"
	metricPeerSent         = "daisyslip_peer_sent_bytes_total"
	metricPeerReceived     = "daisyslip_peer_received_bytes_total"
)

// storeSlope writes a slope with its points to docs/measurements/slopes.json and
// logs its fit.
func storeSlope(t *testing.T, name capacity.SlopeName, unit, per string, points []capacity.Point) {
	t.Helper()
	path := filepath.Join("..", "..", "docs", "measurements", "slopes.json")
	slope := capacity.Slope{Name: name, Unit: unit, Per: per, Command: measureCommand, Points: points}
	assert.NilError(t, capacity.UpdateFile(path, slope))
	fit, err := capacity.NewFit(points)
	assert.NilError(t, err)
	t.Logf("%s: %.4g %s per %s, standard error %.2g, intercept %.4g, r2 %.4f", name, fit.Slope, unit, per, fit.SlopeError, fit.Intercept, fit.R2)
}

// streamCompletion reads one streamed completion to its end and returns the HTTP
// status, or 0 if the request or the stream failed.
func (f *fleet) streamCompletion(r *router, prompt string, maxTokens int) int {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, r.Caller+engine.PathChat, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// runCompletions streams completions, at most concurrency at a time, and reports an
// error for each that does not end with status 200.
func (f *fleet) runCompletions(r *router, requests, concurrency, maxTokens int) {
	f.t.Helper()
	jobs := make(chan int)
	var failed sync.Map
	var workers sync.WaitGroup
	for range concurrency {
		workers.Go(func() {
			for i := range jobs {
				if status := f.streamCompletion(r, fmt.Sprintf("Question %d about a bin.", i), maxTokens); status != http.StatusOK {
					failed.Store(i, status)
				}
			}
		})
	}
	for i := range requests {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	failed.Range(func(i, status any) bool {
		f.t.Errorf("request %v: status %v", i, status)
		return true
	})
}

// TestMeasureRequests measures the cost of requests and of their tokens at a router:
// CPU time, rows, platform traffic and events.
func TestMeasureRequests(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	const concurrency, warmUpRequests = 24, 200
	f := startFleet(t, 3, 2, 1_000_000_000)
	r := f.routers[0]
	f.runCompletions(r, warmUpRequests, concurrency, 1)
	time.Sleep(settleTime)
	var cpu, read, written, bytes, events, tokens []capacity.Point
	for _, n := range []int{250, 500, 1000, 2000} {
		before, startedAt := f.scrape(r), time.Now()
		f.runCompletions(r, n, concurrency, 1)
		after := f.scrape(r)
		x := float64(n)
		cpu = append(cpu, capacity.Point{X: x, Y: after.increase(before, metricCPU)})
		read = append(read, capacity.Point{X: x, Y: after.increase(before, metricRowsRead)})
		written = append(written, capacity.Point{X: x, Y: after.increase(before, metricRowsWritten)})
		bytes = append(bytes, capacity.Point{X: x, Y: after.increase(before, metricPlatformSent, metricPlatformReceived)})
		events = append(events, capacity.Point{X: x, Y: after.increase(before, metricEvents)})
		t.Logf("%d requests at %.0f a second", n, x/time.Since(startedAt).Seconds())
	}
	for _, length := range []int{16, 64, 128, 256, 512} {
		const n = 100
		before := f.scrape(r)
		f.runCompletions(r, n, concurrency, length)
		tokens = append(tokens, capacity.Point{X: float64(n * length), Y: f.scrape(r).increase(before, metricCPU)})
	}
	storeSlope(t, capacity.CPUPerRequest, "core seconds", "request of one token", cpu)
	storeSlope(t, capacity.RowsReadPerRequest, "rows", "request", read)
	storeSlope(t, capacity.RowsWrittenPerRequest, "rows", "request", written)
	storeSlope(t, capacity.PlatformBytesPerRequest, "bytes", "request", bytes)
	storeSlope(t, capacity.EventsPerRequest, "events", "request", events)
	storeSlope(t, capacity.CPUPerToken, "core seconds", "token relayed", tokens)
}

// TestMeasureIdle measures the cost of an idle router over time, as a function of
// the number of its peers.
func TestMeasureIdle(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	const window = 8 * time.Second
	var peerBytes, peerCPU, memory, rowsRead, rowsWritten, platformBytes []capacity.Point
	for _, n := range []int{1, 3, 6, 9, 12} {
		f := startFleet(t, n, 1, 1_000_000)
		time.Sleep(settleTime)
		r := f.routers[0]
		before := f.scrape(r)
		time.Sleep(window)
		after := f.scrape(r)
		add := func(points *[]capacity.Point, x, y float64) { *points = append(*points, capacity.Point{X: x, Y: y}) }
		peers := float64(n - 1)
		add(&peerBytes, peers, after.increase(before, metricPeerSent, metricPeerReceived)/window.Seconds())
		add(&peerCPU, peers, after.increase(before, metricCPU)/window.Seconds())
		add(&rowsRead, peers, after.increase(before, metricRowsRead)/window.Seconds())
		add(&rowsWritten, peers, after.increase(before, metricRowsWritten)/window.Seconds())
		add(&platformBytes, peers, after.increase(before, metricPlatformSent, metricPlatformReceived)/window.Seconds())
		add(&memory, peers, after[metricMemory])
		for _, other := range f.routers {
			assert.NilError(t, other.cmd.Process.Kill())
		}
	}
	storeSlope(t, capacity.PeerBytesPerIdleSecond, "bytes a second", "peer", peerBytes)
	storeSlope(t, capacity.PeerCPUPerIdleSecond, "cores", "peer", peerCPU)
	storeSlope(t, capacity.RowsReadPerIdleSecond, "rows a second", "peer", rowsRead)
	storeSlope(t, capacity.RowsWrittenPerIdleSecond, "rows a second", "peer", rowsWritten)
	storeSlope(t, capacity.PlatformBytesPerIdleSecond, "bytes a second", "peer", platformBytes)
	storeSlope(t, capacity.MemoryPerPeer, "bytes", "peer", memory)
}
