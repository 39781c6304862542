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
	kindReplicate bus.Kind = "budget.copy"
	kindWritten   bus.Kind = "budget.written"
	kindFlush     bus.Kind = "budget.flush"
	kindRecall    bus.Kind = "budget.recall"
)

// copyRequest asks a peer to keep bills of a holder until they are written.
type replicateRequest struct {
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
type emptyResponse struct{}

// copyTimeout bounds one copy to one peer.
const replicateTimeout = time.Second

// copyUnits copies the backlog to peers while the platform is away, and what
// the platform takes long to write.
func (b *biller) replicateLoop() {
	for {
		select {
		case <-b.holder.ctx.Done():
			return
		case <-b.replicatorWake:
		case <-b.holder.options.Clock.After(platformRetryInterval / 2):
		}
		minAge := b.holder.options.Settings.ReplicateAfter
		if b.platformUnreachable() {
			minAge = 0
		}
		b.replicateBacklog(minAge)
	}
}

// copyBacklog copies the units of at least some age that settlements wait
// for, and replaces copies whose keeper has left.
func (b *biller) replicateBacklog(minAge time.Duration) {
	peers := b.holder.replicaPeers()
	now := b.holder.options.Clock.Now()
	for _, g := range b.groupsToReplicate(peers) {
		if now.Sub(g.createdAt) >= minAge {
			b.replicateGroup(g, peers)
		}
	}
}

// lacking returns the units that need copies. Copies need replacing only when
// the peers have changed, so that a long backlog is not looked through often.
func (b *biller) groupsToReplicate(peers []bus.Peer) []*billGroup {
	b.mu.Lock()
	defer b.mu.Unlock()
	if changed := !slices.Equal(peers, b.peers); changed {
		b.peers = peers
		return slices.Clone(b.backlog)
	}
	first := len(b.backlog)
	for first > 0 && !b.backlog[first-1].notified {
		first--
	}
	return slices.Clone(b.backlog[first:])
}

// copyUnit gives a unit to as many peers as the settings ask for and tells
// its settlements; a copy whose keeper has left is replaced. A bill that found
// no peer is in this process only, and its tokens stay in doubt if the process
// dies; the lean says whether its settlement waits.
func (b *biller) replicateGroup(g *billGroup, peers []bus.Peer) {
	b.mu.Lock()
	notified, written := g.notified, g.written
	keeping := slices.DeleteFunc(slices.Clone(g.replicas), func(id bus.ID) bool {
		return !slices.ContainsFunc(peers, func(p bus.Peer) bool { return p.ID == id })
	})
	b.mu.Unlock()
	want := b.holder.options.Settings.Replicas
	if written || notified && len(keeping) >= want {
		return
	}
	added := b.sendReplicas(g, peers, keeping, want)
	b.mu.Lock()
	g.replicas = append(keeping, added...)
	g.notifyReplicated()
	nowNotified, replicaCount := g.notified && !notified, len(g.replicas)
	written = g.written
	b.mu.Unlock()
	if written {
		b.holder.announceWritten(idSet(added), g.pending[len(g.pending)-1].bill.Number)
	}
	if nowNotified {
		b.recordReplication(g, replicaCount, want)
	}
}

// sendCopies gives a unit to peers beyond those that keep it, and returns the
// ones that took it.
func (b *biller) sendReplicas(g *billGroup, peers []bus.Peer, keeping []bus.ID, want int) []bus.ID {
	var added []bus.ID
	for _, peer := range peers {
		if len(keeping)+len(added) >= want {
			break
		}
		if slices.Contains(keeping, peer.ID) {
			continue
		}
		ctx, cancel := context.WithTimeout(b.holder.ctx, replicateTimeout)
		_, err := bus.Call[replicateRequest, emptyResponse](ctx, b.holder.options.Bus, peer.ID, kindReplicate, replicateRequest{Holder: b.holder.self.ID, Bills: g.bills()})
		cancel()
		if err == nil {
			added = append(added, peer.ID)
		}
	}
	return added
}

func (b *biller) recordReplication(g *billGroup, replicas, want int) {
	if replicas < want {
		b.holder.stats.BillsUnderReplicated.Add(int64(len(g.pending)))
	} else {
		b.holder.stats.BillsReplicated.Add(int64(len(g.pending)))
	}
	first := g.pending[0].bill
	b.holder.record(event.BillCopied, Request{Account: first.Account}, 0,
		fmt.Sprintf("%d bills at %d peers", len(g.pending), replicas))
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
func (h *LocalHolder) replicaPeers() []bus.Peer {
	peers := h.options.Bus.Peers()
	seenDomains := map[string]bool{h.self.Domain: true}
	rank := make(map[bus.ID]int)
	for _, p := range peers {
		switch {
		case !seenDomains[p.Domain]:
			rank[p.ID] = 0
		case p.Domain != h.self.Domain:
			rank[p.ID] = 1
		default:
			rank[p.ID] = 2
		}
		seenDomains[p.Domain] = true
	}
	slices.SortStableFunc(peers, func(x, y bus.Peer) int { return cmp.Compare(rank[x.ID], rank[y.ID]) })
	return peers
}

// forgetCopies tells peers that copies up to last are written. One that does
// not hear it writes them again, which changes nothing.
func (h *LocalHolder) announceWritten(peers map[bus.ID]bool, last uint64) {
	for id := range peers {
		ctx, cancel := context.WithTimeout(h.ctx, h.options.Settings.CallTimeout)
		_, err := bus.Call[writtenRequest, emptyResponse](ctx, h.options.Bus, id, kindWritten, writtenRequest{Last: last})
		cancel()
		if err != nil {
			h.options.Log.Debug("Peer keeps written copies.", "peer", id.String(), "err", err)
		}
	}
}
