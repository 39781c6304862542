package endpoints

import "time"

// coldState is what shows that an endpoint is cold. It holds the times of what was
// observed, so that a changed configuration applies to earlier observations, too.
type coldState struct {
	// statedUntil is the end of the time for which the endpoint says that it is cold.
	statedUntil time.Time
	// respondedAt is when the endpoint last said so in a response; zero without one.
	respondedAt time.Time
	// startedAt is when the endpoint was last observed to start, to return from an
	// evacuation, or to state an invalid time.
	startedAt time.Time
	// failedAt is when an attempt at the endpoint failed after which it may have
	// restarted; zero once a newer entry says that it is not cold.
	failedAt time.Time
	// logged has the invalid times that were logged.
	logged map[string]bool
}

// maxEntryAge is how old an entry can be when it is read, by the stated delay of the list
// (docs/design/load.md). An entry that is read within this time after a response can have
// been written before it.
const maxEntryAge = 3 * time.Second

// maxLoggedInvalid bounds the invalid times that are logged for one endpoint.
const maxLoggedInvalid = 16

// until returns the time until which the endpoint counts as cold. Start is how long an
// endpoint of its pool is cold after its start.
func (c *coldState) until(start time.Duration) time.Time {
	until := c.statedUntil
	for _, from := range []time.Time{c.startedAt, c.failedAt} {
		if end := from.Add(start); !from.IsZero() && end.After(until) {
			until = end
		}
	}
	return until
}

// failed reports whether an attempt failed so recently that the endpoint counts as cold.
func (c *coldState) failed(start time.Duration, now time.Time) bool {
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) < start
}

// SetColdStart sets the function that returns how long an endpoint of a pool is cold
// after its start, or 0 if endpoints of the pool are never treated as cold. It is called
// with a lock of the registry held, and before the registry is used.
func (r *Registry) SetColdStart(coldStart func(pool string) time.Duration) { r.coldStart = coldStart }

// coldStartOf returns how long an endpoint of a pool is cold after its start.
func (r *Registry) coldStartOf(pool string) time.Duration {
	if r.coldStart == nil {
		return 0
	}
	return r.coldStart(pool)
}

// Cold returns whether the endpoint counts as cold, and until when.
func (r *Registry) Cold(e Endpoint) (until time.Time, cold bool) {
	start := r.coldStartOf(e.Pool)
	if start <= 0 {
		return time.Time{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.entries[e.ID]
	if known == nil {
		return time.Time{}, false
	}
	until = known.cold.until(start)
	return until, r.clock.Now().Before(until)
}

// ColdIn returns the endpoints of a pool that count as cold, by id, and until when. It
// returns nil without a look at each endpoint if none can be cold.
func (r *Registry) ColdIn(pool string) map[string]time.Time {
	start := r.coldStartOf(pool)
	if start <= 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !now.Before(r.latestStated) && now.Sub(r.latestObserved) >= start {
		return nil
	}
	var cold map[string]time.Time
	for id, e := range r.entries {
		if e.endpoint.Pool != pool {
			continue
		}
		if until := e.cold.until(start); now.Before(until) {
			if cold == nil {
				cold = make(map[string]time.Time)
			}
			cold[id] = until
		}
	}
	return cold
}

// ColdCount returns the number of endpoints that are in the list and count as cold.
func (r *Registry) ColdCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, now := 0, r.clock.Now()
	for _, e := range r.entries {
		start := r.coldStartOf(e.endpoint.Pool)
		if start > 0 && !e.removed && now.Before(e.cold.until(start)) {
			n++
		}
	}
	return n
}

// PoolOf returns the pool of an endpoint that is known.
func (r *Registry) PoolOf(id string) (pool string, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return e.endpoint.Pool, true
	}
	return "", false
}

// MarkFailed records that an attempt at the start of an endpoint at startedMs ended as
// unreachable or with a broken connection. The endpoint may have restarted since, so it
// counts as cold until a newer entry of it says otherwise. It has no effect if half of the
// pool counts as cold for that reason: then the cause is more likely this router or its
// link, and a router that took all endpoints for cold would refuse most requests.
func (r *Registry) MarkFailed(id string, startedMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || e.endpoint.StartedMs != startedMs {
		return
	}
	if e.cold.failed(r.coldStartOf(e.endpoint.Pool), r.clock.Now()) || !r.halfFailedLocked(e.endpoint.Pool) {
		e.cold.failedAt = r.observedColdLocked()
	}
}

// minPoolForHalf is the size from which on failures of half of a pool say something of
// this router.
const minPoolForHalf = 4

// halfFailedLocked reports whether half of the endpoints of a pool count as cold because
// attempts at them failed.
func (r *Registry) halfFailedLocked(pool string) bool {
	start, now := r.coldStartOf(pool), r.clock.Now()
	all, failed := 0, 0
	for _, e := range r.entries {
		if e.endpoint.Pool != pool || !e.usable(now) {
			continue
		}
		all++
		if e.cold.failed(start, now) {
			failed++
		}
	}
	return all >= minPoolForHalf && 2*failed >= all
}

// MarkCold records that the start of an endpoint at startedMs has said in a response that
// it is cold for d. Responses may overtake each other, so it does not shorten that time.
func (r *Registry) MarkCold(id string, startedMs int64, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || e.endpoint.StartedMs != startedMs {
		return
	}
	now := r.clock.Now()
	e.cold.respondedAt = now
	if now.Add(d).After(e.cold.statedUntil) {
		r.statedColdLocked(e, d)
	}
}

// observedColdLocked returns the current time, as that of an observation after which an
// endpoint counts as cold.
func (r *Registry) observedColdLocked() time.Time {
	r.latestObserved = r.clock.Now()
	return r.latestObserved
}

// minColdLogInterval is the time without a stated cold time after which another one is
// logged. An endpoint can state short times in all of its responses.
const minColdLogInterval = 10 * time.Second

// statedColdLocked records that an endpoint says that it is cold for d from now on, or not
// cold if d is 0.
func (r *Registry) statedColdLocked(e *entry, d time.Duration) {
	now := r.clock.Now()
	if d <= 0 {
		if now.Before(e.cold.statedUntil) {
			e.cold.statedUntil = now
		}
		return
	}
	if now.Sub(e.cold.statedUntil) >= minColdLogInterval && r.coldStartOf(e.endpoint.Pool) > 0 {
		r.log.Info("endpoint says that it is cold", "endpoint", e.endpoint.ID, "pool", e.endpoint.Pool, "for_ms", d.Milliseconds())
	}
	e.cold.statedUntil = now.Add(d)
	if e.cold.statedUntil.After(r.latestStated) {
		r.latestStated = e.cold.statedUntil
	}
}

// entryRead is how an entry that was read relates to the known one.
type entryRead struct {
	// newStart is set if it is that of an endpoint that was not known or has restarted, or
	// whose entry was removed.
	newStart bool
	// newer is set if it was written after the known entry.
	newer bool
}

// compareLocked compares an entry that was read with the known one, which is not newer.
// The entry of a live endpoint that the store had lost and that reappears within
// RecoveryGrace is not that of a new start.
func (r *Registry) compareLocked(known *entry, e Endpoint) entryRead {
	restarted := e.StartedMs != known.endpoint.StartedMs || e.StartedMs == 0 && e.Sequence < known.endpoint.Sequence
	reappeared := known.removed && !r.clock.Now().Before(known.usableUntil)
	return entryRead{newStart: restarted || reappeared, newer: restarted || e.Sequence > known.endpoint.Sequence}
}

// learnColdLocked takes in what an entry that was read shows of whether its endpoint is
// cold. Before is the invalid time in the entry before, if any.
func (r *Registry) learnColdLocked(known *entry, read entryRead, before string) {
	e := known.endpoint
	if read.newStart {
		known.cold.statedUntil, known.cold.respondedAt, known.cold.failedAt = time.Time{}, time.Time{}, time.Time{}
		if r.synced.Load() {
			known.cold.startedAt = r.observedColdLocked()
		}
	}
	if !read.newer {
		return // read before
	}
	if e.InvalidCold != "" {
		// Repetitions say nothing new.
		if read.newStart || e.InvalidCold != before {
			known.cold.startedAt = r.observedColdLocked()
		}
		r.logInvalidColdLocked(known)
		return
	}
	now := r.clock.Now()
	responded := !known.cold.respondedAt.IsZero() && now.Sub(known.cold.respondedAt) <= maxEntryAge
	if !responded || now.Add(e.ColdFor).After(known.cold.statedUntil) {
		r.statedColdLocked(known, e.ColdFor)
	}
	if e.ColdFor == 0 && !read.newStart {
		known.cold.failedAt = time.Time{}
	}
}

// logInvalidColdLocked logs the invalid time in the latest entry of an endpoint, once for
// each value.
func (r *Registry) logInvalidColdLocked(known *entry) {
	value := known.endpoint.InvalidCold
	if known.cold.logged[value] || len(known.cold.logged) >= maxLoggedInvalid {
		return
	}
	if known.cold.logged == nil {
		known.cold.logged = make(map[string]bool)
	}
	known.cold.logged[value] = true
	r.log.Warn("endpoint states an invalid time for which it is cold", "endpoint", known.endpoint.ID, "pool", known.endpoint.Pool, "value", value)
}
