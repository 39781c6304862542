// Package retrybudget bounds the repeats that a pool gets from the whole fleet,
// without a call between routers: each router keeps its repeats within a ratio
// of its own requests and an equal share of the fixed allowance. Any window of
// the fleet is a sum of windows of its routers, so the sum keeps the bound.
package retrybudget

import (
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Settings are the fleet's bound.
type Settings struct {
	// Ratio is the number of repeats a request.
	Ratio float64
	// Allowance is the number of repeats of the whole fleet, a window, beside
	// the ratio.
	Allowance float64
	// Window is the length of the window.
	Window time.Duration
}

// safety is the part of the bound that is used; the rest covers requests that
// are counted in another window at the far end.
const safety = 0.8

// slots is the number of parts of a window; counts are kept for one part more.
const slots = 20

// Budget counts the requests and repeats of pools. It is safe for concurrent
// use.
type Budget struct {
	clock clock.Clock
	start time.Time // by the monotonic clock, which does not jump
	// routers returns the number of routers that share the allowance.
	routers func() int

	mu       sync.Mutex // guards all below
	settings Settings
	pools    map[string]*window
}

// window counts by parts of a window, oldest first.
type window struct {
	part     int64 // number of the newest part
	requests [slots + 1]float64
	repeats  [slots + 1]float64
}

// New returns a budget; routers tells how many routers share it.
func New(c clock.Clock, s Settings, routers func() int) *Budget {
	return &Budget{clock: c, start: c.Now(), routers: routers, settings: s, pools: make(map[string]*window)}
}

// SetSettings changes the bound.
func (b *Budget) SetSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

func (b *Budget) windowLocked(pool string) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{}
		b.pools[pool] = w
	}
	part := int64(b.clock.Now().Sub(b.start) / max(b.settings.Window/slots, 1))
	if part-w.part > slots {
		*w = window{part: part}
	}
	for w.part < part {
		copy(w.requests[:], w.requests[1:])
		copy(w.repeats[:], w.repeats[1:])
		w.requests[slots], w.repeats[slots] = 0, 0
		w.part++
	}
	return w
}

// Request counts a request for a pool.
func (b *Budget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(pool).requests[slots]++
}

// Allow counts a repeat and reports true if the bound has room for it.
func (b *Budget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(pool)
	var requests, repeats float64
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	bound := safety * (b.settings.Ratio*requests + b.settings.Allowance/float64(max(b.routers(), 1)))
	if repeats+1 > bound {
		return false
	}
	w.repeats[slots]++
	return true
}
