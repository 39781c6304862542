package route

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/work"
)

// fixed is a configuration that does not change.
type fixed struct{ index *catalog.Index }

// Catalog implements Configuration.
func (f fixed) Catalog() *catalog.Index { return f.index }

// newTestRouter returns a router over n endpoints of one pool, whose load
// reports are all fresh.
func newTestRouter(t testing.TB, n int) *Router {
	d := catalog.Document{
		Revision:   1,
		Workspaces: []catalog.Workspace{{Name: "coop"}},
		Pools:      []catalog.Pool{{Name: "engines", Kind: catalog.PoolModel}},
	}
	for i := range n {
		d.Endpoints = append(d.Endpoints, catalog.Endpoint{Name: fmt.Sprint("engine-", i), VM: fmt.Sprint("vm-", i), URL: "http://127.0.0.1:1", Models: []string{"m"}})
	}
	index, err := catalog.NewIndex(d)
	assert.NilError(t, err)
	now := clock.NewFake(time.Unix(1_800_000_000, 0))
	r := NewRouter(DefaultSettings(), Dependencies{
		Config: fixed{index}, Events: event.Discard{}, Metrics: metrics.NewSet(), Clock: now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for _, m := range index.Members() {
		s := r.stateLocked(m.Name)
		s.reportAt, s.report = now.Now(), engine.Load{Slots: 64}
		s.gap, s.gaps = 0.01, r.settings.SlowSamples
	}
	return r
}

// prefixes returns the blocks of a prompt.
func prefixes(prompt int) []uint64 {
	blocks := make([]uint64, 64)
	for i := range blocks {
		blocks[i] = uint64(prompt*1000 + i)
	}
	return blocks
}

// TestPrefixesSpread sends many prompts: each prompt keeps to few endpoints,
// and all endpoints get work within the bound on the load.
func TestPrefixesSpread(t *testing.T) {
	const endpoints, prompts, rounds = 10, 40, 10
	r := newTestRouter(t, endpoints)
	homes := make(map[int]map[string]bool)
	leases := make(map[string]int)
	for range rounds {
		for p := range prompts {
			lease, err := r.PickForModel(t.Context(), &work.Generation{RequestInfo: work.RequestInfo{Workspace: "coop"}, Model: "m", PrefixBlocks: prefixes(p)}, nil)
			assert.NilError(t, err)
			if homes[p] == nil {
				homes[p] = make(map[string]bool)
			}
			homes[p][lease.Endpoint.Name] = true
			leases[lease.Endpoint.Name]++
		}
	}
	bound := int(r.settings.LoadBound*rounds*prompts/endpoints) + 2
	assert.Equal(t, len(leases), endpoints)
	for name, n := range leases {
		assert.Assert(t, n <= bound, "%s has %d of at most %d", name, n, bound)
	}
	spread := 0
	for _, h := range homes {
		spread += len(h)
	}
	assert.Assert(t, spread <= 3*prompts, "%d homes of %d prompts", spread, prompts)
}

// TestNoNewWork has endpoints leave by their configuration, by their report
// and by the platform's list, and the configuration be out of date.
func TestNoNewWork(t *testing.T) {
	stale := failure.New(failure.StaleView, "confirm configuration", "platform", "too old")
	for name, c := range map[string]struct {
		change func(r *Router)
		want   failure.Code
	}{
		"by configuration":  {func(r *Router) { r.duties.Config.Catalog().Endpoint("engine-0").Leaving = true }, failure.NoEndpoint},
		"by its report":     {func(r *Router) { r.states["engine-0"].leaving = true }, failure.NoEndpoint},
		"by the list":       {func(r *Router) { r.duties.LeavingVMs = func(vm string) bool { return vm == "vm-0" } }, failure.NoEndpoint},
		"old configuration": {func(r *Router) { r.duties.ConfirmView = func(context.Context) error { return stale } }, failure.StaleView},
	} {
		r := newTestRouter(t, 1)
		c.change(r)
		_, err := r.PickForModel(t.Context(), &work.Generation{RequestInfo: work.RequestInfo{Workspace: "coop"}, Model: "m"}, nil)
		assert.Check(t, failure.CodeOf(err) == c.want, "%s: %v", name, err)
	}
}

// TestSlots counts the room for this router's requests.
func TestSlots(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Router)
		want   int
	}{
		"all free":         {func(*Router) {}, 4 * 64},
		"one ejected":      {func(r *Router) { r.states["engine-0"].health = ejected }, 3 * 64},
		"one leaving":      {func(r *Router) { r.states["engine-0"].leaving = true }, 3 * 64},
		"one not heard of": {func(r *Router) { r.states["engine-0"].report.Slots = 0 }, 4 * 64},
		"others' requests": {func(r *Router) { r.states["engine-0"].report.Running = 24; r.duties.Routers = func() int { return 2 } }, 3*64 + 40},
		"own requests": {func(r *Router) {
			r.states["engine-0"].report.Running, r.states["engine-0"].ownAtReport = 24, 24
		}, 4 * 64},
		"filled by others": {func(r *Router) {
			r.states["engine-0"].report.Running = 90
			r.duties.Routers = func() int { return 10 }
		}, 3*64 + 7},
	} {
		r := newTestRouter(t, 4)
		c.change(r)
		assert.Check(t, r.slots()["engines"] == c.want, "%s: %d", name, r.slots()["engines"])
	}
}

// BenchmarkPick picks one of the endpoints of a large pool for a long prompt.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newTestRouter(b, n)
			g := &work.Generation{RequestInfo: work.RequestInfo{Workspace: "coop"}, Model: "m"}
			for i := 0; b.Loop(); i++ {
				g.PrefixBlocks = prefixes(i % 100)
				lease, err := r.PickForModel(b.Context(), g, nil)
				if err != nil {
					b.Fatal(err)
				}
				lease.ObserveGap(10 * time.Millisecond)
				lease.Done()
			}
		})
	}
}
