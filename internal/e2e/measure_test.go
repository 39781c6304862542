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

// measureCommand repeats the measurements of this file.
const measureCommand = "DAISYSLIP_MEASURE=1 go test -count=1 -run Measure ./internal/e2e"

// settleTime lets a fleet come to rest before it is measured.
const settleTime = 2 * time.Second

// measuring reports whether the environment asks for measurements.
func measuring(t *testing.T) bool {
	t.Helper()
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("no measurement asked for with DAISYSLIP_MEASURE=1")
		return false
	}
	return true
}

// sample is the metrics of a router at one time, by name; series that differ
// in labels are summed.
type sample map[string]float64

// scrape reads a router's metrics.
func (f *fleet) scrape(r *router) sample {
	f.t.Helper()
	resp, err := http.Get(r.Operator + "/metrics")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	s := make(sample)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		at := strings.LastIndexByte(lines.Text(), ' ')
		if at < 0 || strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		name, _, _ := strings.Cut(lines.Text()[:at], "{")
		value, err := strconv.ParseFloat(lines.Text()[at+1:], 64)
		assert.NilError(f.t, err)
		s[name] += value
	}
	return s
}

// since returns how much a counter grew, summed over names.
func (s sample) since(before sample, names ...string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += s[name] - before[name]
	}
	return sum
}

// Names of the metrics that the slopes are made of.
const (
	metricCPU          = "process_cpu_seconds_total"
	metricMemory       = "process_resident_memory_bytes"
	metricEvents       = "daisyslip_timeline_recorded_events_total"
	metricRowsRead     = "daisyslip_platform_read_rows_total"
	metricRowsWritten  = "daisyslip_platform_written_rows_total"
	metricPlatformSent = "daisyslip_platform_sent_bytes_total"
	metricPlatformRecv = "daisyslip_platform_received_bytes_total"
	metricPeerSent     = "daisyslip_peer_sent_bytes_total"
	metricPeerReceived = "daisyslip_peer_received_bytes_total"
)

// putSlope stores a slope.
func putSlope(t *testing.T, name capacity.SlopeName, unit, per string, points []capacity.Point) {
	t.Helper()
	path := filepath.Join("..", "..", "docs", "measurements", "slopes.json")
	slope := capacity.Slope{Name: name, Unit: unit, Per: per, Command: measureCommand, Points: points}
	assert.NilError(t, capacity.UpdateFile(path, slope))
	fit, err := capacity.NewFit(points)
	assert.NilError(t, err)
	t.Logf("%s: %.4g %s per %s, standard error %.2g, intercept %.4g, r2 %.4f", name, fit.Slope, unit, per, fit.SlopeError, fit.Intercept, fit.R2)
}

// stream reads one streamed completion and returns its status.
func (f *fleet) stream(r *router, prompt string, tokens int) int {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, testModel, tokens, prompt)
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

// load streams n completions, width at a time, and requires that all end.
func (f *fleet) load(r *router, n, width, tokens int) {
	f.t.Helper()
	jobs := make(chan int)
	var failed sync.Map
	var workers sync.WaitGroup
	for range width {
		workers.Go(func() {
			for i := range jobs {
				if status := f.stream(r, fmt.Sprintf("Question %d about a bin.", i), tokens); status != http.StatusOK {
					failed.Store(i, status)
				}
			}
		})
	}
	for i := range n {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	failed.Range(func(i, status any) bool {
		f.t.Errorf("request %v: status %v", i, status)
		return true
	})
}

// TestMeasureRequests measures what requests and their tokens cost a router
// and the table.
func TestMeasureRequests(t *testing.T) {
	if !measuring(t) {
		return
	}
	const width, warm = 24, 200
	f := startFleet(t, 3, 2, 1_000_000_000)
	r := f.routers[0]
	f.load(r, warm, width, 1)
	time.Sleep(settleTime)
	var cpu, read, written, bytes, events, tokens []capacity.Point
	for _, n := range []int{250, 500, 1000, 2000} {
		before, begun := f.scrape(r), time.Now()
		f.load(r, n, width, 1)
		after := f.scrape(r)
		x := float64(n)
		cpu = append(cpu, capacity.Point{X: x, Y: after.since(before, metricCPU)})
		read = append(read, capacity.Point{X: x, Y: after.since(before, metricRowsRead)})
		written = append(written, capacity.Point{X: x, Y: after.since(before, metricRowsWritten)})
		bytes = append(bytes, capacity.Point{X: x, Y: after.since(before, metricPlatformSent, metricPlatformRecv)})
		events = append(events, capacity.Point{X: x, Y: after.since(before, metricEvents)})
		t.Logf("%d requests at %.0f a second", n, x/time.Since(begun).Seconds())
	}
	for _, length := range []int{16, 64, 128, 256, 512} {
		const n = 100
		before := f.scrape(r)
		f.load(r, n, width, length)
		tokens = append(tokens, capacity.Point{X: float64(n * length), Y: f.scrape(r).since(before, metricCPU)})
	}
	putSlope(t, capacity.CPUPerRequest, "core seconds", "request of one token", cpu)
	putSlope(t, capacity.RowsReadPerRequest, "rows", "request", read)
	putSlope(t, capacity.RowsWrittenPerRequest, "rows", "request", written)
	putSlope(t, capacity.PlatformBytesPerRequest, "bytes", "request", bytes)
	putSlope(t, capacity.EventsPerRequest, "events", "request", events)
	putSlope(t, capacity.CPUPerToken, "core seconds", "token relayed", tokens)
}

// TestMeasureIdle measures what an idle router costs over time, and what each
// further router costs the others.
func TestMeasureIdle(t *testing.T) {
	if !measuring(t) {
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
		add(&peerBytes, peers, after.since(before, metricPeerSent, metricPeerReceived)/window.Seconds())
		add(&peerCPU, peers, after.since(before, metricCPU)/window.Seconds())
		add(&rowsRead, peers, after.since(before, metricRowsRead)/window.Seconds())
		add(&rowsWritten, peers, after.since(before, metricRowsWritten)/window.Seconds())
		add(&platformBytes, peers, after.since(before, metricPlatformSent, metricPlatformRecv)/window.Seconds())
		add(&memory, peers, after[metricMemory])
		for _, other := range f.routers {
			assert.NilError(t, other.cmd.Process.Kill())
		}
	}
	putSlope(t, capacity.PeerBytesPerIdleSecond, "bytes a second", "peer", peerBytes)
	putSlope(t, capacity.PeerCPUPerIdleSecond, "cores", "peer", peerCPU)
	putSlope(t, capacity.RowsReadPerIdleSecond, "rows a second", "peer", rowsRead)
	putSlope(t, capacity.RowsWrittenPerIdleSecond, "rows a second", "peer", rowsWritten)
	putSlope(t, capacity.PlatformBytesPerIdleSecond, "bytes a second", "peer", platformBytes)
	putSlope(t, capacity.MemoryPerPeer, "bytes", "peer", memory)
}
