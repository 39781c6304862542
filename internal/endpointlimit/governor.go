package endpointlimit

import (
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// burstTime is the time for which a governor saves up permits that nobody asks for.
const burstTime = 250 * time.Millisecond

// bucket holds the permits of one endpoint.
type bucket struct {
	permits  float64
	filledAt time.Time
	askedAt  time.Time
}

// governor hands out the permits of endpoints. A bucket begins empty, so that a governor
// that follows another one does not add to what that has handed out.
type governor struct {
	clock clock.Clock
	// burst is the time for which permits that nobody asks for are saved up; at least one is.
	burst time.Duration

	mu      sync.Mutex // guards buckets
	buckets map[Start]*bucket
}

func newGovernor(c clock.Clock, burst time.Duration) *governor {
	return &governor{clock: c, burst: burst, buckets: make(map[Start]*bucket)}
}

// take takes a permit for an endpoint with a limit. If there is none, it returns the time
// until there will be one.
func (g *governor) take(s Start, perSecond float64) (granted bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	b := g.buckets[s]
	if b == nil {
		b = &bucket{filledAt: now}
		g.buckets[s] = b
	}
	b.askedAt = now
	most := max(perSecond*g.burst.Seconds(), 1)
	b.permits = min(b.permits+max(now.Sub(b.filledAt).Seconds(), 0)*perSecond, most)
	b.filledAt = now
	if b.permits >= 1 {
		b.permits--
		return true, 0
	}
	return false, time.Duration((1 - b.permits) / perSecond * float64(time.Second))
}

// prune forgets the buckets of endpoints for which nobody asks any more.
func (g *governor) prune() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, b := range g.buckets {
		if g.clock.Now().Sub(b.askedAt) > retention {
			delete(g.buckets, s)
		}
	}
}
