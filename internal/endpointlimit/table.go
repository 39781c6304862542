// Package endpointlimit keeps the requests of all routers to an endpoint within the rate
// limit that the endpoint states in its responses.
//
// Each router keeps a table of the limits that it has seen or that other routers have
// told it. For each endpoint one router of the fleet is the governor: the others ask it
// for a permit before they send a request to an endpoint with a limit. Without a permit
// the request goes elsewhere.
package endpointlimit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Start identifies one start of an endpoint.
type Start struct {
	Endpoint string `cbor:"1,keyasint"`
	// StartedMs is the time of the start in Unix milliseconds, or 0 if it is unknown.
	StartedMs int64 `cbor:"2,keyasint"`
}

// Statement is what an endpoint says of its limit.
type Statement struct {
	Start
	// PerSecond is the number of requests a second that it takes from all routers
	// together; 0 says that it has no limit any more.
	PerSecond float64 `cbor:"3,keyasint"`
}

// known is the latest statement of an endpoint.
type known struct {
	perSecond float64
	at        time.Time // of the newest response with it
	lastUsed  time.Time
}

// retention is how long the statement of an endpoint is kept to which no requests are
// sent.
const retention = time.Hour

// maxStates bounds the endpoints whose statements are kept.
const maxStates = 8192

// table holds the latest statements of endpoints.
type table struct {
	clock clock.Clock
	log   *slog.Logger

	limited atomic.Int64 // endpoints with a limit

	mu     sync.Mutex // guards states
	states map[Start]*known
}

func newTable(c clock.Clock, log *slog.Logger, set *metrics.Set) *table {
	t := &table{clock: c, log: log, states: make(map[Start]*known)}
	set.NewGauge("daisyslip_endpoints_with_limit", func() float64 { return float64(t.limited.Load()) })
	return t
}

// update applies a statement made at the given time. It reports whether the limit has
// changed. An older statement than the known one is ignored.
func (t *table) update(s Statement, at time.Time, source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.states[s.Start]
	if k == nil {
		if s.PerSecond == 0 || len(t.states) >= maxStates {
			return false
		}
		k = &known{}
		t.states[s.Start] = k
	}
	if at.Before(k.at) {
		return false
	}
	before := k.perSecond
	k.perSecond, k.at, k.lastUsed = s.PerSecond, at, t.clock.Now()
	if before == s.PerSecond {
		return false
	}
	t.countLocked(before, s.PerSecond)
	t.log.Info("rate limit of an endpoint changed", "endpoint", s.Endpoint, "per_second", s.PerSecond, "before", before, "source", source)
	return true
}

// countLocked updates the number of endpoints with a limit after one has changed.
func (t *table) countLocked(before, after float64) {
	if before > 0 {
		t.limited.Add(-1)
	}
	if after > 0 {
		t.limited.Add(1)
	}
}

// limit returns the limit of an endpoint and when it was stated, or 0.
func (t *table) limit(s Start) (perSecond float64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.states[s]
	if k == nil {
		return 0, time.Time{}
	}
	k.lastUsed = t.clock.Now()
	return k.perSecond, k.at
}

// prune forgets endpoints to which no requests are sent any more.
func (t *table) prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, k := range t.states {
		if t.clock.Now().Sub(k.lastUsed) > retention {
			t.countLocked(k.perSecond, 0)
			delete(t.states, s)
		}
	}
}
