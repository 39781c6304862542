// Package endpoints keeps which endpoints may get work. It follows a list that
// lags, that loses entries while the store is away, and in which an endpoint may
// start anew under the id that it had.
package endpoints

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Endpoint is one entry of the list.
type Endpoint struct {
	// ID names the instance.
	ID   string
	Pool string
	// Addr is host:port.
	Addr string
	// Domain is the failure domain.
	Domain string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// StartedMs is the Unix millisecond of its start; 0 if unsaid.
	StartedMs int64
	// Sequence counts the entries that this start of the endpoint wrote.
	Sequence int64
}

// RegainGrace is how long after the return of the store an entry that is
// missing may still come back: the platform's bound of 2 s.
const RecoveryGrace = 2 * time.Second

// entry is what is known of an id.
type entry struct {
	endpoint Endpoint
	// missing is set once the entry is gone from the list; until then or
	// missingUntil the endpoint may get work.
	missing      bool
	missingUntil time.Time
	// written is when its sequence was last seen to advance.
	written time.Time
}

func (e *entry) usable(now time.Time) bool {
	return !e.endpoint.Leaving && (!e.missing || now.Before(e.missingUntil))
}

// staleAfter is the number of heartbeats without a new entry after which an
// endpoint is passed over for others: one may be late, two are a sign.
const staleAfter = 2.2

// Registry holds the endpoints. It is safe for concurrent use.
type Registry struct {
	clock     clock.Clock
	log       *slog.Logger
	heartbeat time.Duration
	known     atomic.Bool

	mu      sync.Mutex // guards all below
	entries map[string]*entry
	// lost is set while the list cannot be read; regained is when it last
	// could be again.
	lost     bool
	regained time.Time
}

// NewRegistry returns an empty registry of endpoints that write their entries
// every heartbeat.
func NewRegistry(heartbeat time.Duration, c clock.Clock, log *slog.Logger) *Registry {
	return &Registry{clock: c, log: log, heartbeat: heartbeat, entries: make(map[string]*entry)}
}

// Known reports whether a whole list was taken over.
func (r *Registry) Synced() bool { return r.known.Load() }

// Usable returns the endpoints of a pool that may get work now, by id. Those
// whose entries are stale are passed over, unless that would leave less than
// half: then it is the writing of entries that fails.
func (r *Registry) Usable(pool string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var all, fresh []Endpoint
	for _, e := range r.entries {
		if e.endpoint.Pool != pool || !e.usable(now) {
			continue
		}
		all = append(all, e.endpoint)
		if !r.staleLocked(e, now) {
			fresh = append(fresh, e.endpoint)
		}
	}
	list := all
	if 2*len(fresh) >= len(all) {
		list = fresh
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// staleLocked reports whether an endpoint has not written for some heartbeats
// in which the list could be read.
func (r *Registry) staleLocked(e *entry, now time.Time) bool {
	since := e.written
	if r.regained.After(since) {
		since = r.regained
	}
	return !r.lost && now.Sub(since) > time.Duration(staleAfter*float64(r.heartbeat))
}

// MayGet reports whether the endpoint may still get work; it is asked right
// before a request is sent.
func (r *Registry) AcceptsRequests(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	return e != nil && e.usable(r.clock.Now())
}

// Lost notes that the list cannot be read.
func (r *Registry) MarkListUnreadable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
}

// Read notes that the list was read.
func (r *Registry) Read() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		r.lost, r.regained = false, r.clock.Now()
	}
}

// Set takes an entry over.
func (r *Registry) Set(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.entries[e.ID]
	if old == nil {
		r.entries[e.ID] = &entry{endpoint: e, written: r.clock.Now()}
		r.log.Info("endpoint known", "endpoint", e.ID, "pool", e.Pool, "addr", e.Addr, "domain", e.Domain, "leaving", e.Leaving)
		return
	}
	if old.outdates(e) {
		r.log.Warn("late entry ignored", "endpoint", e.ID, "started_ms", e.StartedMs, "known_ms", old.endpoint.StartedMs,
			"sequence", e.Sequence, "known_sequence", old.endpoint.Sequence, "missing", old.missing)
		return
	}
	if e.StartedMs == old.endpoint.StartedMs && old.endpoint.Leaving {
		e.Leaving = true // a leaving endpoint does not return
	}
	if e.Leaving && !old.endpoint.Leaving {
		r.log.Info("endpoint is leaving", "endpoint", e.ID, "pool", e.Pool, "sequence", e.Sequence)
	}
	if old.missing {
		r.log.Info("endpoint is back in the list", "endpoint", e.ID, "pool", e.Pool)
	}
	if e.Sequence != old.endpoint.Sequence || e.StartedMs != old.endpoint.StartedMs {
		old.written = r.clock.Now()
	}
	old.endpoint, old.missing = e, false
}

// outdates reports whether e was written before what is known: by an earlier
// start, or earlier by the same one. An endpoint that is missing is back only
// with an entry that it wrote since.
func (old *entry) outdates(e Endpoint) bool {
	if e.StartedMs != old.endpoint.StartedMs {
		return e.StartedMs != 0 && e.StartedMs < old.endpoint.StartedMs
	}
	if e.StartedMs == 0 && e.Sequence < old.endpoint.Sequence {
		return false // a new start that does not tell its time
	}
	return e.Sequence < old.endpoint.Sequence || old.missing && e.Sequence == old.endpoint.Sequence
}

// Drop notes that the list no longer has an endpoint. While the store is away,
// and shortly after, entries vanish of endpoints that live.
func (r *Registry) Remove(id, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropLocked(id, reason)
}

func (r *Registry) dropLocked(id, reason string) {
	e := r.entries[id]
	if e == nil || e.missing {
		return
	}
	now := r.clock.Now()
	e.missing, e.missingUntil = true, now
	if grace := r.regained.Add(RecoveryGrace); !r.regained.IsZero() && grace.After(now) {
		e.missingUntil = grace
	}
	r.log.Info("endpoint is gone from the list", "endpoint", id, "pool", e.endpoint.Pool, "reason", reason,
		"usable_ms", e.missingUntil.Sub(now).Milliseconds())
}

// Replace takes over a whole list: endpoints that are not in it are dropped.
func (r *Registry) Replace(list []Endpoint) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		r.Set(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.entries {
		if !present[id] {
			r.dropLocked(id, "not in the list")
		}
	}
	r.known.Store(true)
}

// forgetAfter is how long an endpoint that is gone is remembered, so that a
// late entry of it does not count as new.
const forgetAfter = 5 * time.Minute

// Forget drops the memory of endpoints that are gone for long.
func (r *Registry) Prune() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for id, e := range r.entries {
		if e.missing && now.Sub(e.missingUntil) > forgetAfter {
			delete(r.entries, id)
		}
	}
}
