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

// Kinds of the messages between holders.
const (
	kindReplicate bus.Kind = "budget.copy"
	kindWritten   bus.Kind = "budget.written"
	kindFlush     bus.Kind = "budget.flush"
	kindRecall    bus.Kind = "budget.recall"
)

// replicateRequest asks a peer to store bills of Holder until they are
// written.
type replicateRequest struct {
	Holder bus.ID `cbor:"1,keyasint"`
	Bills  []bill `cbor:"2,keyasint"`
}

// writtenRequest tells a peer that the sender's bills up to number Last are
// written, so that their replicas can be deleted.
type writtenRequest struct {
	Last uint64 `cbor:"1,keyasint"`
}

// flushRequest asks a peer to write its replicas of a lost holder's bills.
type flushRequest struct {
	Incarnation string `cbor:"1,keyasint"`
}

// emptyResponse is a response without content.
type emptyResponse struct{}

// replicateTimeout bounds the request that sends one group to one peer.
const replicateTimeout = time.Second

// replicateLoop replicates the backlog to peers while the platform is
// unreachable, and otherwise the groups that were not written within
// ReplicateAfter.
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

// replicateBacklog replicates the groups of at least minAge that settlements
// wait for, and replaces replicas at peers that have left.
func (b *biller) replicateBacklog(minAge time.Duration) {
	peers := b.holder.replicaPeers()
	now := b.holder.options.Clock.Now()
	for _, g := range b.groupsToReplicate(peers) {
		if now.Sub(g.createdAt) >= minAge {
			b.replicateGroup(g, peers)
		}
	}
}

// groupsToReplicate returns the groups that may need replicas. It returns the
// whole backlog only if the peers have changed, since only then can a replica
// need replacing; otherwise a long backlog would be scanned at every call.
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

// replicateGroup sends a group to as many peers as the settings require and
// ends the settlements that need no more replicas. Replicas at peers that
// have left are replaced. A bill without a replica exists in this process
// only, and its tokens stay in doubt if the process dies; the grant policy
// decides whether its settlement waits for a replica.
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

// sendReplicas sends a group to peers that do not store it yet until want
// peers store it, and returns the peers that accepted it.
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

// recordReplication counts the bills of a group whose settlements were ended
// by replicas and records the event.
func (b *biller) recordReplication(g *billGroup, replicas, want int) {
	if replicas < want {
		b.holder.stats.BillsUnderReplicated.Add(int64(len(g.pending)))
	} else {
		b.holder.stats.BillsReplicated.Add(int64(len(g.pending)))
	}
	first := g.pending[0].bill
	b.holder.record(event.BillReplicated, Request{Account: first.Account}, 0,
		fmt.Sprintf("%d bills at %d peers", len(g.pending), replicas))
}

// idSet returns the ids as a set.
func idSet(ids []bus.ID) map[bus.ID]bool {
	set := make(map[bus.ID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// replicaPeers lists the peers in order of preference for replicas: first one
// of each other failure domain, then the others outside this holder's failure
// domain, and last those in it.
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

// announceWritten tells peers that bills up to last are written. A peer that
// misses the message writes its replicas again, which changes nothing.
func (h *LocalHolder) announceWritten(peers map[bus.ID]bool, last uint64) {
	for id := range peers {
		ctx, cancel := context.WithTimeout(h.ctx, h.options.Settings.CallTimeout)
		_, err := bus.Call[writtenRequest, emptyResponse](ctx, h.options.Bus, id, kindWritten, writtenRequest{Last: last})
		cancel()
		if err != nil {
			h.options.Log.Debug("peer could not be notified that its bill replicas are written, it writes them again later", "peer", id.String(), "err", err)
		}
	}
}
