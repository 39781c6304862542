package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
)

// Request is what the balancer needs to know of a request.
type Request struct {
	// Affinity is the hash of the shared prompt, or 0 without one.
	Affinity uint64
	// PromptTokens, SharedTokens and MaxOutputTokens are 0 if unknown.
	PromptTokens, SharedTokens, MaxOutputTokens int64
	// Streaming is set if the response is a stream of events.
	Streaming bool
	// OutputTokensHint is an estimate of the length of the response, or 0.
	OutputTokensHint int64
}

// RequestOf returns the Request of a generation, which may be nil.
func RequestOf(g *exchange.Generation) Request {
	if g == nil {
		return Request{}
	}
	r := Request{Affinity: Affinity(g), PromptTokens: g.PromptTokens, MaxOutputTokens: g.MaxOutputTokens, OutputTokensHint: g.OutputTokensHint}
	for _, s := range g.SharedSegments() {
		r.SharedTokens += s.Tokens
	}
	r.SharedTokens = min(r.SharedTokens, r.PromptTokens)
	return r
}

// size returns the size of a request. Without a hint it takes the mean output of the pool.
func (r Request) size(pool PoolMeans) Size {
	s := Size{PromptTokens: float64(r.PromptTokens), SharedTokens: float64(r.SharedTokens), OutputTokens: pool.OutputTokens}
	if r.OutputTokensHint > 0 {
		s.OutputTokens = float64(r.OutputTokensHint)
	}
	if r.MaxOutputTokens > 0 {
		s.OutputTokens = min(s.OutputTokens, float64(r.MaxOutputTokens))
	}
	return s
}

// Task is one attempt in flight, as the balancer counts it. It is used with the balancer's
// lock held.
type Task struct {
	endpoint endpoints.Endpoint
	state    *endpointState
	pool     *poolState
	// unread and toCome are the prompt and output tokens that count in the endpoint's Work.
	unread, toCome float64
	// tokens were received in all, and firstTokens of them at firstAt.
	tokens, firstTokens        int64
	startedAt, firstAt, lastAt time.Time
	// expectedFirst and expectedStep are in ms, without the learnt speed.
	expectedFirst, expectedStep, expectedWhole float64
	streaming                                  bool
}

const (
	// activeShare is the share of reports with slowness from which a pool is placed by
	// expected completion; a pool whose endpoints all report it has 1.
	activeShare = 0.5
	// randomCandidates is the number of random candidates besides the homes. Two choices
	// suffice against concentration, and more would concentrate requests on the endpoints
	// whose outdated reports look best.
	randomCandidates = 2
	// randomTries bounds the draws for them. If fewer are found, most endpoints are
	// ejected or were tried, and all endpoints are examined.
	randomTries = 16
)

// completionCandidate is a candidate with its place in the list.
type completionCandidate struct {
	index int
	state *endpointState
}

// beginByCompletionLocked is begin for pools placed by expected completion. It returns
// false if it found no acceptable endpoint by samples.
func (b *Balancer) beginByCompletionLocked(list []endpoints.Endpoint, r Request, excluded map[string]bool, now time.Time) (Choice, bool) {
	pool := b.poolLocked(list[0].Pool)
	means := pool.means(now)
	size := r.size(means)
	var room [maxHomes + 1 + randomCandidates]Candidate
	var places [maxHomes + 1 + randomCandidates]completionCandidate
	candidates := room[:0]
	add := func(i int, home HomeKind, cached bool) {
		s := b.stateLocked(list[i].ID, now)
		places[len(candidates)] = completionCandidate{i, s}
		c := b.candidateLocked(list[i], s, means, now)
		c.Home, c.Cached = home, cached
		candidates = append(candidates, c)
	}
	homes := 0
	var prefix *prefixState
	if r.Affinity != 0 && r.SharedTokens > 0 {
		prefix = b.prefixLocked(prefixKey{list[0].Pool, r.Affinity}, list, pool.list.update(list), now)
		for _, i := range prefix.order {
			if homes > prefix.homes {
				break // with the next home
			}
			if excluded[list[i].ID] || b.ejectedLocked(list[i].ID, now) || !b.admitsByPace(list[i].ID, r.Affinity) {
				continue
			}
			kind, cached := FirstHomes, true
			if homes == prefix.homes {
				kind, cached = NextHome, prefix.nextID == list[i].ID && now.Sub(prefix.nextUsedAt) < cachedFor
			}
			add(int(i), kind, cached)
			homes++
		}
		if len(excluded) == 0 {
			b.adjustHomesLocked(list[0].Pool, r.Affinity, prefix, candidates, means, now)
		}
	}
	for tries := 0; tries < randomTries && len(candidates) < homes+randomCandidates; tries++ {
		i := rand.IntN(len(list))
		if excluded[list[i].ID] || b.ejectedLocked(list[i].ID, now) || contains(places[:len(candidates)], i) || !b.admitsByPace(list[i].ID, 0) {
			continue
		}
		add(i, NoHome, false)
	}
	chosen, estimate := ChooseByCompletion(candidates, size, means)
	if chosen < 0 {
		return Choice{}, false
	}
	c, s := candidates[chosen], places[chosen].state
	if c.Home == NextHome {
		prefix.nextID, prefix.nextUsedAt = c.ID, now
	}
	unread := size.PromptTokens
	if c.Cached {
		unread -= size.SharedTokens
	}
	pool.promptTokens.add(now, unread, 1, poolHalfLife)
	task := &Task{
		endpoint: list[places[chosen].index], state: s, pool: pool, unread: unread, toCome: size.OutputTokens,
		startedAt: now, expectedFirst: estimate.First() / c.Speed, expectedStep: estimate.Step / c.Speed, expectedWhole: estimate.Completion() / c.Speed,
		streaming: r.Streaming,
	}
	if r.Streaming {
		s.silent = append(s.silent, task)
	} else {
		task.unread = 0 // nothing shows when the prompt has been read
	}
	s.unread += task.unread
	s.toCome += task.toCome
	running, waiting := expectedLoad(c, means)
	choice := Choice{
		Endpoint: task.endpoint, Load: running + waiting, Candidates: len(candidates), Task: task,
		ByCompletion: true, Expected: estimate, Home: c.Home, Slowness: expectedSlowness(c) * usualSlowness,
		UnreadTokens: int64(unread), OutputTokens: int64(size.OutputTokens),
	}
	if prefix != nil {
		choice.Homes = prefix.homes
	}
	b.stats.choices[c.Home].Inc()
	return choice, true
}

// contains reports whether an index of the list is among the places.
func contains(places []completionCandidate, index int) bool {
	for _, p := range places {
		if p.index == index {
			return true
		}
	}
	return false
}

// ejectedLocked reports whether an endpoint gets no requests while there are others.
func (b *Balancer) ejectedLocked(id string, now time.Time) bool {
	s := b.states[id]
	return s != nil && (now.Before(s.ejectedUntil) || s.consecutiveEjections > 0 && s.probing)
}

// capacityLocked returns the number of requests that an endpoint may execute at once, or 0
// if it is unknown. It is the one place where the capacity of a candidate is computed.
func (b *Balancer) capacityLocked(e endpoints.Endpoint, s *endpointState) float64 {
	slots := e.Slots
	if s.slots > 0 && s.slowness > 0 {
		slots = s.slots
	}
	if b.pace != nil {
		return float64(slots) * b.pace.Factor(e.ID)
	}
	return float64(slots)
}

// candidateLocked returns the candidate of an endpoint that is no home.
func (b *Balancer) candidateLocked(e endpoints.Endpoint, s *endpointState, means PoolMeans, now time.Time) Candidate {
	c := Candidate{
		ID: e.ID, Capacity: b.capacityLocked(e, s), Local: e.Domain == b.failureDomain,
		Own:              Work{Requests: s.inFlight, PromptTokens: s.unread, OutputTokens: s.toCome},
		UsualUtilisation: s.usualUtilisation.mean(now, utilisationHalfLife, means.Utilisation, 1),
		UsualSlowness:    s.usualSlowness.mean(now, endpointHalfLife, means.Slowness, priorSamples), Speed: s.speed.factor(now),
	}
	if len(s.silent) > 0 {
		c.Own.Silent = now.Sub(s.silent[0].startedAt)
	}
	if age := now.Sub(s.reportedAt); !s.reportedAt.IsZero() && age <= b.settings.ReportMaxAge {
		c.Report = LoadReport{Known: true, Age: age, Running: s.running, Waiting: s.waiting, Started: s.startedSinceReport, Ended: s.endedSinceReport, Slowness: s.slowness}
	}
	return c
}

// adjustHomesLocked changes the number of homes of a prefix by the work at them. The
// candidates are the homes and the next one.
func (b *Balancer) adjustHomesLocked(pool string, affinity uint64, p *prefixState, candidates []Candidate, means PoolMeans, now time.Time) {
	homes := min(p.homes, len(candidates))
	next := NextHomes(candidates[:homes], now.Sub(p.changedAt), means)
	if next == p.homes || homes < p.homes {
		return
	}
	b.log.Info("homes of a prefix changed", "pool", pool, "prefix", fmt.Sprintf("%016x", affinity), "homes", next, "before", p.homes, "first", candidates[0].ID)
	if next > p.homes {
		b.stats.spread.Inc()
	} else {
		b.stats.returned.Inc()
	}
	p.homes, p.changedAt = next, now
}

// poolLocked returns the state of a pool.
func (b *Balancer) poolLocked(name string) *poolState {
	p := b.pools[name]
	if p == nil {
		p = &poolState{}
		b.pools[name] = p
	}
	return p
}

// learnReportLocked takes in a report for the state of the endpoint's pool, and decides
// whether the pool is placed by expected completion.
func (b *Balancer) learnReportLocked(s *endpointState, load exchange.Load, now time.Time) {
	if s.pool == "" {
		return
	}
	p := b.poolLocked(s.pool)
	share := 0.0
	if load.Slowness > 0 {
		share = 1
		p.slowness.add(now, load.Slowness, 1, poolHalfLife)
		s.usualSlowness.add(now, load.Slowness, 1, endpointHalfLife)
		if load.Slots > 0 {
			utilisation := float64(load.Running+load.Waiting) / float64(load.Slots)
			p.utilisation.add(now, utilisation, 1, poolHalfLife)
			s.usualUtilisation.add(now, utilisation, 1, utilisationHalfLife)
		}
	}
	p.withSlowness.add(now, share, 1, poolHalfLife)
	active := b.settings.ExpectedCompletion && p.withSlowness.mean(now, poolHalfLife, 0, 0) > activeShare
	if active != p.active {
		p.active = active
		b.log.Info("placement by expected completion changed", "pool", s.pool, "active", active)
	}
}

// Progress records that output tokens of an attempt were received. It does nothing for
// attempts that were not placed by expected completion.
func (b *Balancer) Progress(t *Task, tokens int64) {
	if t == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	t.tokens += tokens
	t.lastAt = now
	came := min(float64(tokens), t.toCome)
	t.toCome -= came
	t.state.toCome -= came
	if !t.firstAt.IsZero() {
		return
	}
	t.firstAt, t.firstTokens = now, t.tokens
	t.state.dropSilent(t)
	t.state.unread -= t.unread
	t.unread = 0
	t.state.speed.learn(now, milliseconds(now.Sub(t.startedAt)), t.expectedFirst, queueWeight, &t.pool.firstRatio)
	// The head of this response has brought a report.
	means := t.pool.means(now)
	c := b.candidateLocked(t.endpoint, t.state, means, now)
	t.expectedStep = EstimateAt(c, Size{}, means).Step / c.Speed
}

// minStepTokens is the number of tokens after the first event from which the time between
// tokens is a sample of the speed. Fewer can arrive in one read.
const minStepTokens = 8

// dropSilent removes an attempt from those without an output token.
func (s *endpointState) dropSilent(t *Task) {
	if i := slices.Index(s.silent, t); i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}

// endLocked ends a task and learns from it. Complete is set if the response was complete.
func (t *Task) endLocked(now time.Time, complete bool) {
	if t == nil {
		return
	}
	t.state.dropSilent(t)
	t.state.unread = max(t.state.unread-t.unread, 0)
	t.state.toCome = max(t.state.toCome-t.toCome, 0)
	if complete && t.tokens > 0 {
		t.pool.outputTokens.add(now, float64(t.tokens), 1, poolHalfLife)
	}
	if complete && !t.streaming {
		t.state.speed.learn(now, milliseconds(now.Sub(t.startedAt)), t.expectedWhole, queueWeight, &t.pool.wholeRatio)
	}
	if n := t.tokens - t.firstTokens; n >= minStepTokens {
		t.state.speed.learn(now, milliseconds(t.lastAt.Sub(t.firstAt))/float64(n), t.expectedStep, 1, &t.pool.stepRatio)
	}
}

// milliseconds returns d in ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
