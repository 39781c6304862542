package placement

import (
	"math"
	"time"
)

// Size is the size of a request, in tokens.
type Size struct {
	// PromptTokens is the length of the prompt, and SharedTokens that of its start
	// that other prompts can have in common.
	PromptTokens, SharedTokens float64
	// OutputTokens is the expected length of the response.
	OutputTokens float64
}

// Work is what this router has in flight at an endpoint.
type Work struct {
	Requests int
	// PromptTokens are those that the endpoint has not read yet, and OutputTokens
	// those that are expected to come.
	PromptTokens, OutputTokens float64
	// Silent is how long the oldest of the requests with streams is without an output
	// token.
	Silent time.Duration
}

// LoadReport is the load that an endpoint reported last.
type LoadReport struct {
	// Known is set if there is a report that is young enough to be used.
	Known bool
	Age   time.Duration
	// Running and Waiting are the numbers of requests of all routers.
	Running, Waiting int
	// Started and Ended are the numbers of this router's requests since the report.
	Started, Ended int
	// Slowness is in percent of usual.
	Slowness float64
}

// PoolMeans are the means over the endpoints and requests of a pool, as this router has
// learnt them.
type PoolMeans struct {
	// Utilisation is the number of requests per slot, waiting ones included.
	Utilisation float64
	// Slowness is in percent of usual.
	Slowness float64
	// PromptTokens is the number of tokens of a prompt that are not cached, and
	// OutputTokens the length of a response.
	PromptTokens, OutputTokens float64
	// FirstRatio is that of the observed to the expected time to the first token. It is
	// high while the router itself is slow.
	FirstRatio float64
}

// Properties of typical engines that the estimates use. Differences between endpoints are learnt; see speed.
const (
	// baseStepMs and runningStepMs are the time of one step, in which each running
	// request gets one token: 3.5 to 5 ms, plus 0.037 ms for each running request.
	baseStepMs    = 4.2
	runningStepMs = 0.037
	// prefillTokensPerMs is the rate at which prompts are read: 36 to 50 tokens per ms.
	prefillTokensPerMs = 43
	// prefillChunkTokens is the part of a prompt that is read between two steps. A
	// step takes about a third of the time of such a part.
	prefillChunkTokens = 512
)

// Memories of the figures of a report. A figure counts as the mean value to the extent
// that its age exceeds the time for which it holds.
const (
	// loadMemory is about the time that a request takes, after which other requests run.
	loadMemory = time.Second
	// slownessMemory is less than the 600 ms for which machines are slow at a time, as a
	// report shows a random moment of that time.
	slownessMemory = 400 * time.Millisecond
)

// slowRouterRatio is the ratio of the observed to the expected time to the first token from
// which the router itself is taken to be slow. It leaves a margin for queues that the
// estimates miss.
const slowRouterRatio = 2

const (
	// spillMargin and otherMargin are the factors by which the completion time must be
	// better at the next home, and at an endpoint that is no home of the prefix. Without
	// them, differences within the error of the estimates would scatter prefixes.
	spillMargin = 1.1
	otherMargin = 1.3
	// rereadPrice is the price of reading a shared token again, in reading times of a
	// token. It comes on top of that time itself, for the work that others lose.
	rereadPrice = 3
	// localBonusMs decides between endpoints that are otherwise equal.
	localBonusMs = 1
)

// Estimate is the expected time of a request at an endpoint, in ms, by its parts.
type Estimate struct {
	Wait    float64 // until the request has a slot
	Prefill float64 // from then until its prompt is read
	Step    float64 // between two output tokens
	Decode  float64 // from the first to the last output token
}

// Completion returns the time until the last output token, in ms.
func (e Estimate) Completion() float64 { return e.Wait + e.Prefill + e.Decode }

// First returns the time until the first output token, in ms.
func (e Estimate) First() float64 { return e.Wait + e.Prefill + e.Step }

// expectedLoad returns the numbers of requests that run and wait at a candidate. The
// report is discounted by its age towards what is usual there: about 70 routers read the
// same outdated reports, and would otherwise all prefer the same endpoint until the next
// report. The home of a prefix in demand is usually busier than the mean of the pool.
func expectedLoad(c Candidate, pool PoolMeans) (running, waiting float64) {
	usual := c.UsualUtilisation
	if usual <= 0 {
		usual = pool.Utilisation
	}
	load := usual * c.capacity()
	if c.Report.Known {
		weight := math.Exp(-float64(c.Report.Age) / float64(loadMemory))
		load = weight*float64(c.Report.Running+c.Report.Waiting) + (1-weight)*load + float64(c.Report.Started-c.Report.Ended)
	}
	load = max(load, float64(c.Own.Requests))
	running = min(load, c.capacity())
	return running, load - running
}

// expectedSlowness returns the factor of the times at a candidate from its slowness and
// its learnt speed. The reported slowness is discounted by its age towards the usual one
// of the endpoint.
func expectedSlowness(c Candidate) float64 {
	usual := c.UsualSlowness
	if usual <= 0 {
		usual = usualSlowness
	}
	slowness := usual
	if c.Report.Known && c.Report.Slowness > 0 {
		slowness += (c.Report.Slowness - usual) * math.Exp(-float64(c.Report.Age)/float64(slownessMemory))
	}
	speed := c.Speed
	if speed <= 0 {
		speed = 1
	}
	return slowness / usualSlowness * speed
}

// capacity returns the capacity, or a large one if it is unknown.
func (c Candidate) capacity() float64 {
	if c.Capacity <= 0 {
		return unknownCapacity
	}
	return max(c.Capacity, 1)
}

// unknownCapacity is that of an endpoint that does not state its slots, in requests.
const unknownCapacity = 64

// outstanding returns the output tokens that a candidate has still to produce for requests
// in flight, and the prompt tokens that it has still to read. Requests of other routers
// that run are halfway through their output.
func outstanding(c Candidate, running, waiting float64, pool PoolMeans) (output, prompt float64) {
	others := max(running+waiting-float64(c.Own.Requests), 0)
	othersWaiting := min(waiting, others)
	output = c.Own.OutputTokens + (others-othersWaiting)*pool.OutputTokens/2 + othersWaiting*pool.OutputTokens
	prompt = c.Own.PromptTokens + othersWaiting*pool.PromptTokens
	return output, prompt
}

// stepMs returns the time of one step with a number of running requests, each of which
// brings a prompt that is read between the steps.
func stepMs(running float64, pool PoolMeans) float64 {
	prefill := pool.PromptTokens / prefillTokensPerMs / max(pool.OutputTokens, 1)
	return baseStepMs + running*(runningStepMs+prefill)
}

// EstimateAt returns the expected time of a request of a size at a candidate.
func EstimateAt(c Candidate, size Size, pool PoolMeans) Estimate {
	running, waiting := expectedLoad(c, pool)
	output, prompt := outstanding(c, running, waiting, pool)
	slowness := expectedSlowness(c)
	capacity := c.capacity()
	step := stepMs(min(running+1, capacity), pool)
	var e Estimate
	if load := running + waiting; load+1 > capacity {
		// A slot is free once the requests beyond the capacity have ended.
		e.Wait = slowness * step * output / capacity * (load + 1 - capacity) / load
	}
	unread := size.PromptTokens
	if c.Cached {
		unread -= size.SharedTokens
	}
	unread = max(unread, 0)
	e.Prefill = slowness * ((prompt+unread)/prefillTokensPerMs + unread/prefillChunkTokens*step)
	// A request that is silent for longer shows a queue that no report has shown yet.
	e.Wait = max(e.Wait, silence(c, pool)-e.Prefill)
	e.Step = slowness * step
	e.Decode = e.Step * size.OutputTokens
	return e
}

// silence returns the silence of a candidate in ms, less the part for which this router is
// the cause.
func silence(c Candidate, pool PoolMeans) float64 {
	return milliseconds(c.Own.Silent) / max(pool.FirstRatio/slowRouterRatio, 1)
}

// WorkAt returns the time in which a candidate would complete all requests that it has, in
// ms. It is the measure of the work at the homes of a prefix.
func WorkAt(c Candidate, pool PoolMeans) float64 {
	running, waiting := expectedLoad(c, pool)
	output, prompt := outstanding(c, running, waiting, pool)
	return max(silence(c, pool), expectedSlowness(c)*(output*stepMs(running, pool)/c.capacity()+prompt/prefillTokensPerMs))
}

// ChooseByCompletion returns the index of the candidate at which a request has the least
// expected completion time, and the estimate there. It returns -1 without candidates.
//
// The load that it answers: many routers choose at the same time by reports that are old,
// endpoints differ in speed, and prefixes in demand concentrate requests on their homes.
// The caller passes the homes of the prefix and two random other candidates, so that
// routers that read the same reports choose differently. An endpoint that is no home is
// chosen only if it is clearly better, as it has to read the shared tokens again.
func ChooseByCompletion(candidates []Candidate, size Size, pool PoolMeans) (int, Estimate) {
	best, bestCost := -1, math.Inf(1)
	var bestEstimate Estimate
	for i, c := range candidates {
		e := EstimateAt(c, size, pool)
		cost := e.Completion()
		switch {
		case size.SharedTokens == 0 || c.Home == FirstHomes:
		case c.Home == NextHome:
			cost *= spillMargin
		default:
			cost *= otherMargin
		}
		if !c.Cached {
			cost += rereadPrice * size.SharedTokens / prefillTokensPerMs
		}
		if c.Local {
			cost -= localBonusMs
		}
		if cost < bestCost {
			best, bestCost, bestEstimate = i, cost, e
		}
	}
	return best, bestEstimate
}
