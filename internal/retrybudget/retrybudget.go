// Package retrybudget bounds the retries that a pool gets from all routers
// together, without communication between routers. Each router keeps its retries
// within a ratio of its own requests plus an equal share of a fixed allowance. The
// retries of the fleet in any window are the sum of those of its routers, so the sum
// stays within the bound, too.
//
// A router that starts again does not know how many retries its predecessor has made. It
// therefore gets no share of the allowance until those have left the window.
package retrybudget

import (
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Settings are the bound on the retries of the fleet.
type Settings struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of retries that the whole fleet may make in a
	// window in addition to the ratio.
	Allowance float64
	// Window is the length of the sliding window in which requests and retries are
	// counted.
	Window time.Duration
	// FirstStart is set if no router of the fleet ran before, so that there can be no
	// retries of a predecessor. It is only used by New.
	FirstStart bool
}

// safetyFactor is the share of the bound that routers use. The rest covers requests
// that the endpoints count in another window than the router.
const safetyFactor = 0.8

// windowParts is the number of parts into which a window is divided. Counts are kept
// for one part more, since the newest part is incomplete.
const windowParts = 20

// Budget counts the requests and retries of each pool. It is safe for concurrent
// use.
type Budget struct {
	clock clock.Clock
	start time.Time // has a monotonic clock reading, so part numbers do not jump with the wall clock
	// firstStart is Settings.FirstStart at the start.
	firstStart bool
	// routers returns the number of routers that share the allowance.
	routers func() int

	mu       sync.Mutex // guards all below
	settings Settings
	pools    map[string]*window
}

// window holds the counts of one pool for each part of a window, oldest first.
type window struct {
	newestPart int64 // number of the newest part, counted from the start of the Budget
	requests   [windowParts + 1]float64
	retries    [windowParts + 1]float64
}

// New returns a budget. The function routers returns how many routers share the
// allowance. It is called with the lock of the budget held, so it must not call the
// budget.
func New(c clock.Clock, s Settings, routers func() int) *Budget {
	return &Budget{clock: c, start: c.Now(), firstStart: s.FirstStart, routers: routers, settings: s, pools: make(map[string]*window)}
}

// SetSettings replaces the bound. Counts are kept.
func (b *Budget) SetSettings(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// windowLocked returns the window of a pool, creating it if needed, and advances it
// to the current time.
func (b *Budget) windowLocked(pool string) *window {
	w := b.pools[pool]
	if w == nil {
		w = &window{}
		b.pools[pool] = w
	}
	currentPart := int64(b.clock.Now().Sub(b.start) / max(b.settings.Window/windowParts, 1))
	if currentPart-w.newestPart > windowParts {
		*w = window{newestPart: currentPart}
	}
	for w.newestPart < currentPart {
		copy(w.requests[:], w.requests[1:])
		copy(w.retries[:], w.retries[1:])
		w.requests[windowParts], w.retries[windowParts] = 0, 0
		w.newestPart++
	}
	return w
}

// RecordRequest counts a request for a pool. Retries are not counted as requests.
func (b *Budget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(pool).requests[windowParts]++
}

// AllowRetry reports whether the bound permits another retry in the pool, and
// counts the retry if so.
func (b *Budget) AllowRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(pool)
	var requests, retries float64
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := safetyFactor * (b.settings.Ratio*requests + b.allowanceLocked())
	if retries+1 > limit {
		return false
	}
	w.retries[windowParts]++
	return true
}

// allowanceLocked returns this router's share of the allowance.
func (b *Budget) allowanceLocked() float64 {
	if !b.firstStart && b.clock.Now().Sub(b.start) < b.settings.Window {
		return 0
	}
	return b.settings.Allowance / float64(max(b.routers(), 1))
}
