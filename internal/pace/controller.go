package pace

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
)

const (
	// maxEndpoints bounds the endpoints whose pace is kept. Further ones have factor 1.
	// It is five times the largest known number of endpoints.
	maxEndpoints = 10_000
	// removedRetention is how long the pace of a removed endpoint is kept, since rows of
	// live endpoints vanish while the store is unavailable.
	removedRetention = 5 * time.Minute
	// meanWeight is the weight of a response in the moving average of a pool, and
	// meanSamples is the number of responses that the average needs before it is used.
	meanWeight  = 0.05
	meanSamples = 8
	// loggedFactor is the factor below which a decrease is logged, so that one slow
	// response is not.
	loggedFactor = 0.2
)

// entry is what is known of one endpoint.
type entry struct {
	pool      string
	startedMs int64
	sequence  int64
	removedAt time.Time // zero while the endpoint is listed
	state     State

	// Of the time since the factor was last 1:
	lowSince  time.Time
	lowest    float64
	decreases int
	logged    bool
}

// meanKey identifies a mean time to the first byte. The first byte of a response that is
// not streamed comes at its end, so that one mean for both would say little.
type meanKey struct {
	pool     string
	streamed bool
}

// poolMean is the moving average of the time to the first byte in one pool.
type poolMean struct {
	mean    time.Duration
	samples int
}

// Controller keeps the pace of every endpoint. It is safe for concurrent use. All
// methods do nothing on a nil Controller, whose factors are 1.
type Controller struct {
	clock clock.Clock
	log   *slog.Logger
	stats stats
	// lowCount is len(low). Factor reads it without the lock, since usually no
	// endpoint has a factor below 1.
	lowCount atomic.Int64

	mu        sync.RWMutex // guards all below
	listed    bool         // a complete list was seen
	full      bool         // maxEndpoints was reached and logged
	endpoints map[string]*entry
	low       map[string]*entry // the endpoints whose factor was below 1 at their last change
	means     map[meanKey]poolMean
	// A pool is active if it is set by SetActive or marked by MarkActive.
	set, marked map[string]bool
}

// stats are the metrics of a Controller.
type stats struct {
	starts, returns, recoveries *metrics.Counter
	decreases                   map[Cause]*metrics.Counter
}

// New returns a Controller without active pools and registers its metrics.
func New(c clock.Clock, log *slog.Logger, set *metrics.Set) *Controller {
	p := &Controller{
		clock: c, log: log, endpoints: make(map[string]*entry), low: make(map[string]*entry), means: make(map[meanKey]poolMean),
		set: make(map[string]bool), marked: make(map[string]bool),
		stats: stats{
			starts:     set.NewCounter(`daisyslip_pace_starts_total{reason="started"}`),
			returns:    set.NewCounter(`daisyslip_pace_starts_total{reason="ejected"}`),
			recoveries: set.NewCounter("daisyslip_pace_recoveries_total"),
			decreases:  make(map[Cause]*metrics.Counter),
		},
	}
	for _, cause := range []Cause{CauseFailure, CauseRefusal, CauseSlow} {
		p.stats.decreases[cause] = set.NewCounter(fmt.Sprintf("daisyslip_pace_decreases_total{cause=%q}", cause))
	}
	set.NewGauge("daisyslip_pace_low_endpoints", func() float64 { return float64(p.lowCount.Load()) })
	return p
}

// SetActive replaces the pools that are active by the configuration, which are those
// with a cold start.
func (p *Controller) SetActive(pools []string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.set)
	for _, pool := range pools {
		p.set[pool] = true
	}
	p.dropInactiveLocked()
}

// MarkActive makes a pool active because one of its endpoints reports slowness. The
// pool stays active as long as it has endpoints.
func (p *Controller) MarkActive(pool string) {
	if p == nil {
		return
	}
	p.mu.RLock()
	marked := p.marked[pool]
	p.mu.RUnlock()
	if marked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.pool == pool {
			p.marked[pool] = true
			return
		}
	}
}

// dropInactiveLocked sets the endpoints of inactive pools to factor 1.
func (p *Controller) dropInactiveLocked() {
	for id, e := range p.low {
		if !p.activeLocked(e.pool) {
			e.state = Full(p.clock.Now())
			p.removeLowLocked(id)
		}
	}
}

// activeLocked reports whether factors of a pool can differ from 1.
func (p *Controller) activeLocked(pool string) bool { return p.set[pool] || p.marked[pool] }

// Replace records a complete list of endpoints. Those in the first list begin at
// factor 1: the router has started, and not they.
func (p *Controller) Replace(list []endpoints.Endpoint) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		p.setLocked(e, now)
	}
	for id, e := range p.endpoints {
		if !present[id] && e.removedAt.IsZero() {
			e.removedAt = now
		}
	}
	p.listed = true
}

// Set records a new or changed entry of the list.
func (p *Controller) Set(e endpoints.Endpoint) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setLocked(e, p.clock.Now())
}

// setLocked is Set with the lock held.
func (p *Controller) setLocked(e endpoints.Endpoint, now time.Time) {
	known := p.endpoints[e.ID]
	if known == nil {
		if len(p.endpoints) >= maxEndpoints {
			if !p.full {
				p.full = true
				p.log.Warn("pace of further endpoints is not kept", "endpoints", len(p.endpoints), "endpoint", e.ID)
			}
			return
		}
		known = &entry{pool: e.Pool, startedMs: e.StartedMs, sequence: e.Sequence, state: Full(now)}
		p.endpoints[e.ID] = known
		if p.listed {
			p.lowerLocked(e.ID, known, now, startReason)
		}
		return
	}
	// An entry that an earlier start wrote can arrive late. An entry without a start time
	// shows a new start by its sequence, or by its removal before.
	started := e.StartedMs > known.startedMs && known.startedMs != 0
	if e.StartedMs == 0 {
		started = e.Sequence < known.sequence || !known.removedAt.IsZero()
	}
	if e.StartedMs != 0 && e.StartedMs < known.startedMs {
		return
	}
	known.pool, known.startedMs, known.sequence, known.removedAt = e.Pool, e.StartedMs, e.Sequence, time.Time{}
	if started && p.listed {
		p.lowerLocked(e.ID, known, now, startReason)
	}
}

// Remove records that an endpoint is no longer in the list.
func (p *Controller) Remove(id string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil && e.removedAt.IsZero() {
		e.removedAt = p.clock.Now()
	}
}

// Reasons for which the factor is set to MinFactor.
const (
	startReason = "started"
	ejectReason = "ejected"
)

// Started records that an endpoint in the list started or returned from an evacuation
// at the given time.
func (p *Controller) Started(id string, at time.Time) { p.lower(id, at, startReason) }

// Ejected records that this router ejects an endpoint until the given time. The factor
// grows from then on.
func (p *Controller) Ejected(id string, until time.Time) { p.lower(id, until, ejectReason) }

// lower sets the factor of an endpoint to MinFactor.
func (p *Controller) lower(id string, at time.Time, reason string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.lowerLocked(id, e, at, reason)
	}
}

// lowerLocked is lower with the lock held. In an inactive pool it does nothing.
func (p *Controller) lowerLocked(id string, e *entry, at time.Time, reason string) {
	if !p.activeLocked(e.pool) {
		return
	}
	e.state = Low(at)
	p.addLowLocked(id, e, at)
	e.lowest = MinFactor
	if reason == ejectReason {
		p.stats.returns.Inc()
	} else {
		p.stats.starts.Inc()
	}
	if !e.logged {
		e.logged = true
		p.log.Info("endpoint gets requests at a low pace", "endpoint", id, "pool", e.pool, "reason", reason, "factor", MinFactor)
	}
}

// addLowLocked adds an endpoint to those with a factor below 1.
func (p *Controller) addLowLocked(id string, e *entry, at time.Time) {
	if p.low[id] == nil {
		e.lowSince, e.lowest, e.decreases, e.logged = at, 1, 0, false
		p.low[id] = e
		p.lowCount.Store(int64(len(p.low)))
	}
}

// removeLowLocked removes an endpoint from those with a factor below 1.
func (p *Controller) removeLowLocked(id string) {
	delete(p.low, id)
	p.lowCount.Store(int64(len(p.low)))
}

// Observe records a sample of an endpoint. PoolMean and At of the sample are set by
// the Controller.
func (p *Controller) Observe(id string, sample Sample) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !p.activeLocked(e.pool) {
		return
	}
	sample.At = p.clock.Now()
	sample.PoolMean = p.meanLocked(meanKey{e.pool, sample.Streamed}, sample.FirstByte)
	decreasedAt := e.state.DecreasedAt
	e.state = Next(e.state, sample)
	if e.state.DecreasedAt.Equal(decreasedAt) {
		return
	}
	cause := sample.Contrary()
	p.stats.decreases[cause].Inc()
	p.addLowLocked(id, e, sample.At)
	e.decreases++
	e.lowest = min(e.lowest, e.state.Factor)
	if !e.logged && e.state.Factor < loggedFactor {
		e.logged = true
		p.log.Info("endpoint gets requests at a low pace", "endpoint", id, "pool", e.pool, "reason", string(cause), "factor", e.state.Factor)
	}
}

// meanLocked returns the mean time to the first byte of a pool, 0 while it is not
// known well enough, and adds a response to it. One response counts with at most
// slowRatio times the mean.
func (p *Controller) meanLocked(key meanKey, firstByte time.Duration) time.Duration {
	m := p.means[key]
	mean := m.mean
	if m.samples < meanSamples {
		mean = 0
	}
	if firstByte <= 0 {
		return mean
	}
	m.samples++
	if m.samples > 1 {
		firstByte = min(firstByte, slowRatio*m.mean)
	}
	weight := max(meanWeight, 1/float64(m.samples))
	m.mean += time.Duration(weight * float64(firstByte-m.mean))
	p.means[key] = m
	return mean
}

// AnyLow reports whether any endpoint may have a factor below 1.
func (p *Controller) AnyLow() bool { return p != nil && p.lowCount.Load() > 0 }

// Factor returns the capacity factor of an endpoint, from MinFactor to 1. It is 1 for
// unknown endpoints and in pools that are not active.
func (p *Controller) Factor(id string) float64 {
	if !p.AnyLow() {
		return 1
	}
	p.mu.RLock()
	e := p.low[id]
	if e == nil || !p.activeLocked(e.pool) {
		p.mu.RUnlock()
		return 1
	}
	state := e.state
	p.mu.RUnlock()
	return grow(state, p.clock.Now()).Factor
}

// Prune ends the low pace of endpoints whose factor has reached 1, and drops what was
// removed from the list more than removedRetention ago.
func (p *Controller) Prune() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for id, e := range p.low {
		if e.state = grow(e.state, now); e.state.Factor < 1 {
			continue
		}
		p.removeLowLocked(id)
		p.stats.recoveries.Inc()
		if e.logged {
			p.log.Info("endpoint gets its full share again", "endpoint", id, "pool", e.pool,
				"after_ms", now.Sub(e.lowSince).Milliseconds(), "lowest", e.lowest, "decreases", e.decreases)
		}
	}
	pools := make(map[string]bool)
	for id, e := range p.endpoints {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removedRetention {
			delete(p.endpoints, id)
			p.removeLowLocked(id)
			continue
		}
		pools[e.pool] = true
	}
	p.full = p.full && len(p.endpoints) >= maxEndpoints
	for key := range p.means {
		if !pools[key.pool] || !p.activeLocked(key.pool) {
			delete(p.means, key)
		}
	}
	for pool := range p.marked {
		if !pools[pool] {
			delete(p.marked, pool)
		}
	}
}
