package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// measureCommand is the command line that repeats the measurements of this package.
const measureCommand = "DAISYSLIP_MEASURE=1 go test -count=1 -run Measure ./internal/capacity"

// slopesPath is the file of committed slopes, which the measurements update.
var slopesPath = filepath.Join("..", "..", "docs", "measurements", "slopes.json")

// measurementsEnabled reports whether the environment asks for measurements. If not, it
// logs how to do so.
func measurementsEnabled(t *testing.T) bool {
	t.Helper()
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return false
	}
	return true
}

// recordSlope fits a line to the points, stores the slope in slopesPath and logs it.
func recordSlope(t *testing.T, name SlopeName, unit, per string, points []Point) {
	t.Helper()
	assert.NilError(t, UpdateFile(slopesPath, Slope{Name: name, Unit: unit, Per: per, Command: measureCommand, Points: points}))
	fit, err := NewFit(points)
	assert.NilError(t, err)
	t.Logf("%s: %.4g %s per %s, standard error %.2g, r2 %.4f", name, fit.Slope, unit, per, fit.SlopeError, fit.R2)
}

// liveHeapBytes returns the size of the live objects on the heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuSeconds returns the processor time that this process has used, in seconds.
func cpuSeconds(t *testing.T) float64 {
	t.Helper()
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// sweep returns a point with the result of y for each x.
func sweep(xs []int, y func(x int) float64) []Point {
	var points []Point
	for _, x := range xs {
		points = append(points, Point{X: float64(x), Y: y(x)})
	}
	return points
}

// retainedBytes returns the size on the heap of what build returns.
func retainedBytes(build func() any) float64 {
	before := liveHeapBytes()
	built := build()
	after := liveHeapBytes()
	runtime.KeepAlive(built)
	return after - before
}

// testDocument returns a configuration with the given numbers of workspaces and endpoints,
// which look like those of the target: workspaces with one key and two labels, endpoints
// with two labels, and one pool per model.
func testDocument(workspaces, endpoints int) catalog.Document {
	d := catalog.Document{Revision: 1}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%06d", i)
		d.Workspaces = append(d.Workspaces, catalog.Workspace{
			Name: name, Labels: map[string]string{"tier": "gold", "region": fmt.Sprint("r", i%4)},
			Keys: []catalog.AccessKey{{Hash: catalog.HashKey(name), Budget: catalog.DefaultBudget}},
		})
	}
	for i := range 39 {
		model := fmt.Sprintf("model-%02d", i)
		d.Pools = append(d.Pools, catalog.Pool{Name: model, Kind: catalog.PoolModel, Selector: "model=" + model})
	}
	for i := range endpoints {
		model := fmt.Sprintf("model-%02d", i%39)
		d.Endpoints = append(d.Endpoints, catalog.Endpoint{
			Name: fmt.Sprintf("engine-%05d", i), URL: fmt.Sprintf("http://127.0.0.1:%d", 1024+i), Models: []string{model},
			Labels: map[string]string{"model": model, "zone": fmt.Sprint("z", i%16)},
		})
	}
	return d
}

// encodeDocument returns the JSON encoding of a configuration.
func encodeDocument(t *testing.T, d catalog.Document) []byte {
	t.Helper()
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	return data
}

// decodeIndex decodes a configuration and builds its index, as a router does.
func decodeIndex(t *testing.T, data []byte) *catalog.Index {
	t.Helper()
	var d catalog.Document
	assert.NilError(t, json.Unmarshal(data, &d))
	x, err := catalog.NewIndex(d)
	assert.NilError(t, err)
	return x
}

// TestMeasureConfiguration measures the memory of a configuration's index, the size of the
// configuration, and the processor time of a change, and updates the committed slopes.
func TestMeasureConfiguration(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	workspaces, endpoints := []int{1000, 4000, 8000, 12000, 16000}, []int{250, 500, 1000, 1900}
	recordSlope(t, MemoryPerWorkspace, "bytes", "workspace", sweep(workspaces, func(x int) float64 {
		data := encodeDocument(t, testDocument(x, 39))
		return retainedBytes(func() any { return decodeIndex(t, data) })
	}))
	recordSlope(t, MemoryPerEndpoint, "bytes", "endpoint", sweep(endpoints, func(x int) float64 {
		data := encodeDocument(t, testDocument(10, x))
		return retainedBytes(func() any { return decodeIndex(t, data) })
	}))
	recordSlope(t, DocumentBytesPerWorkspace, "bytes", "workspace", sweep(workspaces, func(x int) float64 {
		return float64(len(encodeDocument(t, testDocument(x, 39))))
	}))
	recordSlope(t, IndexCPUPerWorkspace, "core seconds", "workspace that a change of another one leaves alone", sweep(workspaces, func(x int) float64 {
		d := testDocument(x, 39)
		full, err := catalog.NewIndex(d)
		assert.NilError(t, err)
		changed := catalog.ChangeSet{Workspaces: []string{d.Workspaces[x/2].Name}}
		const rounds = 200
		before := cpuSeconds(t)
		for range rounds {
			_, err := full.Next(d, changed)
			assert.NilError(t, err)
		}
		return (cpuSeconds(t) - before) / rounds
	}))
}

// TestMeasureTimeline measures the memory and the processor time per recorded event, and
// updates the committed slopes.
func TestMeasureTimeline(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	id := bus.ID{VM: "entry-1", Incarnation: "6f0c2f0e-0b7c-4b55-8d1e-b5a8f1f7f9d1"}
	fill := func(ring *timeline.Ring, n int) {
		for i := range n {
			ring.Record(event.Event{
				Component: event.ComponentDispatch, Kind: event.AttemptStarted, Request: fmt.Sprintf("6f0c2f0e-0b7c-4b55-8d1e-%012d", i),
				Attempt: fmt.Sprintf("0b7c6f0c-0f0e-4b55-8d1e-%012d", i), Workspace: "workspace-000007", Endpoint: "engine-00003",
			})
		}
	}
	recordSlope(t, MemoryPerEvent, "bytes", "event kept", sweep([]int{4096, 8192, 16384, 32768, 65536}, func(x int) float64 {
		return retainedBytes(func() any {
			ring := timeline.NewRing(timeline.Settings{Events: x, RetainedEvents: 1}, id, hlc.New(clock.Real{}))
			fill(ring, x)
			return ring
		})
	}))
	recordSlope(t, CPUPerEvent, "core seconds", "event", sweep([]int{200_000, 400_000, 800_000, 1_600_000}, func(x int) float64 {
		ring := timeline.NewRing(timeline.DefaultSettings(), id, hlc.New(clock.Real{}))
		before := cpuSeconds(t)
		fill(ring, x)
		return cpuSeconds(t) - before
	}))
}
