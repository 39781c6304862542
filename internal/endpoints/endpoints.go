// Package endpoints keeps track of the endpoints that may get requests. Its source
// is a list in the store that lags behind, that loses entries of live endpoints
// while the store is unavailable, and in which an endpoint may restart under the
// same id.
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

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	// ID identifies the endpoint. A restarted endpoint may keep its id.
	ID   string
	Pool string
	// Addr is the address as host:port.
	Addr string
	// Domain is the failure domain.
	Domain string
	// Slots is the number of requests that the endpoint executes at once.
	Slots int
	// Leaving is set if the endpoint takes no new requests.
	Leaving bool
	// StartedMs is the time at which the endpoint started, in Unix milliseconds; 0
	// if the entry does not state it.
	StartedMs int64
	// Sequence counts the entries that the endpoint wrote since its start.
	Sequence int64
	// ColdFor is how long the endpoint is cold from when the entry is read, as it states;
	// InvalidCold is the beginning of what it states if that is no such time, else empty.
	ColdFor     time.Duration
	InvalidCold string
}

// RecoveryGrace is how long after the store became available again, or came back from
// a copy, a removed entry may still reappear. The platform guarantees 2 s.
const RecoveryGrace = 2 * time.Second

// entry is the latest state of one endpoint id.
type entry struct {
	endpoint Endpoint
	// removed is set once the entry was removed from the list. A removed endpoint
	// may get requests until usableUntil.
	removed     bool
	usableUntil time.Time
	// sequenceAdvancedAt is when the sequence number was last observed to change.
	sequenceAdvancedAt time.Time
	cold               coldState
}

// usable reports whether the endpoint may get requests.
func (e *entry) usable(now time.Time) bool {
	return !e.endpoint.Leaving && (!e.removed || now.Before(e.usableUntil))
}

// staleHeartbeats is the number of heartbeat intervals without a new entry after
// which other endpoints are preferred. A single entry may be late; two missing
// entries in a row indicate a failure.
const staleHeartbeats = 2.2

// Registry holds the known endpoints. It is safe for concurrent use.
type Registry struct {
	clock             clock.Clock
	log               *slog.Logger
	heartbeatInterval time.Duration
	synced            atomic.Bool
	coldStart         func(pool string) time.Duration // see SetColdStart

	mu      sync.Mutex // guards all below
	entries map[string]*entry
	// snapshots has the last result of Usable by pool, and changes counts the changes of
	// the state from which it is computed.
	snapshots map[string]snapshot
	changes   uint64
	// listUnreadable is set while the list cannot be read. listReadableSince is
	// when it last became readable again or was restored; zero if neither happened.
	listUnreadable    bool
	listReadableSince time.Time
	evacuated         map[string]bool // failure domains; see SetEvacuated
	// latestStated is the latest time until which an endpoint has said that it is cold,
	// and latestObserved that of the latest other observation that it is.
	latestStated, latestObserved time.Time
}

// NewRegistry returns an empty registry. Endpoints write their entries every
// heartbeatInterval.
func NewRegistry(heartbeatInterval time.Duration, c clock.Clock, log *slog.Logger) *Registry {
	return &Registry{clock: c, log: log, heartbeatInterval: heartbeatInterval, entries: make(map[string]*entry), snapshots: make(map[string]snapshot)}
}

// Synced reports whether Replace was called at least once with a complete list.
func (r *Registry) Synced() bool { return r.synced.Load() }

// usableLocked computes the result of Usable.
func (r *Registry) usableLocked(pool string, now time.Time) []Endpoint {
	var all, upToDate []*entry // copies of endpoints would be the larger part of the work
	for _, e := range r.entries {
		if e.endpoint.Pool != pool || !e.usable(now) || r.evacuated[e.endpoint.Domain] {
			continue
		}
		all = append(all, e)
		if !r.staleLocked(e, now) {
			upToDate = append(upToDate, e)
		}
	}
	chosen := all
	if 2*len(upToDate) >= len(all) {
		chosen = upToDate
	}
	slices.SortFunc(chosen, func(a, b *entry) int { return strings.Compare(a.endpoint.ID, b.endpoint.ID) })
	usable := make([]Endpoint, len(chosen))
	for i, e := range chosen {
		usable[i] = e.endpoint
	}
	return usable
}

// staleLocked reports whether the list was readable for more than staleHeartbeats
// intervals in which the endpoint wrote no new entry.
func (r *Registry) staleLocked(e *entry, now time.Time) bool {
	return !r.listUnreadable && now.After(r.staleAfterLocked(e))
}

// staleAfterLocked returns the time after which an endpoint is stale if it writes no new
// entry and the list is readable.
func (r *Registry) staleAfterLocked(e *entry) time.Time {
	upToDateSince := e.sequenceAdvancedAt
	if r.listReadableSince.After(upToDateSince) {
		upToDateSince = r.listReadableSince
	}
	return upToDateSince.Add(time.Duration(staleHeartbeats * float64(r.heartbeatInterval)))
}

// AcceptsRequests reports whether the endpoint may still get requests. It is
// called right before a request is sent.
func (r *Registry) AcceptsRequests(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	return e != nil && e.usable(r.clock.Now()) && !r.evacuated[e.endpoint.Domain]
}

// Listed reports whether the list names the endpoint as one that is not leaving. In
// contrast to AcceptsRequests it does not depend on evacuations, which show nothing of
// the endpoint.
func (r *Registry) Listed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	return e != nil && e.usable(r.clock.Now())
}

// MarkListUnreadable records that the list cannot be read. Until the next call of
// MarkListRead, no entry counts as stale.
func (r *Registry) MarkListUnreadable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listUnreadable = true
	r.changes++
}

// MarkListRead records that the list was read, which ends the effect of
// MarkListUnreadable.
func (r *Registry) MarkListRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listUnreadable {
		r.listUnreadable, r.listReadableSince = false, r.clock.Now()
		r.changes++
	}
}

// MarkListRestored records that the list came back from a copy, in which entries of live
// endpoints can be missing or older than known.
func (r *Registry) MarkListRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listUnreadable, r.listReadableSince = false, r.clock.Now()
	r.changes++
}

// Set adds or updates an entry, unless the known entry is newer. An endpoint that
// is leaving stays so until it restarts.
func (r *Registry) Set(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[e.ID]
	r.changes++
	if known == nil {
		known = &entry{endpoint: e, sequenceAdvancedAt: r.clock.Now()}
		r.entries[e.ID] = known
		r.learnColdLocked(known, entryRead{newStart: true, newer: true}, "")
		r.log.Info("endpoint added", "endpoint", e.ID, "pool", e.Pool, "addr", e.Addr, "domain", e.Domain, "leaving", e.Leaving)
		return
	}
	if known.supersedes(e) {
		r.log.Warn("outdated endpoint entry ignored", "endpoint", e.ID, "started_ms", e.StartedMs, "known_ms", known.endpoint.StartedMs,
			"sequence", e.Sequence, "known_sequence", known.endpoint.Sequence, "missing", known.removed)
		return
	}
	if e.StartedMs == known.endpoint.StartedMs && known.endpoint.Leaving {
		e.Leaving = true // a leaving endpoint does not become available again
	}
	if e.Leaving && !known.endpoint.Leaving {
		r.log.Info("endpoint is leaving", "endpoint", e.ID, "pool", e.Pool, "sequence", e.Sequence)
	}
	if known.removed {
		r.log.Info("removed endpoint reappeared in the list", "endpoint", e.ID, "pool", e.Pool)
	}
	if e.Sequence != known.endpoint.Sequence || e.StartedMs != known.endpoint.StartedMs {
		known.sequenceAdvancedAt = r.clock.Now()
	}
	read, invalidCold := r.compareLocked(known, e), known.endpoint.InvalidCold
	known.endpoint, known.removed = e, false
	r.learnColdLocked(known, read, invalidCold)
}

// MarkLeaving records that the start of an endpoint at startedMs has said that it is
// leaving, which the list may not state yet or never. It reports whether that is new.
func (r *Registry) MarkLeaving(id string, startedMs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || e.endpoint.StartedMs != startedMs || e.endpoint.Leaving {
		return false
	}
	e.endpoint.Leaving = true
	r.changes++
	r.log.Info("endpoint is leaving, as it says in a response", "endpoint", id, "pool", e.endpoint.Pool)
	return true
}

// supersedes reports whether the known entry is newer than e: written by a later
// start of the endpoint, or later by the same start. For a removed endpoint an
// equal entry is outdated, too, since only an entry that was written after the
// removal shows that the endpoint is alive.
func (known *entry) supersedes(e Endpoint) bool {
	if e.StartedMs != known.endpoint.StartedMs {
		return e.StartedMs != 0 && e.StartedMs < known.endpoint.StartedMs
	}
	if e.StartedMs == 0 && e.Sequence < known.endpoint.Sequence {
		return false // a restart whose entry does not state its start time
	}
	return e.Sequence < known.endpoint.Sequence || known.removed && e.Sequence == known.endpoint.Sequence
}

// Remove records that an entry was removed from the list. If the list became
// readable again or was restored less than RecoveryGrace ago, the endpoint stays usable
// until that time has passed, since entries of live endpoints vanish while the store is
// unavailable, are absent from a copy of it, and reappear afterwards. Reason is only
// logged.
func (r *Registry) Remove(id, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(id, reason)
}

// removeLocked is Remove with the lock held.
func (r *Registry) removeLocked(id, reason string) {
	e := r.entries[id]
	if e == nil || e.removed {
		return
	}
	now := r.clock.Now()
	r.changes++
	e.removed, e.usableUntil = true, now
	if graceEnd := r.listReadableSince.Add(RecoveryGrace); !r.listReadableSince.IsZero() && graceEnd.After(now) {
		e.usableUntil = graceEnd
	}
	r.log.Info("endpoint removed", "endpoint", id, "pool", e.endpoint.Pool, "reason", reason,
		"usable_ms", e.usableUntil.Sub(now).Milliseconds())
}

// Replace updates the registry from a complete list: endpoints that are not in it
// are removed.
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
			r.removeLocked(id, "not in the list")
		}
	}
	r.synced.Store(true)
}

// removedRetention is how long a removed endpoint is remembered, so that a late
// entry of it is recognised as outdated.
const removedRetention = 5 * time.Minute

// Prune forgets endpoints that were removed more than removedRetention ago.
func (r *Registry) Prune() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for id, e := range r.entries {
		if e.removed && now.Sub(e.usableUntil) > removedRetention {
			delete(r.entries, id)
			r.changes++
		}
	}
}
