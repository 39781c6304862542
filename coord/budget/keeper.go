package budget

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// copyKeeper keeps bills of other holders and writes those of lost ones.
type copyKeeper struct {
	holder *LocalHolder

	mu      sync.Mutex // guards all below
	kept    map[bus.ID][]keptUnit
	size    int
	missing map[bus.ID]time.Time // since when a holder is no member
}

// keptUnit is a unit of another holder's bills.
type keptUnit struct {
	bills []bill
	since time.Time
}

func newCopyKeeper(h *LocalHolder) *copyKeeper {
	return &copyKeeper{holder: h, kept: make(map[bus.ID][]keptUnit), missing: make(map[bus.ID]time.Time)}
}

// lostAfter is how long a holder must be missing before its peers write its
// bills. Writing early is harmless.
const lostAfter = 3 * time.Second

// staleAfter is how long a copy is kept before it is written although its
// holder lives; its holder may have forgotten who keeps it.
const staleAfter = 15 * time.Minute

// errCopiesFull: the peer keeps as many bills as it may.
var errCopiesFull = errors.New("no room for copies of bills")

func (k *copyKeeper) keep(from bus.ID, bills []bill) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder.closing.Load() || k.size+len(bills) > k.holder.options.Settings.MaxUnwritten {
		return errCopiesFull
	}
	k.size += len(bills)
	k.kept[from] = append(k.kept[from], keptUnit{bills: bills, since: k.holder.options.Clock.Now()})
	return nil
}

// drop forgets the copies of a holder up to the bill numbered last.
func (k *copyKeeper) drop(from bus.ID, last uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var rest []keptUnit
	for _, unit := range k.kept[from] {
		if unit.bills[len(unit.bills)-1].Number <= last {
			k.size -= len(unit.bills)
			continue
		}
		rest = append(rest, unit)
	}
	k.kept[from] = rest
	if len(rest) == 0 {
		delete(k.kept, from)
	}
}

// run writes the copies of lost holders until the holder stops.
func (k *copyKeeper) run() {
	for clock.Sleep(k.holder.ctx, k.holder.options.Clock, platformPause) == nil {
		for _, id := range k.lost() {
			if err := k.write(k.holder.ctx, id); err != nil {
				k.holder.options.Log.Debug("Copies wait for the platform.", "peer", id.String(), "err", err)
			}
		}
	}
}

// lost lists the holders of copies that have been missing long enough.
func (k *copyKeeper) lost() []bus.ID {
	live := make(map[bus.ID]bool)
	for _, p := range k.holder.options.Bus.Peers() {
		live[p.ID] = true
	}
	now := k.holder.options.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var lost []bus.ID
	for id, units := range k.kept {
		if live[id] {
			delete(k.missing, id)
			if now.Sub(units[0].since) >= staleAfter {
				lost = append(lost, id)
			}
			continue
		}
		if _, known := k.missing[id]; !known {
			k.missing[id] = now
		}
		if now.Sub(k.missing[id]) >= lostAfter {
			lost = append(lost, id)
		}
	}
	slices.SortFunc(lost, func(a, b bus.ID) int { return cmp.Compare(a.String(), b.String()) })
	return lost
}

// write writes the copies of one holder, each unit in a row of its own that
// two peers can only write once.
func (k *copyKeeper) write(ctx context.Context, id bus.ID) error {
	k.mu.Lock()
	units := slices.Clone(k.kept[id])
	k.mu.Unlock()
	for _, unit := range units {
		bills := unit.bills
		ctx, cancel := context.WithTimeout(ctx, k.holder.options.Settings.CallTimeout)
		w := &batchWrite{
			table: k.holder.options.Table, maxReplays: k.holder.options.Settings.MaxReplays,
			holder: id.String(), incarnation: id.Incarnation,
			key: copyKey(id.Incarnation, bills[0].Number), bills: bills,
		}
		err := w.try(ctx)
		if errors.Is(err, ErrFenced) {
			err = w.writeLate(ctx)
		}
		cancel()
		if err != nil {
			return err
		}
		k.drop(id, bills[len(bills)-1].Number)
	}
	return nil
}

// flush writes the copies of an incarnation at once.
func (k *copyKeeper) flush(ctx context.Context, incarnation string) error {
	k.mu.Lock()
	var ids []bus.ID
	for id := range k.kept {
		if id.Incarnation == incarnation {
			ids = append(ids, id)
		}
	}
	k.mu.Unlock()
	for _, id := range ids {
		if err := k.write(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// handOver gives the copies to a peer that stays, before this holder stops.
func (k *copyKeeper) handOver(ctx context.Context) error {
	k.mu.Lock()
	kept := maps.Clone(k.kept)
	k.mu.Unlock()
	var failed error
	for id, units := range kept {
		for _, unit := range units {
			if err := k.giveAway(ctx, copyRequest{Holder: id, Bills: unit.bills}); err != nil {
				failed = errors.Join(failed, err)
				continue
			}
			k.drop(id, unit.bills[len(unit.bills)-1].Number)
		}
	}
	return failed
}

// giveAway gives one unit to the first peer that takes it.
func (k *copyKeeper) giveAway(ctx context.Context, req copyRequest) error {
	err := errors.New("no peer to hand bills to")
	for _, p := range k.holder.copyPeers() {
		if p.ID == req.Holder {
			continue
		}
		if _, err = bus.Call[copyRequest, done](ctx, k.holder.options.Bus, p.ID, kindCopy, req); err == nil {
			return nil
		}
	}
	return fmt.Errorf("hand over bills of %s: %w", req.Holder, err)
}

// FlushCopies writes the copies that this holder and its peers keep of a lost
// holder's bills, so that a settlement counts them. An error names the peers
// that did not answer.
func (h *LocalHolder) FlushReplicas(ctx context.Context, incarnation string) error {
	err := h.copies.flush(ctx, incarnation)
	for _, p := range h.options.Bus.Peers() {
		_, failed := bus.Call[flushRequest, done](ctx, h.options.Bus, p.ID, kindFlush, flushRequest{Incarnation: incarnation})
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("flush copies at %s: %w", p.ID, failed))
		}
	}
	return err
}
