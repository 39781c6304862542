package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
)

var means = placement.PoolMeans{Utilisation: 0.5, Slowness: 100, PromptTokens: 1700, OutputTokens: 150}

// at returns a candidate with 16 slots and a fresh report of requests.
func at(requests int, home placement.HomeKind) placement.Candidate {
	report := placement.LoadReport{Known: true, Running: min(requests, 16), Waiting: max(requests-16, 0), Slowness: 100}
	return placement.Candidate{Capacity: 16, Report: report, Home: home, Cached: home == placement.FirstHomes}
}

// mostRequests plays 70 routers that place 400 requests a second of 600 ms each at 30 endpoints
// of 16 slots. Router r reads reports that are up to 2 s old. It returns the most requests that
// an endpoint had, where the mean is 8.
func mostRequests(choose func(g *rand.Rand, reports []placement.Candidate) int) int {
	const servers, step, duration, history = 30, 20, 30, 101 // steps of 20 ms, 8 requests in each
	g := rand.New(rand.NewPCG(1, 2))
	var loads [history][servers]int // ring
	var placed [duration][]int      // ring
	var now [servers]int
	most := 0
	for t := range 1500 {
		for _, e := range placed[t%duration] {
			now[e]--
		}
		placed[t%duration] = nil
		loads[t%history] = now
		for range 8 {
			age := min(5+g.IntN(70)*95/70, t)
			var reports []placement.Candidate
			for _, load := range loads[(t-age)%history] {
				c := at(load, placement.NoHome)
				c.Report.Age = time.Duration(age*step) * time.Millisecond
				reports = append(reports, c)
			}
			e := choose(g, reports)
			now[e]++
			most = max(most, now[e])
			placed[t%duration] = append(placed[t%duration], e)
		}
	}
	return most
}

// TestManyRoutersWithOldReportsDoNotConcentrate answers the load of 70 routers that read the same
// outdated reports. It guards against all of them taking the endpoint that looks least loaded.
func TestManyRoutersWithOldReportsDoNotConcentrate(t *testing.T) {
	size := placement.Size{PromptTokens: 1000, OutputTokens: 150}
	naive := mostRequests(func(_ *rand.Rand, reports []placement.Candidate) int {
		best := 0
		for i, c := range reports {
			if c.Report.Running+c.Report.Waiting < reports[best].Report.Running+reports[best].Report.Waiting {
				best = i
			}
		}
		return best
	})
	ours := mostRequests(func(g *rand.Rand, reports []placement.Candidate) int {
		two := g.Perm(len(reports))[:2]
		i, _ := placement.ChooseByCompletion([]placement.Candidate{reports[two[0]], reports[two[1]]}, size, means)
		return two[i]
	})
	t.Logf("most requests at an endpoint, mean 8: %d by least reported load, %d by expected completion", naive, ours)
	assert.Assert(t, naive > 64, "%d", naive)
	assert.Assert(t, ours <= 24, "%d", ours)
}

// TestLongPrefixWaitsAtItsHome answers the load of long and short prefixes at a busy home. It guards
// against reading a long prefix again for a small gain, and against waiting in a long queue for it.
func TestLongPrefixWaitsAtItsHome(t *testing.T) {
	long, short := placement.Size{PromptTokens: 8000, SharedTokens: 6300, OutputTokens: 100}, placement.Size{PromptTokens: 1900, SharedTokens: 200, OutputTokens: 100}
	for _, c := range []struct {
		size          placement.Size
		atHome, other int
		want          int
	}{
		{long, 8, 2, 0}, {long, 20, 2, 0}, {long, 60, 2, 1}, {long, 60, 60, 0},
		{short, 8, 6, 0}, {short, 20, 2, 1}, {short, 60, 2, 1},
	} {
		got, _ := placement.ChooseByCompletion([]placement.Candidate{at(c.atHome, placement.FirstHomes), at(c.other, placement.NoHome)}, c.size, means)
		assert.Check(t, got == c.want, "%+v: %d", c, got)
	}
}

// TestUnreadPromptsAndSilenceCount answers the load of long prompts that no report shows yet. It guards
// against an estimate by the number of requests, and against more requests to an endpoint that hangs.
func TestUnreadPromptsAndSilenceCount(t *testing.T) {
	size := placement.Size{PromptTokens: 1000, OutputTokens: 100}
	one, many := at(4, placement.NoHome), at(4, placement.NoHome)
	one.Own = placement.Work{Requests: 1, PromptTokens: 60000, OutputTokens: 100}
	many.Own = placement.Work{Requests: 4, PromptTokens: 4000, OutputTokens: 400}
	got, _ := placement.ChooseByCompletion([]placement.Candidate{one, many}, size, means)
	assert.Equal(t, got, 1)
	assert.Assert(t, placement.WorkAt(one, means) > placement.WorkAt(many, means))
	one.Own = placement.Work{Requests: 1, Silent: 3 * time.Second}
	got, _ = placement.ChooseByCompletion([]placement.Candidate{one, at(16, placement.NoHome)}, size, means)
	assert.Equal(t, got, 1)
}

// fleet is a balancer and its endpoints. They take stepMs for each output token when idle, and
// twice as long with all slots in use.
type fleet struct {
	*placement.Balancer
	clock  *clock.Fake
	load   map[string]exchange.Load
	stepMs map[string]int
}

func newFleet(n int) fleet {
	b, c := newBalancer()
	f := fleet{b, c, make(map[string]exchange.Load), make(map[string]int)}
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		f.load[id], f.stepMs[id] = exchange.Load{Running: 4, Slots: 16, Slowness: 100}, 5
	}
	return f
}

// serve places a request and plays its response.
func (f fleet) serve(r placement.Request) placement.Choice {
	return f.serveAt(endpointList(len(f.load)), r)
}

// slowness returns the expected slowness of i-0.
func (f fleet) slowness() float64 {
	choice, _ := f.Begin(endpointList(1), placement.Request{}, nil)
	f.End(choice, placement.Inconclusive)
	return choice.Slowness
}

func (f fleet) serveAt(list []endpoints.Endpoint, r placement.Request) placement.Choice {
	choice, _ := f.Begin(list, r, nil)
	load := f.load[choice.Endpoint.ID]
	step := time.Duration(f.stepMs[choice.Endpoint.ID]*(16+load.Running)/16) * time.Millisecond
	f.clock.Advance(30*time.Millisecond + step)
	f.Report(choice.Endpoint.ID, load)
	for range 20 {
		f.Progress(choice.Task, 4)
		f.clock.Advance(4 * step)
	}
	f.End(choice, placement.Succeeded)
	return choice
}

// share returns the share of n requests that are placed at i-0.
func (f fleet) share(n int, r placement.Request) float64 {
	chosen := 0
	for range n {
		if f.serve(r).Endpoint.ID == "i-0" {
			chosen++
		}
	}
	return float64(chosen) / float64(n)
}

// TestSlowEndpointsAreLearnt answers the load of endpoints that differ in speed, which no report says. It
// guards against the same share for all, and against judging an endpoint by one slow response.
func TestSlowEndpointsAreLearnt(t *testing.T) {
	f, r := newFleet(6), placement.Request{PromptTokens: 1000, MaxOutputTokens: 80, Streaming: true}
	f.share(60, r)
	f.stepMs["i-0"] = 15
	f.serveAt(endpointList(1), r)
	assert.Assert(t, f.slowness() < 125, "%.0f after one slow response", f.slowness())
	for range 15 {
		f.serveAt(endpointList(1), r)
		f.share(5, r)
	}
	assert.Assert(t, f.slowness() > 140, "%.0f after 16 slow responses", f.slowness())
	got := f.share(200, r)
	assert.Assert(t, got < 0.1, "%.3f while slow", got)
	f.clock.Advance(3 * time.Minute)
	assert.Assert(t, f.slowness() < 110, "%.0f after three minutes without responses", f.slowness())
}

// TestHotPrefixSpreadsAndReturns answers the load of a prefix in such demand that its home has a queue.
// It guards against a prefix that stays at one home, homes that remain without demand, and places
// in a list that has changed.
func TestHotPrefixSpreadsAndReturns(t *testing.T) {
	f := newFleet(12)
	r := placement.Request{Affinity: 7, PromptTokens: 7000, SharedTokens: 6300, MaxOutputTokens: 80, Streaming: true}
	for range 20 {
		f.serve(placement.Request{PromptTokens: 1000, MaxOutputTokens: 80, Streaming: true})
	}
	home := f.serve(r).Endpoint.ID
	for range 5 {
		choice := f.serve(r)
		assert.Equal(t, choice.Endpoint.ID, home)
		assert.Equal(t, choice.Homes, 1)
	}
	used, homes := make(map[string]bool), 0
	for range 40 {
		choice := f.serve(r)
		f.load[choice.Endpoint.ID] = exchange.Load{Running: 16, Waiting: 6, Slots: 16, Slowness: 100}
		used[choice.Endpoint.ID], homes = true, max(homes, choice.Homes)
	}
	assert.Equal(t, homes, 3)
	assert.Assert(t, used[home] && len(used) >= 3, "%v", used)
	for id := range f.load {
		f.load[id] = exchange.Load{Running: 2, Slots: 16, Slowness: 100}
	}
	for range 100 {
		f.serve(r)
	}
	last := f.serve(r)
	assert.Equal(t, last.Homes, 1)
	assert.Equal(t, last.Endpoint.ID, home)
	others := slices.DeleteFunc(endpointList(12), func(e endpoints.Endpoint) bool { return e.ID == home })
	assert.Assert(t, f.serveAt(others, r).Endpoint.ID != home)
	assert.Equal(t, f.serve(r).Endpoint.ID, home)
}

// TestCompletionOnlyWithSlowness guards against another placement of pools without four figures,
// or with placement.expected_completion switched off.
func TestCompletionOnlyWithSlowness(t *testing.T) {
	f := newFleet(3)
	f.serve(placement.Request{})
	assert.Assert(t, f.serve(placement.Request{}).ByCompletion)
	for id := range f.load {
		f.load[id] = exchange.Load{Running: 2, Slots: 16}
	}
	f.share(50, placement.Request{})
	assert.Assert(t, !f.serve(placement.Request{}).ByCompletion)
}
