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
type presence struct {
	holder  *Holder
	key     rowstore.Key
	holders atomic.Int64

	mu sync.Mutex // guards all below
	// storeNow is the store's clock at an answer, storeAt when that came.
	storeNow time.Duration
	storeAt  time.Time
	// contacts is closed, and made anew, at each contact.
	contacts chan struct{}
	// usual is the mean time of answers.
	usual time.Duration
	// stamped is when the last row was stamped that may be in the store.
	stamped time.Time
	// before are predecessors, of which not all has to count as spent.
	before []deadHolder

	// known is set once predecessors are known; until then nothing can be said of
	// their grants.
	known atomic.Bool
	// The rest belongs to run: looked is set once the predecessor's row was read,
	// failed says that the last contact failed, and row is the own one, with a value
	// while its sending is not settled.
	looked, failed bool
	row            rowstore.Row
}

// maxBefore bounds the predecessors that are remembered.
const maxBefore = 8

// countEvery is the number of contacts between two counts of the holders, and of
// those at the start, when others start too, that count each time.
const countEvery = 8

func (p *presence) init(h *Holder) {
	p.holder = h
	p.contacts = make(chan struct{})
	p.key = rowstore.Key{Table: holdersTable, Name: h.options.VM}
	p.row.Key = p.key
}

// note takes over the store's clock from an answer.
func (p *presence) note(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeNow, p.storeAt = now, p.holder.options.Clock.Now()
}

// storeMs is a lower bound of the store's clock, in milliseconds. The monotonic
// clock stands still while a VM is suspended, which only makes it lower.
func (p *presence) storeMs() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeMsLocked()
}

func (p *presence) storeMsLocked() int64 {
	if p.storeAt.IsZero() {
		return 0
	}
	return (p.storeNow + p.holder.options.Clock.Now().Sub(p.storeAt)).Milliseconds()
}

// awayLocked is how long this process is surely without contact.
func (p *presence) awayLocked() time.Duration {
	if p.stamped.IsZero() {
		return 0
	}
	return p.holder.options.Clock.Now().Sub(p.stamped)
}

// released is the part of uncleared tokens that may be spent now.
func (p *presence) released(uncleared int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.holder.options.Settings.UnlockedShare(p.awayLocked()) * float64(uncleared))
}

// untilReleased is the time until tokens of the uncleared ones are released
// without contact.
func (p *presence) untilReleased(tokens, uncleared int64) time.Duration {
	switch {
	case tokens <= 0:
		return 0
	case tokens > uncleared:
		return math.MaxInt64
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stamped.IsZero() {
		return math.MaxInt64
	}
	s := p.holder.options.Settings
	part := float64(tokens) / float64(uncleared)
	needs := s.UnlockAfter + time.Duration(part*float64(s.UnlockWithin-s.UnlockAfter))
	return max(needs-p.awayLocked(), 0) + releaseSlack
}

// releaseSlack covers the rounding of released tokens.
const releaseSlack = time.Millisecond

// answerWeight is the weight of a new answer in the mean time of answers.
const answerWeight = 0.2

// answered takes the time of an answer into the mean.
func (p *presence) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(answerWeight * float64(took-p.usual))
}

// reached tells those who wait that the store answers.
func (p *presence) reached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.contacts)
	p.contacts = make(chan struct{})
}

// next returns a channel that is closed at the next answer of the store.
func (p *presence) next() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contacts
}

// patience is how long a reservation waits for the store.
func (p *presence) patience() time.Duration {
	s := p.holder.options.Settings
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(time.Duration(s.StoreWaitFactor*float64(p.usual)), s.MinStoreWait), s.MaxStoreWait)
}

// releasedBefore is what an earlier incarnation on this VM can have spent of its
// uncleared tokens at most: all, if it is not known.
func (p *presence) releasedBefore(incarnation string, uncleared int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, before := range p.before {
		if before.Incarnation == incarnation {
			return min(int64(math.Ceil(before.Released*float64(uncleared))), uncleared)
		}
	}
	return uncleared
}

func (p *presence) run(ctx context.Context) {
	pause := time.Duration(0)
	for n := 0; ; n++ {
		if clock.Sleep(ctx, p.holder.options.Clock, pause) != nil || p.holder.closing.Load() {
			return
		}
		pause = around(p.holder.options.Settings.HeartbeatInterval)
		err := p.contact(ctx, n < countEvery || n%countEvery == 0)
		p.failed = err != nil
		if err != nil && ctx.Err() == nil {
			p.holder.options.Log.Debug("no contact with the store", "err", err.Error())
			pause = p.holder.options.Settings.RetryInterval + rand.N(p.holder.options.Settings.RetryInterval)
		}
	}
}

// contact proves contact once.
func (p *presence) contact(ctx context.Context, count bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.holder.options.Settings.CallTimeout)
	defer cancel()
	if count || !p.looked || p.failed {
		// After a failure a read asks whether the store answers: a new row that is
		// sent in vain would put the release of tokens off.
		if err := p.look(ctx); err != nil {
			return err
		}
	}
	if p.row.Value == nil && !p.stamp() {
		// The accounts write first; they wait to hear that the store answers.
		if err := p.look(ctx); err != nil {
			return err
		}
		p.reached()
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
		p.reached()
		return nil
	case err != nil:
		return fmt.Errorf("prove contact: %w", err)
	}
	p.note(result.Now)
	p.reached()
	p.row = rowstore.Row{Key: p.key, Version: result.Version}
	return nil
}

// look reads the rows of all holders.
func (p *presence) look(ctx context.Context) error {
	snap, err := p.holder.options.Store.Read(ctx, holdersTable, "")
	if err != nil {
		return fmt.Errorf("read the holders: %w", err)
	}
	p.note(snap.Now)
	p.holders.Store(int64(max(len(snap.Rows), 1)))
	if p.looked {
		return nil
	}
	p.looked = true
	for _, row := range snap.Rows {
		if row.Key == p.key {
			p.row.Version = row.Version
			p.inherit(row, snap.Now)
		}
	}
	p.known.Store(true)
	for _, a := range p.holder.accounts.All() {
		a.check() // their grants can be taken up now
	}
	return nil
}

// inherit learns from the row of the predecessor, at the store's time now.
func (p *presence) inherit(row rowstore.Row, now time.Duration) {
	var before holderRow
	log := p.holder.options.Log
	if err := json.Unmarshal(row.Value, &before); err != nil {
		log.Error("row of the predecessor is unreadable, its grants stay spent", "row", row.Key.String(), "err", err.Error())
		return
	}
	// The clock in rows is in whole milliseconds.
	away := now - time.Duration(before.StoreMs-1)*time.Millisecond
	released := before.released(away)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before = append(before.Before, deadHolder{Incarnation: before.Incarnation, Released: released})
	p.before = p.before[max(0, len(p.before)-maxBefore):]
	log.Info("predecessor found", "incarnation", before.Incarnation, "contact_age_ms", away.Milliseconds(), "released", released)
}

// stamp makes the next row, unless uncleared tokens are in use. The stamp comes
// before the look, so that no uncleared token is taken after it.
func (p *presence) stamp() bool {
	p.mu.Lock()
	before, storeMs := p.stamped, p.storeMsLocked()
	p.stamped = p.holder.options.Clock.Now()
	p.mu.Unlock()
	over := p.holder.overdrawn()
	p.mu.Lock()
	defer p.mu.Unlock()
	if over {
		p.stamped = before
		return false
	}
	settings := p.holder.options.Settings
	value, err := json.Marshal(holderRow{
		Incarnation: p.holder.options.Incarnation, StoreMs: storeMs, Before: p.before,
		// Rounded so that a successor counts no less than was released.
		ReleaseAfterMs:  settings.UnlockAfter.Milliseconds(),
		ReleaseWithinMs: settings.UnlockWithin.Milliseconds(),
	})
	if err != nil {
		panic(err) // the row type always encodes
	}
	p.row.Value = value
	return true
}

// withdraw removes the row if nothing is left to give back.
func (p *presence) withdraw(ctx context.Context, clean bool) error {
	if !clean {
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
