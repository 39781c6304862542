// Package bytebudget bounds the bytes of callers and endpoints that a process keeps in
// memory at the same time. Bounds for each connection do not suffice for that, since there
// can be thousands of connections.
package bytebudget

import (
	"errors"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Errors of Account.Grow.
var (
	// ErrFull: the budget has no room.
	ErrFull = errors.New("no room in the byte budget")
	// ErrEvicted: the owner of the account was evicted.
	ErrEvicted = errors.New("evicted from the byte budget")
)

// evictShare is the share of the budget that an owner must hold to be evicted.
const evictShare = 0.25

// Budget is a number of bytes that accounts draw on. It is safe for concurrent use. All
// requests are granted if it is nil.
type Budget struct {
	limit           int64
	log             *slog.Logger
	evictions       *metrics.Counter
	callerEvictions *metrics.Counter
	refusals        *metrics.Counter

	mu      sync.Mutex // guards the fields below, and those of all accounts
	used    int64
	owners  map[string]*owner
	callers map[*Account]struct{} // accounts of callers that have bytes and may be evicted
	opened  int64                 // number of accounts of callers opened so far
	// releasing are the bytes of callers' accounts that were evicted and not closed yet, and
	// waiting those that accounts wait for. changed is closed at an eviction or a release.
	releasing, waiting int64
	changed            chan struct{}
}

// owner is an endpoint with its open accounts.
type owner struct {
	bytes    int64
	accounts map[*Account]struct{}
}

// Account has the bytes that one exchange or request keeps.
type Account struct {
	budget    *Budget
	owner     string
	evict     func()
	bytes     int64
	evicted   bool
	caller    Caller // nil unless the account is that of a caller
	protected bool
	number    int64 // of an account of a caller, in the order of their opening
}

// New returns a budget of limit bytes that registers its metrics in set. Without a limit,
// which is 0, it only counts.
func New(limit int64, log *slog.Logger, set *metrics.Set) *Budget {
	b := &Budget{
		limit: limit, log: log, owners: make(map[string]*owner), callers: make(map[*Account]struct{}), changed: make(chan struct{}),
		evictions:       set.NewCounter("daisyslip_kept_bytes_evictions_total"),
		callerEvictions: set.NewCounter("daisyslip_kept_bytes_caller_evictions_total"),
		refusals:        set.NewCounter("daisyslip_kept_bytes_refusals_total"),
	}
	set.NewGauge("daisyslip_kept_bytes", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.used)
	})
	return b
}

// Open opens an account. If its owner is an endpoint, evict ends the exchange; it must not
// block. Accounts without an owner, which is "", are not evicted.
func (b *Budget) Open(ownerID string, evict func()) *Account {
	a := &Account{budget: b, owner: ownerID, evict: evict}
	if b == nil || ownerID == "" {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.owners[ownerID]
	if o == nil {
		o = &owner{accounts: make(map[*Account]struct{})}
		b.owners[ownerID] = o
	}
	o.accounts[a] = struct{}{}
	return a
}

// Grow adds n bytes to the account. If there is no room, accounts of callers are evicted, see
// chooseVictims, and Grow waits until they are closed. If that does not suffice, all accounts of the owner that holds most are
// evicted, provided that it holds a good part of the budget. The error is ErrFull or
// ErrEvicted.
func (a *Account) Grow(n int64) error {
	b := a.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	var victims []*Account
	if b.limit > 0 && b.used+n > a.limitLocked() {
		if victims, enough := b.evictCallersLocked(a, n); enough {
			return a.waitLocked(n, victims)
		}
		victims = b.evictLargestLocked()
	}
	err := a.takeLocked(n)
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return err
}

// takeLocked adds n bytes to the account if there is room.
func (a *Account) takeLocked(n int64) error {
	b := a.budget
	switch {
	case a.evicted:
		return ErrEvicted
	case b.limit > 0 && b.used+n > a.limitLocked():
		b.refusals.Inc()
		return ErrFull
	}
	a.addLocked(n)
	return nil
}

// addLocked adds n bytes, which may be negative.
func (a *Account) addLocked(n int64) {
	a.bytes += n
	a.budget.used += n
	if a.caller != nil && !a.protected && !a.evicted {
		if a.bytes > 0 {
			a.budget.callers[a] = struct{}{}
		} else {
			delete(a.budget.callers, a)
		}
	}
	if o := a.budget.owners[a.owner]; o != nil {
		o.bytes += n
	}
}

// evictLargestLocked evicts the accounts of the owner that holds most and returns them. It
// returns none if no owner holds evictShare of the budget.
func (b *Budget) evictLargestLocked() (victims []*Account) {
	largest, most := "", int64(evictShare*float64(b.limit))
	for id, o := range b.owners {
		if o.bytes > most {
			largest, most = id, o.bytes
		}
	}
	if largest == "" {
		return nil
	}
	for a := range b.owners[largest].accounts {
		if a.bytes == 0 {
			continue // it may be one of a sound response
		}
		a.addLocked(-a.bytes)
		a.evicted = true
		victims = append(victims, a)
	}
	b.evictions.Inc()
	b.log.Warn("endpoint cut off, it holds too many bytes of incomplete responses", "endpoint", largest, "bytes", most, "exchanges", len(victims), "limit", b.limit)
	return victims
}

// Close returns the bytes of the account. It may be called more than once.
func (a *Account) Close() {
	b := a.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.caller != nil && a.evicted && a.bytes > 0 {
		b.releasing -= a.bytes
		b.notifyLocked()
	}
	a.addLocked(-a.bytes)
	if o := b.owners[a.owner]; o != nil {
		delete(o.accounts, a)
		if len(o.accounts) == 0 {
			delete(b.owners, a.owner)
		}
	}
}
