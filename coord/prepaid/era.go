package prepaid

import (
	"context"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// eras follows the era of the store. After a rise, the rows are those of a copy: they
// can lack what holders have drawn since. Each holder then writes its grant again, and
// no tokens are drawn from a total until it is confirmed in the new era; see repair.go.
type eras struct {
	holder *Holder

	mu sync.Mutex // guards all fields below
	// current is the newest era seen, which began to be so at since. rose is set if
	// this process saw an earlier one.
	current int64
	since   time.Time
	rose    bool
	// lastFailure is when a call to the store failed last. Other routers may not have
	// reached it then either.
	lastFailure time.Time
	// gathering is set while the records of other routers are requested. gatheredAt is
	// when that was done last in this era, and answers counts the answers. witnessed says
	// that one of the routers has seen an earlier era.
	gathering, witnessed bool
	gatheredAt           time.Time
	answers              answerCount
}

const (
	// confirmAfter is the time from the rise of the era until totals are confirmed. A
	// router that reaches the store calls it several times in that time, and writes its
	// grants again. If a router did not answer, it is confirmAfterSilence. If most did not,
	// it is confirmIsolatedAfter, so that the majority confirms first.
	confirmAfter         = time.Second
	confirmAfterSilence  = 2500 * time.Millisecond
	confirmIsolatedAfter = 10 * time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// maxCopyAge is the age of the oldest copy from which a store is restored,
	// including the time for which it is away. Older records are in every copy.
	maxCopyAge = 30 * time.Second
)

// observe updates the era from the store's responses and returns it. After a rise, all
// accounts read their rows again.
func (e *eras) observe() int64 {
	era := e.holder.options.Store.Era()
	e.mu.Lock()
	if era <= e.current {
		defer e.mu.Unlock()
		return e.current
	}
	rose := e.current != 0
	e.current, e.since, e.rose = era, e.holder.options.Clock.Now(), e.rose || rose
	e.gatheredAt, e.witnessed, e.answers = time.Time{}, false, answerCount{}
	e.mu.Unlock()
	if rose {
		e.holder.options.Log.Warn("store restored from a copy, grants are written again and totals checked", "era", era)
		e.holder.tasks.Go(func() {
			for _, a := range e.holder.accounts.All() {
				a.check()
			}
		})
	}
	return era
}

// unconfirmed reports whether a total that was confirmed last in an era may lack
// draws. Totals without an era are those of a store that was never restored.
func (e *eras) unconfirmed(totalEra int64) bool {
	era := e.observe()
	e.mu.Lock()
	defer e.mu.Unlock()
	return totalEra < era && (e.rose || era > firstEra)
}

// canConfirm reports whether totals can be confirmed now: the other routers were asked
// for what they know, and those that cannot be asked had the time to write it.
func (e *eras) canConfirm() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, since := e.holder.options.Clock.Now(), e.waitingSinceLocked()
	gathered := !e.gatheredAt.IsZero() && !e.gatheredAt.Before(since)
	if !e.gathering && (!gathered || e.answers.answered < e.answers.asked && now.Sub(e.gatheredAt) >= recordRetryInterval) {
		era := e.current
		e.gathering = e.holder.tasks.Go(func() { e.gather(era, now) })
	}
	return gathered && now.Sub(since) >= e.answers.wait()
}

// waitingSinceLocked returns the time since which this process has reached the store in
// the present era.
func (e *eras) waitingSinceLocked() time.Time { return later(e.since, e.lastFailure) }

// callFailed records a failed call to the store.
func (e *eras) callFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastFailure = e.holder.options.Clock.Now()
}

// answerCount counts the routers that were asked for their records, and the answers.
type answerCount struct{ asked, answered int }

// wait returns the time from the rise of the era until totals are confirmed.
func (c answerCount) wait() time.Duration {
	switch {
	case c.answered == c.asked:
		return confirmAfter
	case 2*c.answered >= c.asked:
		return confirmAfterSilence
	}
	return confirmIsolatedAfter
}

// gather requests the records of all routers, as of a time.
func (e *eras) gather(era int64, at time.Time) {
	var answers answerCount
	var witnessed bool
	if p := e.holder.lends.Load(); p != nil {
		answers, witnessed = p.records.gather(era)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gathering = false
	if e.current == era {
		e.gatheredAt, e.answers, e.witnessed = at, answers, e.witnessed || witnessed
	}
}

// hasWitness reports whether a process that can be reached has lived in an earlier
// era.
func (e *eras) hasWitness() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.witnessed
}

// seenSince returns when the present era was first seen.
func (e *eras) seenSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since
}

// livedBefore reports whether this process has seen an era before the given one.
func (e *eras) livedBefore(era int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rose || e.current > 0 && e.current < era
}

// grantID identifies a grant by its workspace and holder.
type grantID struct {
	workspace string
	holder    bus.ID
}

// key returns the key of the grant's row.
func (id grantID) key() rowstore.Key {
	return rowstore.Key{Table: ledgerTable, Part: id.workspace, Name: grantPrefix + id.holder.String()}
}

// gatherTimeout bounds the wait for the records of one router.
const gatherTimeout = 700 * time.Millisecond

// callContext returns a context for one call to another router.
func (r *records) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.pool.holder.ctx, gatherTimeout)
}
