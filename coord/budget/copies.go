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
	"daisyslip.dev/daisyslip/coord/event"
)

// Kinds of the requests between holders.
const (
	kindCopy    bus.Kind = "budget.copy"
	kindWritten bus.Kind = "budget.written"
	kindFlush   bus.Kind = "budget.flush"
	kindRecall  bus.Kind = "budget.recall"
)

// copyRequest asks a peer to keep bills of a holder until they are written.
type copyRequest struct {
	Holder bus.ID `cbor:"1,keyasint"`
	Bills  []bill `cbor:"2,keyasint"`
}

// writtenRequest says that the sender's bills up to Last are written.
type writtenRequest struct {
	Last uint64 `cbor:"1,keyasint"`
}

// flushRequest asks a peer to write its copies of a lost holder's bills.
type flushRequest struct {
	Incarnation string `cbor:"1,keyasint"`
}

// done is the answer that carries nothing.
type done struct{}

// copyTimeout bounds one copy to one peer.
const copyTimeout = time.Second

// copyUnits copies the backlog to peers while the platform is away, and what
// the platform takes long to write.
func (b *biller) copyUnits() {
	for {
		select {
		case <-b.holder.ctx.Done():
			return
		case <-b.copyWake:
		case <-b.holder.options.Clock.After(platformPause / 2):
		}
		age := b.holder.options.Settings.CopyAfter
		if b.away() {
			age = 0
		}
		b.copyBacklog(age)
	}
}

// copyBacklog copies the units of at least some age that settlements wait
// for, and replaces copies whose keeper has left.
func (b *biller) copyBacklog(age time.Duration) {
	peers := b.holder.copyPeers()
	now := b.holder.options.Clock.Now()
	for _, u := range b.lacking(peers) {
		if now.Sub(u.since) >= age {
			b.copyUnit(u, peers)
		}
	}
}

// lacking returns the units that need copies. Copies need replacing only when
// the peers have changed, so that a long backlog is not looked through often.
func (b *biller) lacking(peers []bus.Peer) []*unit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if changed := !slices.Equal(peers, b.peers); changed {
		b.peers = peers
		return slices.Clone(b.backlog)
	}
	first := len(b.backlog)
	for first > 0 && !b.backlog[first-1].told {
		first--
	}
	return slices.Clone(b.backlog[first:])
}

// copyUnit gives a unit to as many peers as the settings ask for and tells
// its settlements; a copy whose keeper has left is replaced. A bill that found
// no peer is in this process only, and its tokens stay in doubt if the process
// dies; the lean says whether its settlement waits.
func (b *biller) copyUnit(u *unit, peers []bus.Peer) {
	b.mu.Lock()
	told, written := u.told, u.written
	kept := slices.DeleteFunc(slices.Clone(u.copied), func(id bus.ID) bool {
		return !slices.ContainsFunc(peers, func(p bus.Peer) bool { return p.ID == id })
	})
	b.mu.Unlock()
	want := b.holder.options.Settings.Copies
	if written || told && len(kept) >= want {
		return
	}
	fresh := b.sendCopies(u, peers, kept, want)
	b.mu.Lock()
	u.copied = append(kept, fresh...)
	u.tellCopied()
	settled, copies := u.told && !told, len(u.copied)
	written = u.written
	b.mu.Unlock()
	if written {
		b.holder.forgetCopies(idSet(fresh), u.items[len(u.items)-1].bill.Number)
	}
	if settled {
		b.reportCopies(u, copies, want)
	}
}

// sendCopies gives a unit to peers beyond those that keep it, and returns the
// ones that took it.
func (b *biller) sendCopies(u *unit, peers []bus.Peer, kept []bus.ID, want int) []bus.ID {
	var fresh []bus.ID
	for _, peer := range peers {
		if len(kept)+len(fresh) >= want {
			break
		}
		if slices.Contains(kept, peer.ID) {
			continue
		}
		ctx, cancel := context.WithTimeout(b.holder.ctx, copyTimeout)
		_, err := bus.Call[copyRequest, done](ctx, b.holder.options.Bus, peer.ID, kindCopy, copyRequest{Holder: b.holder.self.ID, Bills: u.bills()})
		cancel()
		if err == nil {
			fresh = append(fresh, peer.ID)
		}
	}
	return fresh
}

func (b *biller) reportCopies(u *unit, copies, want int) {
	if copies < want {
		b.holder.stats.BillsUncopied.Add(int64(len(u.items)))
	} else {
		b.holder.stats.BillsCopied.Add(int64(len(u.items)))
	}
	first := u.items[0].bill
	b.holder.record(event.BillCopied, Request{Account: first.Account, Key: first.Key}, 0,
		fmt.Sprintf("%d bills at %d peers", len(u.items), copies))
}

func idSet(ids []bus.ID) map[bus.ID]bool {
	set := make(map[bus.ID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// copyPeers lists the peers for copies: one of each other failure domain
// first, then the others, and last those of the own domain.
func (h *LocalHolder) copyPeers() []bus.Peer {
	peers := h.options.Bus.Peers()
	seen := map[string]bool{h.self.Domain: true}
	rank := make(map[bus.ID]int)
	for _, p := range peers {
		switch {
		case !seen[p.Domain]:
			rank[p.ID] = 0
		case p.Domain != h.self.Domain:
			rank[p.ID] = 1
		default:
			rank[p.ID] = 2
		}
		seen[p.Domain] = true
	}
	slices.SortStableFunc(peers, func(x, y bus.Peer) int { return cmp.Compare(rank[x.ID], rank[y.ID]) })
	return peers
}

// forgetCopies tells peers that copies up to last are written. One that does
// not hear it writes them again, which changes nothing.
func (h *LocalHolder) forgetCopies(holders map[bus.ID]bool, last uint64) {
	for id := range holders {
		ctx, cancel := context.WithTimeout(h.ctx, h.options.Settings.CallTimeout)
		_, err := bus.Call[writtenRequest, done](ctx, h.options.Bus, id, kindWritten, writtenRequest{Last: last})
		cancel()
		if err != nil {
			h.options.Log.Debug("Peer keeps written copies.", "peer", id.String(), "err", err)
		}
	}
}

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
func (h *LocalHolder) FlushCopies(ctx context.Context, incarnation string) error {
	err := h.copies.flush(ctx, incarnation)
	for _, p := range h.options.Bus.Peers() {
		_, failed := bus.Call[flushRequest, done](ctx, h.options.Bus, p.ID, kindFlush, flushRequest{Incarnation: incarnation})
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("flush copies at %s: %w", p.ID, failed))
		}
	}
	return err
}
