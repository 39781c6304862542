package prepaid

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// heartbeat regularly rewrites the row of this process's VM in the store, and
// derives from the row that it finds at the start for how long the predecessor on
// the VM had not reached the store.
//
// Invariant: a row with StoreMs = c can be in the store only if this process, when
// the store's clock shows c + d, has spent no more inactive tokens than are
// unlocked after d. To this end, c is a lower bound of the store's clock when the
// row is sent, a row whose outcome is unknown is sent again unchanged, and a new
// row is sent only while no inactive tokens are in use.
type heartbeat struct {
	holder *Holder
	key    rowstore.Key
	// wake makes run send a heartbeat at once.
	wake chan struct{}
	// startedAt is a time at which this process was running.
	startedAt time.Time

	mu sync.Mutex // guards the fields up to predecessors
	// storeClock is the store's clock as of the last response that had one, and
	// storeClockReadAt the local time when that response came.
	storeClock       time.Duration
	storeClockReadAt time.Time
	// storeReached is closed, and replaced by a new channel, each time the store
	// responds to the goroutine of run.
	storeReached chan struct{}
	// meanResponseTime is the running mean of the store's response time to grant
	// writes.
	meanResponseTime time.Duration
	// lastHeartbeat is when the newest row that may be in the store was created, and confirmed when the
	// newest one was that the store has accepted.
	lastHeartbeat, confirmed time.Time
	// gapEnded is when the store has accepted a heartbeat after a longer time than maxHeartbeatGap
	// without one.
	gapEnded time.Time
	// acceptedMs and newestMs are StoreMs of the newest accepted row, or 0, and of the newest row.
	acceptedMs, newestMs int64
	// ballot has the consents to the newest heartbeat.
	ballot ballot
	// predecessors are the earlier processes on this VM for which a bound of their
	// spending is known.
	predecessors []predecessor

	// predecessorsKnown is set once predecessors was loaded from the predecessor's
	// row, if there is one. Until then it is unknown how much of orphaned grants may
	// have been spent.
	predecessorsKnown atomic.Bool
	// The fields below are used only by the goroutine of run. rowRead is set once
	// the row of this VM was read, and lastFailed if the last heartbeat failed.
	// row is the row of this VM; it has a value while the outcome of its last write
	// is unknown.
	rowRead, lastFailed bool
	row                 rowstore.Row
}

// errHeartbeatPostponed reports that the store was reached but no row was sent.
var errHeartbeatPostponed = errors.New("heartbeat postponed, inactive tokens are in use")

// maxPredecessors bounds the number of predecessors that a row lists.
const maxPredecessors = 8

// init prepares the heartbeat of h, which NewHolder has just created.
func (hb *heartbeat) init(h *Holder) {
	hb.holder = h
	hb.startedAt = h.options.Clock.Now()
	hb.storeReached = make(chan struct{})
	hb.wake = make(chan struct{}, 1)
	hb.key = rowstore.Key{Table: holdersTable, Part: h.options.VM, Name: heartbeatName}
	hb.row.Key = hb.key
}

// observeStoreClock records the store's clock of a response that came just now.
func (hb *heartbeat) observeStoreClock(now time.Duration) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.storeClock, hb.storeClockReadAt = now, hb.holder.options.Clock.Now()
}

// storeMs returns a lower bound of the store's clock, in milliseconds. The local
// monotonic clock stops while the VM is suspended, which only makes the bound
// lower.
func (hb *heartbeat) storeMs() int64 {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return hb.storeMsLocked()
}

// storeMsLocked is storeMs with the lock held; it returns 0 before the first
// response.
func (hb *heartbeat) storeMsLocked() int64 {
	if hb.storeClockReadAt.IsZero() {
		return 0
	}
	return (hb.storeClock + hb.holder.options.Clock.Now().Sub(hb.storeClockReadAt)).Milliseconds()
}

// sinceHeartbeatLocked returns the time since the last heartbeat that may be in the
// store, or 0 before the first.
func (hb *heartbeat) sinceHeartbeatLocked() time.Duration {
	if hb.lastHeartbeat.IsZero() {
		return 0
	}
	return hb.holder.options.Clock.Now().Sub(hb.lastHeartbeat)
}

// unlocked returns how many of the inactive tokens of a grant may be spent now.
func (hb *heartbeat) unlocked(inactive int64, unlockRate float64) int64 {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return hb.holder.options.Settings.Unlocked(hb.sinceHeartbeatLocked(), inactive, unlockRate)
}

// timeToUnlock returns the time until the given number of the inactive tokens is
// unlocked if no further heartbeat is sent, or the longest duration if that never
// happens.
func (hb *heartbeat) timeToUnlock(tokens, inactive int64, unlockRate float64) time.Duration {
	switch {
	case tokens <= 0:
		return 0
	case tokens > inactive:
		return math.MaxInt64
	}
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if hb.lastHeartbeat.IsZero() {
		return math.MaxInt64
	}
	s := hb.holder.options.Settings
	unlocksAfter := s.UnlockAfter + time.Duration(float64(tokens)/s.unlockSpeed(inactive, unlockRate)*float64(time.Second))
	return max(unlocksAfter-hb.sinceHeartbeatLocked(), 0) + unlockSlack
}

// unlockSlack covers the rounding of unlocked tokens.
const unlockSlack = time.Millisecond

// responseTimeWeight is the weight of a new response in meanResponseTime.
const responseTimeWeight = 0.2

// observeResponseTime includes the response time of one call in the mean.
func (hb *heartbeat) observeResponseTime(responseTime time.Duration) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.meanResponseTime += time.Duration(responseTimeWeight * float64(responseTime-hb.meanResponseTime))
}

// notifyStoreReached wakes the accounts that wait for the store to respond.
func (hb *heartbeat) notifyStoreReached() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	close(hb.storeReached)
	hb.storeReached = make(chan struct{})
}

// nextStoreReached returns a channel that is closed when the store next responds to
// a heartbeat.
func (hb *heartbeat) nextStoreReached() <-chan struct{} {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return hb.storeReached
}

// maxStoreWait returns how long a reservation waits for the store.
func (hb *heartbeat) maxStoreWait() time.Duration {
	s := hb.holder.options.Settings
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return min(max(time.Duration(s.StoreWaitFactor*float64(hb.meanResponseTime)), s.MinStoreWait), s.MaxStoreWait)
}

// unlockedToPredecessor returns how many of its inactive tokens an earlier
// incarnation on this VM can have spent at most: all of them if the incarnation is
// not known.
func (hb *heartbeat) unlockedToPredecessor(incarnation string, inactive int64, unlockRate float64) int64 {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	for _, predecessor := range hb.predecessors {
		if predecessor.Incarnation == incarnation {
			return predecessor.unlocked(inactive, unlockRate)
		}
	}
	return inactive
}

// hasPredecessor reports whether an earlier process on this VM has left a row.
func (hb *heartbeat) hasPredecessor() bool {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return len(hb.predecessors) > 0
}

// wakeUp makes run send a heartbeat at once.
func (hb *heartbeat) wakeUp() {
	select {
	case hb.wake <- struct{}{}:
	default:
	}
}

// run sends heartbeats while the process has a grant or draws one, until ctx ends or
// the holder is closing.
func (hb *heartbeat) run(ctx context.Context) {
	// The first heartbeat is sent at once, without a timer: one that is due when a
	// select begins ends the process under the race detector in a synctest bubble.
	for interval := time.Duration(0); ctx.Err() == nil; {
		if interval > 0 {
			select {
			case <-ctx.Done():
				return
			case <-hb.wake:
			case <-hb.holder.options.Clock.After(interval):
			}
		}
		if hb.holder.closing.Load() {
			return
		}
		interval = jitter(hb.holder.options.Settings.HeartbeatInterval)
		if hb.rowRead && !hb.holder.holding() {
			hb.pause()
			continue
		}
		answered := hb.followIfUnanswered()
		err := hb.write(ctx)
		answered()
		hb.holder.eras.observe()
		hb.lastFailed = err != nil
		if err != nil && !errors.Is(err, errHeartbeatPostponed) {
			hb.holder.eras.callFailed()
		}
		if err != nil && ctx.Err() == nil {
			hb.holder.options.Log.Debug("heartbeat failed", "err", err.Error())
			if p := hb.holder.lends.Load(); p != nil && !errors.Is(err, errHeartbeatPostponed) {
				p.contact.followOutage()
			}
			hb.holder.extendAll()
			interval = hb.holder.options.Settings.RetryInterval + rand.N(hb.holder.options.Settings.RetryInterval)
		}
	}
}

// pause ends the heartbeats of a process that has no grant. No tokens of a later grant
// are unlocked before the next heartbeat.
func (hb *heartbeat) pause() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.lastHeartbeat, hb.confirmed = time.Time{}, time.Time{}
}

// write sends one heartbeat if the process has a grant or draws one. It reads the row
// of this VM first at the start and after a failure.
func (hb *heartbeat) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hb.holder.options.Settings.CallTimeout)
	defer cancel()
	if !hb.rowRead || hb.lastFailed {
		// After a failure, a read checks whether the store responds. Creating a new
		// row that is not delivered would postpone the unlocking of tokens.
		if err := hb.readRow(ctx); err != nil {
			return err
		}
	}
	if !hb.holder.holding() {
		hb.notifyStoreReached()
		return nil
	}
	if hb.row.Value == nil && !hb.prepareRow() {
		// The accounts must first activate the tokens that they use. They wait for
		// the signal that the store responds.
		if err := hb.readRow(ctx); err != nil {
			return err
		}
		hb.notifyStoreReached()
		return errHeartbeatPostponed
	}
	result, err := hb.holder.options.Store.Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expect{{Key: hb.key, Version: hb.row.Version}},
		Put:    []rowstore.Put{{Key: hb.key, Value: hb.row.Value}},
	})
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The row that was sent earlier was applied, or an operator removed it.
		hb.row.Version = conflict.Row(hb.key).Version
		hb.notifyStoreReached()
		return nil
	case err != nil:
		return fmt.Errorf("write heartbeat: %w", err)
	}
	hb.observeStoreClock(result.Now)
	hb.noteAccepted(result.Now)
	hb.notifyStoreReached()
	hb.row = rowstore.Row{Key: hb.key, Version: result.Version}
	return nil
}

// noteAccepted notes that the store has accepted the newest row at a time of its clock. After a gap, the grants
// are written again. The store's clock shows a gap also if the holder has paused, or was suspended before it sent
// the row before.
func (hb *heartbeat) noteAccepted(storeNow time.Duration) {
	now := hb.holder.options.Clock.Now()
	hb.mu.Lock()
	gap := !hb.confirmed.IsZero() && clock.Elapsed(hb.confirmed, now) > maxHeartbeatGap ||
		hb.acceptedMs > 0 && storeNow-time.Duration(hb.acceptedMs)*time.Millisecond > maxHeartbeatGap
	if gap {
		hb.gapEnded = now
	}
	hb.confirmed, hb.acceptedMs = hb.lastHeartbeat, hb.newestMs
	hb.ballot.accept()
	hb.mu.Unlock()
	if !gap {
		return
	}
	for _, a := range hb.holder.accounts.All() {
		a.mu.Lock()
		a.renewReplicas = a.renewReplicas || a.granted > 0
		a.startWriterLocked()
		a.mu.Unlock()
	}
}

// readRow reads the row of this VM. The first time, it also loads the predecessor from
// it.
func (hb *heartbeat) readRow(ctx context.Context) error {
	snap, err := hb.holder.options.Store.Read(ctx, holdersTable, hb.key.Part)
	if err != nil {
		return fmt.Errorf("read heartbeat row: %w", err)
	}
	hb.observeStoreClock(snap.Now)
	if hb.rowRead {
		return nil
	}
	hb.rowRead = true
	for _, row := range snap.Rows {
		if row.Key == hb.key {
			hb.row.Version = row.Version
			hb.loadPredecessor(row, snap.Now)
		}
	}
	hb.predecessorsKnown.Store(true)
	hb.holder.reclaim()
	for _, a := range hb.holder.accounts.All() {
		a.check() // orphaned grants can be reclaimed now
	}
	return nil
}

// loadPredecessor computes from the predecessor's row how much it can have spent at
// most. now is the store's clock.
func (hb *heartbeat) loadPredecessor(row rowstore.Row, now time.Duration) {
	var last heartbeatRow
	log := hb.holder.options.Log
	if err := json.Unmarshal(row.Value, &last); err != nil {
		log.Error("cannot decode the predecessor's heartbeat row, its grants count as fully spent", "row", row.Key.String(), "err", err.Error())
		return
	}
	hb.mu.Lock()
	defer hb.mu.Unlock()
	// The row has the clock in whole milliseconds, rounded down. The predecessor was
	// dead when this process started. The local clock stops while the VM is suspended,
	// which only makes the age of this process too small.
	age := hb.holder.options.Clock.Now().Sub(hb.startedAt)
	silent := max(now-age-time.Duration(last.StoreMs-1)*time.Millisecond, 0)
	hb.predecessors = append(last.Predecessors, predecessor{
		Incarnation: last.Incarnation, SilentMs: silent.Milliseconds() + 1, UnlockAfterMs: last.UnlockAfterMs, UnlockWithinMs: last.UnlockWithinMs,
	})
	hb.predecessors = hb.predecessors[max(0, len(hb.predecessors)-maxPredecessors):]
	log.Info("predecessor found", "incarnation", last.Incarnation, "silent_ms", silent.Milliseconds())
}

// prepareRow creates the next row, unless inactive tokens are in use; it reports
// whether it did. It updates lastHeartbeat before it checks the accounts, so that
// no inactive token is reserved after the check.
func (hb *heartbeat) prepareRow() bool {
	hb.mu.Lock()
	previous, storeMs := hb.lastHeartbeat, hb.storeMsLocked()
	hb.lastHeartbeat = hb.holder.options.Clock.Now()
	hb.mu.Unlock()
	usesInactive := hb.holder.usesInactiveTokens()
	pool, era := hb.holder.lends.Load(), hb.holder.eras.observe()
	var consenters []bus.ID
	if pool != nil {
		consenters = pool.contact.consenters()
	}
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if usesInactive {
		hb.lastHeartbeat = previous
		return false
	}
	hb.newestMs = storeMs
	settings := hb.holder.options.Settings
	value, err := json.Marshal(heartbeatRow{
		Incarnation: hb.holder.options.Incarnation, StoreMs: storeMs, Predecessors: hb.predecessors,
		// Rounded down, so that a successor counts no less than was unlocked.
		UnlockAfterMs:  settings.UnlockAfter.Milliseconds(),
		UnlockWithinMs: settings.UnlockWithin.Milliseconds(),
		Polls:          pool != nil,
		Number:         hb.ballot.prepare(consenters), Consenters: newRouterSet(consenters), Era: era,
	})
	if err != nil {
		panic(err) // the row type always encodes
	}
	hb.row.Value = value
	return true
}

// removeRow removes the VM's row if all grants were returned. It retries until ctx
// ends.
func (hb *heartbeat) removeRow(ctx context.Context, allReturned bool) error {
	if !allReturned {
		return nil
	}
	for {
		_, err := hb.holder.options.Store.Commit(ctx, rowstore.Tx{Remove: []rowstore.Key{hb.key}})
		if err == nil {
			return nil
		}
		if clock.Sleep(ctx, hb.holder.options.Clock, hb.holder.options.Settings.RetryInterval) != nil {
			return fmt.Errorf("remove heartbeat row: %w", err)
		}
	}
}
