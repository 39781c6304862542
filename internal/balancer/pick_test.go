package balancer

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
	"daisyslip.dev/daisyslip/internal/requests"
)

// staticConfig is a Configuration that never changes.
type staticConfig struct{ index *catalog.Index }

// Catalog implements Configuration.
func (c staticConfig) Catalog() *catalog.Index { return c.index }

// newTestBalancer returns a balancer over n endpoints of one pool. All have 64 slots,
// the same speed and a load report that is up to date.
func newTestBalancer(t testing.TB, n int) *Balancer {
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
	b := New(DefaultSettings(), Dependencies{
		Config: staticConfig{index}, Events: event.Discard{}, Metrics: metrics.NewSet(), Clock: now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for _, m := range index.Members() {
		s := b.stateLocked(m.Name)
		s.reportRequestedAt, s.report = now.Now(), engine.Load{Slots: 64}
		s.meanGap, s.gapSamples = 0.01, b.settings.SlowSamples
	}
	return b
}

// prefixBlocks returns 64 block hashes that are unique to the prompt.
func prefixBlocks(prompt int) []uint64 {
	blocks := make([]uint64, 64)
	for i := range blocks {
		blocks[i] = uint64(prompt*1000 + i)
	}
	return blocks
}

// TestPrefixRoutingKeepsLoadBounded guards against prefix routing that overloads
// one endpoint or scatters a prompt. Repeated prompts must go to few endpoints
// each, while no endpoint gets more assignments than the load bound allows.
func TestPrefixRoutingKeepsLoadBounded(t *testing.T) {
	const endpoints, prompts, rounds = 10, 40, 10
	b := newTestBalancer(t, endpoints)
	endpointsByPrompt := make(map[int]map[string]bool)
	assignmentCounts := make(map[string]int)
	for range rounds {
		for p := range prompts {
			assignment, err := b.PickForModel(t.Context(), &requests.Generation{RequestInfo: requests.RequestInfo{Workspace: "coop"}, Model: "m", PrefixBlocks: prefixBlocks(p)}, nil)
			assert.NilError(t, err)
			if endpointsByPrompt[p] == nil {
				endpointsByPrompt[p] = make(map[string]bool)
			}
			endpointsByPrompt[p][assignment.Endpoint.Name] = true
			assignmentCounts[assignment.Endpoint.Name]++
		}
	}
	bound := int(b.settings.LoadBound*rounds*prompts/endpoints) + 2
	assert.Equal(t, len(assignmentCounts), endpoints)
	for name, n := range assignmentCounts {
		assert.Assert(t, n <= bound, "%s has %d assignments, want at most %d", name, n, bound)
	}
	pairs := 0
	for _, names := range endpointsByPrompt {
		pairs += len(names)
	}
	assert.Assert(t, pairs <= 3*prompts, "%d pairs of prompt and endpoint for %d prompts", pairs, prompts)
}

// TestPickRefusesLeavingEndpointAndStaleConfig guards against new work for an
// endpoint that is leaving (by configuration, load report or list of VMs), and
// for any endpoint while the configuration is out of date.
func TestPickRefusesLeavingEndpointAndStaleConfig(t *testing.T) {
	stale := failure.New(failure.StaleView, "confirm configuration", "platform", "too old")
	for name, c := range map[string]struct {
		change func(b *Balancer)
		want   failure.Code
	}{
		"by configuration":  {func(b *Balancer) { b.deps.Config.Catalog().Endpoint("engine-0").Leaving = true }, failure.NoEndpoint},
		"by its report":     {func(b *Balancer) { b.states["engine-0"].leaving = true }, failure.NoEndpoint},
		"by the list":       {func(b *Balancer) { b.deps.LeavingVMs = func(vm string) bool { return vm == "vm-0" } }, failure.NoEndpoint},
		"old configuration": {func(b *Balancer) { b.deps.ConfirmView = func(context.Context) error { return stale } }, failure.StaleView},
	} {
		b := newTestBalancer(t, 1)
		c.change(b)
		_, err := b.PickForModel(t.Context(), &requests.Generation{RequestInfo: requests.RequestInfo{Workspace: "coop"}, Model: "m"}, nil)
		assert.Check(t, failure.CodeOf(err) == c.want, "%s: %v", name, err)
	}
}

// TestAvailableSlots guards against a wrong number of this router's requests that
// can run at once in a pool of 4 endpoints with 64 slots each, when endpoints cannot
// be used or other routers occupy their slots.
func TestAvailableSlots(t *testing.T) {
	for name, c := range map[string]struct {
		change func(b *Balancer)
		want   int
	}{
		"all free":             {func(*Balancer) {}, 4 * 64},
		"one ejected":          {func(b *Balancer) { b.states["engine-0"].health = ejected }, 3 * 64},
		"one leaving":          {func(b *Balancer) { b.states["engine-0"].leaving = true }, 3 * 64},
		"one without a report": {func(b *Balancer) { b.states["engine-0"].report.Slots = 0 }, 4 * 64},
		"others' requests":     {func(b *Balancer) { b.states["engine-0"].report.Running = 24; b.deps.Routers = func() int { return 2 } }, 3*64 + 40},
		"this router's requests": {func(b *Balancer) {
			b.states["engine-0"].report.Running, b.states["engine-0"].inFlightAtReport = 24, 24
		}, 4 * 64},
		"filled by others": {func(b *Balancer) {
			b.states["engine-0"].report.Running = 90
			b.deps.Routers = func() int { return 10 }
		}, 3*64 + 7},
	} {
		b := newTestBalancer(t, 4)
		c.change(b)
		assert.Check(t, b.availableSlots()["engines"] == c.want, "%s: %d", name, b.availableSlots()["engines"])
	}
}

// BenchmarkPick measures the choice of an endpoint for a prompt of 64 blocks in
// pools of several sizes.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := newTestBalancer(b, n)
			g := &requests.Generation{RequestInfo: requests.RequestInfo{Workspace: "coop"}, Model: "m"}
			for i := 0; b.Loop(); i++ {
				g.PrefixBlocks = prefixBlocks(i % 100)
				assignment, err := balancer.PickForModel(b.Context(), g, nil)
				if err != nil {
					b.Fatal(err)
				}
				assignment.ObserveGap(10 * time.Millisecond)
				assignment.Done()
			}
		})
	}
}
