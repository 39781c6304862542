package delivery

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyslip.dev/daisyslip/internal/dispatch"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/work"
)

// The engine model and the load of the measurement.
const (
	measureEngines  = 10
	measureSlots    = 8
	measureToken    = 8 * time.Millisecond // twice that when all slots run
	measurePrefill  = 500 * time.Microsecond
	measureCache    = 600 // blocks of 16 tokens
	measureManuals  = 100
	manualWords     = 480
	questionWords   = 80
	measureMaxTok   = 60
	measureWarm     = 2 * time.Second
	measureTime     = 4 * time.Second
	measureSeed     = 20
	measureSlowBy   = 10
	measureLostPart = 0.5
	measureLate     = 2 * time.Second
)

// capacity is the rate at which all slots are busy when every manual is
// cached, in requests a second.
func capacity() float64 {
	prefill := questionWords * measurePrefill.Seconds()
	generate := 0.76 * measureMaxTok * 2 * measureToken.Seconds()
	return measureEngines * measureSlots / (prefill + generate)
}

// random, roundRobin and leastInFlight are the baselines.
type random struct{}

// Choose implements route.Chooser.
func (random) Choose(_ []uint64, c []route.Candidate) int { return rand.IntN(len(c)) }

type roundRobin struct{ next *int }

// Choose implements route.Chooser; it runs under the router's lock.
func (r roundRobin) Choose(_ []uint64, c []route.Candidate) int {
	*r.next++
	return *r.next % len(c)
}

type leastInFlight struct{}

// Choose implements route.Chooser.
func (leastInFlight) Choose(_ []uint64, c []route.Candidate) int {
	best := rand.IntN(len(c))
	for i := range c {
		if c[i].InFlight < c[best].InFlight {
			best = i
		}
	}
	return best
}

// strategy is a way to route.
type strategy struct {
	name    string
	chooser route.Chooser
}

func strategies() []strategy {
	return []strategy{
		{"ours", nil}, {"random", random{}}, {"round robin", roundRobin{new(int)}}, {"least in flight", leastInFlight{}},
	}
}

// options are our defaults; a baseline neither ejects nor queues.
func (s strategy) options() options {
	o := quickOptions()
	o.route, o.dispatch = route.DefaultSettings(), dispatch.DefaultSettings()
	o.chooser = s.chooser
	if s.chooser != nil {
		o.route.SlowFactor, o.route.EjectFailures = math.MaxFloat64, math.MaxInt
		o.unbounded = true
	}
	return o
}

// condition is the health of the engines.
type condition struct {
	name   string
	slow   int // engines at a tenth of their speed
	nodes  int // routers that share the engines; 0 is one
	events standin.EngineFaults
}

var conditions = []condition{
	{name: "health"},
	{name: "two of ten slow", slow: 2},
	{name: "three routers", nodes: 3},
	{name: "cache events lost and late", events: standin.EngineFaults{EventLossShare: measureLostPart, EventDelay: measureLate}},
}

// sample is one request of the load.
type sample struct {
	at       time.Duration
	prompt   string
	priority work.Priority
	within   time.Duration
}

// load returns Poisson arrivals at a rate, over manuals whose popularity
// falls with their rank.
func load(seed uint64, perSecond float64) []sample {
	r := rand.New(rand.NewPCG(seed, seed))
	manuals := make([]string, measureManuals)
	for i := range manuals {
		manuals[i] = words(r, manualWords)
	}
	popular := rand.NewZipf(r, 1.2, 4, measureManuals-1)
	var samples []sample
	for at := time.Duration(0); at < measureWarm+measureTime; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		s := sample{at: at, prompt: manuals[popular.Uint64()] + words(r, questionWords), priority: work.PriorityNormal, within: 3 * time.Second}
		switch p := r.Float64(); {
		case p < 0.3:
			s.priority, s.within = work.PriorityBatch, 6*time.Second
		case p < 0.4:
			s.priority, s.within = work.PriorityUrgent, 3*time.Second
		}
		samples = append(samples, s)
	}
	return samples
}

// words returns n words of three letters, four bytes each with the space, so
// that a block of 64 bytes is 16 tokens.
func words(r *rand.Rand, n int) string {
	var text strings.Builder
	for range n {
		for range 3 {
			text.WriteByte('a' + byte(r.IntN(26)))
		}
		text.WriteByte(' ')
	}
	return text.String()
}

// tally is what one case gave.
type tally struct {
	mu         sync.Mutex // guards all below
	first      *hdrhistogram.Histogram
	foreground *hdrhistogram.Histogram // first, of all but batch work
	gap        *hdrhistogram.Histogram
	requests   int
	attempts   int
	refused    int
	onTime     int
	tokens     int64 // of answers on time that ended in the measured part
	wrong      int
	from, to   time.Time // the measured part of the run
	asked      [3]int    // by priority
	served     [3]int    // on time, by priority
}

func newTally(from time.Time) *tally {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &tally{from: from, to: from.Add(measureTime), first: newHistogram(), foreground: newHistogram(), gap: newHistogram()}
}

// run asks one request and adds what came of it.
func (c *tally) run(t *testing.T, g work.Generator, id int, s sample) {
	request := newGeneration(fmt.Sprint("request-", id), s.prompt, measureMaxTok, s.within)
	request.Priority = s.priority
	start, last := time.Now(), time.Time{}
	var gaps []time.Duration
	first := time.Duration(0)
	var text strings.Builder
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	outcome, err := g.Generate(ctx, request, func(p work.Piece) error {
		now := time.Now()
		if last.IsZero() {
			first = now.Sub(start)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		text.WriteString(p.Text)
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := time.Now(); err == nil && end.After(c.from) && end.Before(c.to) {
		c.tokens += outcome.Usage.CompletionTokens
	}
	if s.at < measureWarm {
		return
	}
	c.requests++
	c.asked[s.priority]++
	c.attempts += outcome.Attempts
	if first > 0 {
		c.first.RecordValue(first.Microseconds())
		if s.priority != work.PriorityBatch {
			c.foreground.RecordValue(first.Microseconds())
		}
	}
	for _, gap := range gaps {
		c.gap.RecordValue(gap.Microseconds())
	}
	switch {
	case err != nil && outcome.Attempts == 0:
		c.refused++
	case err == nil && text.String() != right(request):
		c.wrong++
	case err == nil:
		c.onTime++
		c.served[s.priority]++
	}
}

// TestMeasureRouting prints the figures of docs/measurements/delivery.md. It
// runs with DAISYSLIP_MEASURE=1.
func TestMeasureRouting(t *testing.T) {
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return
	}
	fmt.Printf("seed %d; capacity 1.0 is %.1f requests/s\n", measureSeed, capacity())
	fmt.Println("| condition | load | strategy | first p50 | p95 | p99 ms | p95 ms but batch | gap p50 | p95 | p99 ms | on time | batch | normal | urgent | refused | hits | attempts | goodput tok/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range conditions {
		for _, part := range []float64{0.5, 0.8, 1.0, 1.2, 2.0} {
			for _, s := range strategies() {
				if c.nodes > 1 && (s.name == "random" || s.name == "round robin") {
					continue
				}
				measureCase(t, c, part, s)
			}
		}
	}
}

// measureCase runs one case and prints its line.
func measureCase(t *testing.T, c condition, part float64, s strategy) {
	engines := fastEngines(measureEngines)
	for i := range engines {
		engines[i].TokenTime, engines[i].PrefillTime = measureToken, measurePrefill
		engines[i].Slots, engines[i].CacheBlocks = measureSlots, measureCache
	}
	t.Run(fmt.Sprintf("%s/%.1f/%s", c.name, part, s.name), func(t *testing.T) {
		b := newBench(t, 0, engines...)
		b.setFaults(measureEngines, c.events)
		b.setFaults(c.slow, standin.EngineFaults{SlowFactor: measureSlowBy})
		nodes := make([]*node, max(c.nodes, 1))
		for i := range nodes {
			o := s.options()
			o.routers = len(nodes)
			nodes[i] = b.node(o)
		}
		var group sync.WaitGroup
		start := time.Now()
		result := newTally(start.Add(measureWarm))
		for i, sample := range load(measureSeed, part*capacity()) {
			time.Sleep(time.Until(start.Add(sample.at)))
			group.Go(func() { result.run(t, nodes[i%len(nodes)].dispatch, i, sample) })
		}
		group.Wait()
		result.print(b, c.name, part, s.name)
	})
}

func (c *tally) print(b *bench, condition string, part float64, strategy string) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	cached, prompt := 0, 0
	for _, e := range b.engines {
		for _, r := range e.Records() {
			if r.StartedAt.After(c.from) {
				cached += r.CachedTokens
				prompt += r.PromptTokens
			}
		}
	}
	fmt.Printf("| %s | %.1f | %s | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.3f | %.2f | %.2f | %.2f | %.3f | %.2f | %.3f | %.0f |\n",
		condition, part, strategy, ms(c.first, 50), ms(c.first, 95), ms(c.first, 99), ms(c.foreground, 95), ms(c.gap, 50), ms(c.gap, 95), ms(c.gap, 99),
		share(c.onTime, c.requests), share(c.served[0], c.asked[0]), share(c.served[1], c.asked[1]), share(c.served[2], c.asked[2]),
		share(c.refused, c.requests), share(cached, prompt), share(c.attempts, c.requests), float64(c.tokens)/measureTime.Seconds())
	if c.wrong > 0 {
		b.t.Errorf("%d answers were wrong", c.wrong)
	}
}
