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

	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/dispatch"
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Parameters of the engines and of the load in TestMeasureRouting.
const (
	measureEngines           = 10
	measureSlots             = 8                      // per engine
	measureTokenTime         = 8 * time.Millisecond   // doubles when all slots are in use
	measurePrefillTime       = 500 * time.Microsecond // per prompt token
	measureCacheBlocks       = 600                    // blocks of 16 tokens, per engine
	measureManuals           = 100                    // prompt prefixes that requests share
	manualWords              = 480                    // words of a shared prefix
	questionWords            = 80                     // words after the prefix
	measureMaxTokens         = 60
	measureWarmUp            = 2 * time.Second // before the measured part of a run
	measureDuration          = 4 * time.Second
	measureSeed              = 20
	measureSlowFactor        = 10
	measureDroppedEventShare = 0.5
	measureEventDelay        = 2 * time.Second
)

// requestCapacity returns the rate, in requests per second, at which all slots are
// busy when every manual is cached.
func requestCapacity() float64 {
	// On average, a stand-in engine generates 0.76 of the maximum of 60 tokens.
	prefillSeconds := questionWords * measurePrefillTime.Seconds()
	generateSeconds := 0.76 * measureMaxTokens * 2 * measureTokenTime.Seconds()
	return measureEngines * measureSlots / (prefillSeconds + generateSeconds)
}

// randomChooser is a baseline that chooses an endpoint at random.
type randomChooser struct{}

// Choose implements balancer.Chooser.
func (randomChooser) Choose(_ []uint64, c []balancer.Candidate) int { return rand.IntN(len(c)) }

// roundRobinChooser is a baseline that chooses the endpoints in turn.
type roundRobinChooser struct{ next *int }

// Choose implements balancer.Chooser. It runs under the balancer's lock, which guards next.
func (r roundRobinChooser) Choose(_ []uint64, c []balancer.Candidate) int {
	*r.next++
	return *r.next % len(c)
}

// leastInFlightChooser is a baseline that chooses the endpoint with the fewest
// requests in flight. It starts the search at a random endpoint, to which ties go.
type leastInFlightChooser struct{}

// Choose implements balancer.Chooser.
func (leastInFlightChooser) Choose(_ []uint64, c []balancer.Candidate) int {
	best := rand.IntN(len(c))
	for i := range c {
		if c[i].InFlight < c[best].InFlight {
			best = i
		}
	}
	return best
}

// strategy is a way to choose endpoints; a nil chooser is the router's own.
type strategy struct {
	name    string
	chooser balancer.Chooser
}

// strategies returns the router's own strategy and the baselines.
func strategies() []strategy {
	return []strategy{
		{"ours", nil}, {"random", randomChooser{}}, {"round robin", roundRobinChooser{new(int)}}, {"least in flight", leastInFlightChooser{}},
	}
}

// options returns the default settings; a baseline neither ejects endpoints nor queues
// requests.
func (s strategy) options() options {
	o := shortTimeoutOptions()
	o.balancer, o.dispatch = balancer.DefaultSettings(), dispatch.DefaultSettings()
	o.chooser = s.chooser
	if s.chooser != nil {
		o.balancer.SlowFactor, o.balancer.EjectFailures = math.MaxFloat64, math.MaxInt
		o.unboundedQueues = true
	}
	return o
}

// condition is the health of the engines and the number of routers in a case.
type condition struct {
	name             string
	slowEngines      int // engines slowed down by measureSlowFactor
	routers          int // routers that share the engines; 0 means one
	cacheEventFaults standin.EngineFaults
}

var conditions = []condition{
	{name: "health"},
	{name: "two of ten slow", slowEngines: 2},
	{name: "three routers", routers: 3},
	{name: "cache events lost and late", cacheEventFaults: standin.EngineFaults{EventLossShare: measureDroppedEventShare, EventDelay: measureEventDelay}},
}

// arrival is one request of the load.
type arrival struct {
	offset   time.Duration // since the start of the run
	prompt   string
	priority requests.Priority
	timeout  time.Duration
}

// poissonArrivals returns Poisson arrivals at a rate in requests per second. Each
// prompt starts with a manual; the manuals' popularity has a Zipf distribution.
func poissonArrivals(seed uint64, rate float64) []arrival {
	r := rand.New(rand.NewPCG(seed, seed))
	manuals := make([]string, measureManuals)
	for i := range manuals {
		manuals[i] = randomWords(r, manualWords)
	}
	ranks := rand.NewZipf(r, 1.2, 4, measureManuals-1)
	var arrivals []arrival
	for offset := time.Duration(0); offset < measureWarmUp+measureDuration; {
		offset += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		a := arrival{offset: offset, prompt: manuals[ranks.Uint64()] + randomWords(r, questionWords), priority: requests.PriorityNormal, timeout: 3 * time.Second}
		switch p := r.Float64(); {
		case p < 0.3:
			a.priority, a.timeout = requests.PriorityBatch, 6*time.Second
		case p < 0.4:
			a.priority, a.timeout = requests.PriorityUrgent, 3*time.Second
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// randomWords returns words of three letters. With its space, a word has four bytes,
// so that a block of 64 bytes holds 16 tokens.
func randomWords(r *rand.Rand, count int) string {
	var text strings.Builder
	for range count {
		for range 3 {
			text.WriteByte('a' + byte(r.IntN(26)))
		}
		text.WriteByte(' ')
	}
	return text.String()
}

// caseResult collects the results of one case. Except for completedTokens, it counts
// only the requests that arrive after the warm-up.
type caseResult struct {
	mu                          sync.Mutex              // guards the fields below
	firstToken                  *hdrhistogram.Histogram // time to the first token, in µs
	foregroundFirstToken        *hdrhistogram.Histogram // firstToken without batch requests
	gap                         *hdrhistogram.Histogram // time between two pieces, in µs
	requests                    int
	attempts                    int
	refused                     int       // failed without an attempt
	onTime                      int       // complete before the deadline
	completedTokens             int64     // of responses that completed in the measured part
	mismatches                  int       // complete responses with the wrong text
	measuredFrom, measuredUntil time.Time // the measured part of the run
	requestsByPriority          [3]int
	onTimeByPriority            [3]int
}

// newCaseResult returns an empty result whose measured part starts at measuredFrom.
func newCaseResult(measuredFrom time.Time) *caseResult {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &caseResult{measuredFrom: measuredFrom, measuredUntil: measuredFrom.Add(measureDuration), firstToken: newHistogram(), foregroundFirstToken: newHistogram(), gap: newHistogram()}
}

// runRequest runs one request and adds its result.
func (c *caseResult) runRequest(t *testing.T, g requests.Generator, index int, a arrival) {
	request := newGeneration(fmt.Sprint("request-", index), a.prompt, measureMaxTokens, a.timeout)
	request.Priority = a.priority
	start, lastPieceAt := time.Now(), time.Time{}
	var gaps []time.Duration
	firstTokenDelay := time.Duration(0)
	var text strings.Builder
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	outcome, err := g.Generate(ctx, request, func(p requests.Piece) error {
		now := time.Now()
		if lastPieceAt.IsZero() {
			firstTokenDelay = now.Sub(start)
		} else {
			gaps = append(gaps, now.Sub(lastPieceAt))
		}
		lastPieceAt = now
		text.WriteString(p.Text)
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := time.Now(); err == nil && end.After(c.measuredFrom) && end.Before(c.measuredUntil) {
		c.completedTokens += outcome.Usage.CompletionTokens
	}
	if a.offset < measureWarmUp {
		return
	}
	c.requests++
	c.requestsByPriority[a.priority]++
	c.attempts += outcome.Attempts
	if firstTokenDelay > 0 {
		c.firstToken.RecordValue(firstTokenDelay.Microseconds())
		if a.priority != requests.PriorityBatch {
			c.foregroundFirstToken.RecordValue(firstTokenDelay.Microseconds())
		}
	}
	for _, gap := range gaps {
		c.gap.RecordValue(gap.Microseconds())
	}
	switch {
	case err != nil && outcome.Attempts == 0:
		c.refused++
	case err == nil && text.String() != expectedText(request):
		c.mismatches++
	case err == nil:
		c.onTime++
		c.onTimeByPriority[a.priority]++
	}
}

// TestMeasureRouting prints the figures of docs/measurements/delivery.md. It runs
// only if the environment variable DAISYSLIP_MEASURE is set.
func TestMeasureRouting(t *testing.T) {
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return
	}
	fmt.Printf("seed %d; capacity 1.0 is %.1f requests/s\n", measureSeed, requestCapacity())
	fmt.Println("| condition | load | strategy | first p50 | p95 | p99 ms | p95 ms but batch | gap p50 | p95 | p99 ms | on time | batch | normal | urgent | refused | hits | attempts | goodput tok/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range conditions {
		for _, loadFactor := range []float64{0.5, 0.8, 1.0, 1.2, 2.0} {
			for _, s := range strategies() {
				if c.routers > 1 && (s.name == "random" || s.name == "round robin") {
					continue
				}
				measureCase(t, c, loadFactor, s)
			}
		}
	}
}

// measureCase runs one case at loadFactor times the capacity and prints its table row.
func measureCase(t *testing.T, c condition, loadFactor float64, s strategy) {
	engines := fastEngines(measureEngines)
	for i := range engines {
		engines[i].TokenTime, engines[i].PrefillTime = measureTokenTime, measurePrefillTime
		engines[i].Slots, engines[i].CacheBlocks = measureSlots, measureCacheBlocks
	}
	t.Run(fmt.Sprintf("%s/%.1f/%s", c.name, loadFactor, s.name), func(t *testing.T) {
		b := newTestbed(t, 0, engines...)
		b.setEngineFaults(measureEngines, c.cacheEventFaults)
		b.setEngineFaults(c.slowEngines, standin.EngineFaults{SlowFactor: measureSlowFactor})
		routers := make([]*testRouter, max(c.routers, 1))
		for i := range routers {
			o := s.options()
			o.routerCount = len(routers)
			routers[i] = b.startRouter(o)
		}
		var group sync.WaitGroup
		start := time.Now()
		result := newCaseResult(start.Add(measureWarmUp))
		for i, a := range poissonArrivals(measureSeed, loadFactor*requestCapacity()) {
			time.Sleep(time.Until(start.Add(a.offset)))
			group.Go(func() { result.runRequest(t, routers[i%len(routers)].dispatcher, i, a) })
		}
		group.Wait()
		result.print(b, c.name, loadFactor, s.name)
	})
}

// print prints the case's row of the table and fails the test if a response had the
// wrong text.
func (c *caseResult) print(b *testbed, condition string, loadFactor float64, strategy string) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	cached, prompt := 0, 0
	for _, e := range b.engines {
		for _, r := range e.Records() {
			if r.StartedAt.After(c.measuredFrom) {
				cached += r.CachedTokens
				prompt += r.PromptTokens
			}
		}
	}
	fmt.Printf("| %s | %.1f | %s | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.3f | %.2f | %.2f | %.2f | %.3f | %.2f | %.3f | %.0f |\n",
		condition, loadFactor, strategy, ms(c.firstToken, 50), ms(c.firstToken, 95), ms(c.firstToken, 99), ms(c.foregroundFirstToken, 95), ms(c.gap, 50), ms(c.gap, 95), ms(c.gap, 99),
		share(c.onTime, c.requests), share(c.onTimeByPriority[0], c.requestsByPriority[0]), share(c.onTimeByPriority[1], c.requestsByPriority[1]), share(c.onTimeByPriority[2], c.requestsByPriority[2]),
		share(c.refused, c.requests), share(cached, prompt), share(c.attempts, c.requests), float64(c.completedTokens)/measureDuration.Seconds())
	if c.mismatches > 0 {
		b.t.Errorf("%d complete responses had the wrong text", c.mismatches)
	}
}
