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

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// presence proves this process's contact with the store by rewriting the row of
// its VM, and learns from the row it found for how long its predecessor was
// without contact.
//
// Invariant: a row with StoreMs = c can be in the store only if this process,
// when the store's clock shows c + d, has spent no more uncleared tokens than are
// released after d. For this, c is a lower bound of the store's clock at sending,
// a row whose fate is unknown is sent again unchanged, and a new one is sent only
// while nothing uncleared is spent.
type heartbeat struct {
	holder      *Holder
	key         rowstore.Key
	holderCount atomic.Int64

	mu sync.Mutex // guards all below
	// storeNow is the store's clock at an answer, storeAt when that came.
	storeClock       time.Duration
	storeClockReadAt time.Time
	// contacts is closed, and made anew, at each contact.
	storeReached chan struct{}
	// usual is the mean time of answers.
	meanResponseTime time.Duration
	// stamped is when the last row was stamped that may be in the store.
	lastHeartbeat time.Time
	// before are predecessors, of which not all has to count as spent.
	predecessors []predecessor

	// known is set once predecessors are known; until then nothing can be said of
	// their grants.
	predecessorsKnown atomic.Bool
	// The rest belongs to run: looked is set once the predecessor's row was read,
	// failed says that the last contact failed, and row is the own one, with a value
	// while its sending is not settled.
	holdersRead, lastFailed bool
	row                     rowstore.Row
}

// maxBefore bounds the predecessors that are remembered.
const maxPredecessors = 8

// countEvery is the number of contacts between two counts of the holders, and of
// those at the start, when others start too, that count each time.
const heartbeatsPerCount = 8

func (p *heartbeat) init(h *Holder) {
	p.holder = h
	p.storeReached = make(chan struct{})
	p.key = rowstore.Key{Table: holdersTable, Name: h.options.VM}
	p.row.Key = p.key
}

// note takes over the store's clock from an answer.
func (p *heartbeat) observeStoreClock(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeClock, p.storeClockReadAt = now, p.holder.options.Clock.Now()
}

// storeMs is a lower bound of the store's clock, in milliseconds. The monotonic
// clock stands still while a VM is suspended, which only makes it lower.
func (p *heartbeat) storeMs() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeMsLocked()
}

func (p *heartbeat) storeMsLocked() int64 {
	if p.storeClockReadAt.IsZero() {
		return 0
	}
	return (p.storeClock + p.holder.options.Clock.Now().Sub(p.storeClockReadAt)).Milliseconds()
}

// awayLocked is how long this process is surely without contact.
func (p *heartbeat) sinceHeartbeatLocked() time.Duration {
	if p.lastHeartbeat.IsZero() {
		return 0
	}
	return p.holder.options.Clock.Now().Sub(p.lastHeartbeat)
}

// released is the part of uncleared tokens that may be spent now.
func (p *heartbeat) unlocked(inactive int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.holder.options.Settings.UnlockedShare(p.sinceHeartbeatLocked()) * float64(inactive))
}

// untilReleased is the time until tokens of the uncleared ones are released
// without contact.
func (p *heartbeat) timeToUnlock(tokens, inactive int64) time.Duration {
	switch {
	case tokens <= 0:
		return 0
	case tokens > inactive:
		return math.MaxInt64
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastHeartbeat.IsZero() {
		return math.MaxInt64
	}
	s := p.holder.options.Settings
	share := float64(tokens) / float64(inactive)
	unlocksAfter := s.UnlockAfter + time.Duration(share*float64(s.UnlockWithin-s.UnlockAfter))
	return max(unlocksAfter-p.sinceHeartbeatLocked(), 0) + unlockSlack
}

// releaseSlack covers the rounding of released tokens.
const unlockSlack = time.Millisecond

// answerWeight is the weight of a new answer in the mean time of answers.
const responseTimeWeight = 0.2

// answered takes the time of an answer into the mean.
func (p *heartbeat) observeResponseTime(responseTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanResponseTime += time.Duration(responseTimeWeight * float64(responseTime-p.meanResponseTime))
}

// reached tells those who wait that the store answers.
func (p *heartbeat) notifyStoreReached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.storeReached)
	p.storeReached = make(chan struct{})
}

// next returns a channel that is closed at the next answer of the store.
func (p *heartbeat) nextStoreReached() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeReached
}

// patience is how long a reservation waits for the store.
func (p *heartbeat) maxStoreWait() time.Duration {
	s := p.holder.options.Settings
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(time.Duration(s.StoreWaitFactor*float64(p.meanResponseTime)), s.MinStoreWait), s.MaxStoreWait)
}

// releasedBefore is what an earlier incarnation on this VM can have spent of its
// uncleared tokens at most: all, if it is not known.
func (p *heartbeat) unlockedToPredecessor(incarnation string, inactive int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, predecessor := range p.predecessors {
		if predecessor.Incarnation == incarnation {
			return min(int64(math.Ceil(predecessor.UnlockedShare*float64(inactive))), inactive)
		}
	}
	return inactive
}

func (p *heartbeat) run(ctx context.Context) {
	interval := time.Duration(0)
	for n := 0; ; n++ {
		if clock.Sleep(ctx, p.holder.options.Clock, interval) != nil || p.holder.closing.Load() {
			return
		}
		interval = jitter(p.holder.options.Settings.HeartbeatInterval)
		err := p.write(ctx, n < heartbeatsPerCount || n%heartbeatsPerCount == 0)
		p.lastFailed = err != nil
		if err != nil && ctx.Err() == nil {
			p.holder.options.Log.Debug("no contact with the store", "err", err.Error())
			interval = p.holder.options.Settings.RetryInterval + rand.N(p.holder.options.Settings.RetryInterval)
		}
	}
}

// contact proves contact once.
func (p *heartbeat) write(ctx context.Context, countHolders bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.holder.options.Settings.CallTimeout)
	defer cancel()
	if countHolders || !p.holdersRead || p.lastFailed {
		// After a failure a read asks whether the store answers: a new row that is
		// sent in vain would put the release of tokens off.
		if err := p.readHolders(ctx); err != nil {
			return err
		}
	}
	if p.row.Value == nil && !p.prepareRow() {
		// The accounts write first; they wait to hear that the store answers.
		if err := p.readHolders(ctx); err != nil {
			return err
		}
		p.notifyStoreReached()
		return errors.New("uncleared tokens are not written yet")
	}
	result, err := p.holder.options.Store.Commit(ctx, rowstore.Tx{
		Expect: []rowstore.Expect{{Key: p.key, Version: p.row.Version}},
		Put:    []rowstore.Put{{Key: p.key, Value: p.row.Value}},
	})
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The row that was sent before has arrived, or an operator removed it.
		p.row.Version = conflict.Row(p.key).Version
		p.notifyStoreReached()
		return nil
	case err != nil:
		return fmt.Errorf("prove contact: %w", err)
	}
	p.observeStoreClock(result.Now)
	p.notifyStoreReached()
	p.row = rowstore.Row{Key: p.key, Version: result.Version}
	return nil
}

// look reads the rows of all holders.
func (p *heartbeat) readHolders(ctx context.Context) error {
	snap, err := p.holder.options.Store.Read(ctx, holdersTable, "")
	if err != nil {
		return fmt.Errorf("read the holders: %w", err)
	}
	p.observeStoreClock(snap.Now)
	p.holderCount.Store(int64(max(len(snap.Rows), 1)))
	if p.holdersRead {
		return nil
	}
	p.holdersRead = true
	for _, row := range snap.Rows {
		if row.Key == p.key {
			p.row.Version = row.Version
			p.loadPredecessor(row, snap.Now)
		}
	}
	p.predecessorsKnown.Store(true)
	for _, a := range p.holder.accounts.All() {
		a.check() // their grants can be taken up now
	}
	return nil
}

// inherit learns from the row of the predecessor, at the store's time now.
func (p *heartbeat) loadPredecessor(row rowstore.Row, now time.Duration) {
	var last holderRow
	log := p.holder.options.Log
	if err := json.Unmarshal(row.Value, &last); err != nil {
		log.Error("row of the predecessor is unreadable, its grants stay spent", "row", row.Key.String(), "err", err.Error())
		return
	}
	// The clock in rows is in whole milliseconds.
	sinceHeartbeat := now - time.Duration(last.StoreMs-1)*time.Millisecond
	unlocked := last.unlockedShare(sinceHeartbeat)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.predecessors = append(last.Predecessors, predecessor{Incarnation: last.Incarnation, UnlockedShare: unlocked})
	p.predecessors = p.predecessors[max(0, len(p.predecessors)-maxPredecessors):]
	log.Info("predecessor found", "incarnation", last.Incarnation, "contact_age_ms", sinceHeartbeat.Milliseconds(), "released", unlocked)
}

// stamp makes the next row, unless uncleared tokens are in use. The stamp comes
// before the look, so that no uncleared token is taken after it.
func (p *heartbeat) prepareRow() bool {
	p.mu.Lock()
	previous, storeMs := p.lastHeartbeat, p.storeMsLocked()
	p.lastHeartbeat = p.holder.options.Clock.Now()
	p.mu.Unlock()
	usesInactive := p.holder.usesInactiveTokens()
	p.mu.Lock()
	defer p.mu.Unlock()
	if usesInactive {
		p.lastHeartbeat = previous
		return false
	}
	settings := p.holder.options.Settings
	value, err := json.Marshal(holderRow{
		Incarnation: p.holder.options.Incarnation, StoreMs: storeMs, Predecessors: p.predecessors,
		// Rounded so that a successor counts no less than was released.
		UnlockAfterMs:  settings.UnlockAfter.Milliseconds(),
		UnlockWithinMs: settings.UnlockWithin.Milliseconds(),
	})
	if err != nil {
		panic(err) // the row type always encodes
	}
	p.row.Value = value
	return true
}

// withdraw removes the row if nothing is left to give back.
func (p *heartbeat) removeRow(ctx context.Context, allReturned bool) error {
	if !allReturned {
		return nil
	}
	for {
		_, err := p.holder.options.Store.Commit(ctx, rowstore.Tx{Remove: []rowstore.Key{p.key}})
		if err == nil {
			return nil
		}
		if clock.Sleep(ctx, p.holder.options.Clock, p.holder.options.Settings.RetryInterval) != nil {
			return fmt.Errorf("remove the holder's row: %w", err)
		}
	}
}
