package budget

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
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
		age := b.holder.options.Settings.ReplicateAfter
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
	want := b.holder.options.Settings.Replicas
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
		b.holder.stats.BillsUnderReplicated.Add(int64(len(u.items)))
	} else {
		b.holder.stats.BillsReplicated.Add(int64(len(u.items)))
	}
	first := u.items[0].bill
	b.holder.record(event.BillCopied, Request{Account: first.Account}, 0,
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
