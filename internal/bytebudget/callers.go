package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// Caller is the connection of a caller. Its methods do not block.
type Caller interface {
	// Evict ends what the connection receives.
	Evict()
	// LastProgress returns when the connection last received a fair number of bytes.
	LastProgress() time.Time
}

// stalledAfter is the time without progress after which an account of a caller is evicted whatever
// its size. Bytes of an ordinary caller arrive several times a second.
const stalledAfter = 2 * time.Second

// OpenCaller opens an account for what is received from a caller. It can be evicted by itself until
// it is protected.
func (b *Budget) OpenCaller(c Caller) *Account {
	a := &Account{budget: b, evict: c.Evict, caller: c}
	if b == nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	a.number = b.opened
	return a
}

// Protect excludes the account from evictions. It returns false if the account was evicted before.
func (a *Account) Protect() bool {
	b := a.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return false
	}
	a.protected = true
	delete(b.callers, a)
	return true
}

// protectedShare is the share of the budget up to which protected accounts can grow, which are those
// of requests whose responses are read. A response that finds no room is forwarded while it is read,
// whereas a request is refused, so unread responses leave room for requests.
const protectedShare = 0.75

// limitLocked returns the limit of the budget that applies to the account.
func (a *Account) limitLocked() int64 {
	if a.protected {
		return int64(protectedShare * float64(a.budget.limit))
	}
	return a.budget.limit
}

// Revoke evicts the account, whose connection has ended, so that Grow waits no longer.
func (a *Account) Revoke() {
	b := a.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.evicted && !a.protected {
		a.markEvictedLocked()
		b.notifyLocked()
	}
}

func (a *Account) markEvictedLocked() {
	a.evicted = true
	delete(a.budget.callers, a)
	a.budget.releasing += a.bytes
}

// candidate is an account of a caller that may be evicted.
type candidate struct {
	account *Account
	bytes   int64
	number  int64
	idle    time.Duration // since the last progress
}

// chooseVictims returns the candidates to evict so that needed bytes become free, for an account
// that will have size bytes, or nil if they do not suffice. It responds to requests that arrive
// incomplete and keep the memory for others: those without progress come first, then those that have
// more than the account that grows, the larger and then the newer first.
func chooseVictims(candidates []candidate, size, needed int64) []candidate {
	chosen := slices.DeleteFunc(candidates, func(c candidate) bool { return c.idle < stalledAfter && c.bytes <= size })
	slices.SortFunc(chosen, func(x, y candidate) int {
		if xStalled, yStalled := x.idle >= stalledAfter, y.idle >= stalledAfter; xStalled != yStalled {
			if xStalled {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.bytes, x.bytes), cmp.Compare(y.number, x.number))
	})
	for i, c := range chosen {
		if needed -= c.bytes; needed <= 0 {
			return chosen[:i+1]
		}
	}
	return nil
}

// evictCallersLocked evicts accounts of callers so that the account a can grow by n bytes once they
// are closed. If the accounts do not suffice, it evicts none and enough is false.
func (b *Budget) evictCallersLocked(a *Account, n int64) (victims []*Account, enough bool) {
	if a.evicted || a.protected {
		return nil, false
	}
	missing := b.used - b.releasing + b.waiting + n - b.limit
	if missing <= 0 {
		return nil, true
	}
	now := time.Now()
	var candidates []candidate
	for other := range b.callers {
		if other != a && (a.caller == nil || other.caller != a.caller) {
			candidates = append(candidates, candidate{account: other, bytes: other.bytes, number: other.number, idle: now.Sub(other.caller.LastProgress())})
		}
	}
	for _, c := range chooseVictims(candidates, a.bytes+n, missing) {
		c.account.markEvictedLocked()
		b.callerEvictions.Inc()
		victims = append(victims, c.account)
	}
	if victims != nil {
		b.notifyLocked()
	}
	return victims, victims != nil
}

// releaseTime bounds the wait for evicted accounts to be closed, which takes as long as their
// goroutines take to run.
const releaseTime = time.Second

// waitLocked evicts the victims and adds n bytes to the account once there is room. It unlocks b.mu.
func (a *Account) waitLocked(n int64, victims []*Account) error {
	b := a.budget
	b.waiting += n
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	timer := time.NewTimer(releaseTime)
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	defer func() { b.waiting -= n }()
	for expired := false; !expired && !a.evicted && b.used+n > b.limit; {
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
		b.mu.Lock()
	}
	return a.takeLocked(n)
}

// notifyLocked wakes the accounts that wait.
func (b *Budget) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}
