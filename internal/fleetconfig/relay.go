package fleetconfig

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/bus"
)

// maxRoutersPerRelay is the largest number of other routers per relay in a failure
// domain. A relay is the first choice of about that many routers when they confirm
// their views.
const maxRoutersPerRelay = 10

// relayOrder returns the routers of one failure domain in the order in which they
// become relays. The order depends only on the set of routers, so it is the same
// at all routers that know the same members.
func relayOrder(peers []bus.Peer, domain string) []bus.ID {
	var ids []bus.ID
	for _, p := range peers {
		if p.Domain == domain {
			ids = append(ids, p.ID)
		}
	}
	slices.SortFunc(ids, func(a, b bus.ID) int {
		return cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String()))
	})
	return ids
}

// relays returns the relays from which this router requests views, in order of
// preference. There are none if the fleet has no more than RelayThreshold routers
// or if this router is a relay itself.
func (k *Keeper) relays() []bus.ID {
	if k.bus == nil {
		return nil
	}
	peers := k.bus.Peers()
	if len(peers)+1 <= k.settings.RelayThreshold {
		return nil
	}
	self := k.bus.Self()
	ids := relayOrder(append(slices.Clip(peers), self), self.Domain)
	return relaysFor(ids, slices.Index(ids, self.ID))
}

// relaysFor returns the relays of the router at a position in the relay order of
// its failure domain. The first routers of the order are the relays and have none
// themselves. Each other router has two, if there are enough routers, so that it
// can use the second one when the first one fails.
func relaysFor(ids []bus.ID, position int) []bus.ID {
	count := (len(ids) + maxRoutersPerRelay) / (maxRoutersPerRelay + 1)
	if position < count {
		return nil
	}
	first := ids[position%count]
	second := ids[(position+1)%count]
	if count == 1 {
		second = ids[1] // a router that itself uses the only relay; possibly the one at position
	}
	if second == first || second == ids[position] {
		return []bus.ID{first}
	}
	return []bus.ID{first, second}
}

// planPush plans how a push reaches the lagging routers. If there are more than
// RelayThreshold of them, the first one of each other failure domain relays the
// push to the rest of its domain. Retries reach all routers directly, because the
// relay may be what failed.
func (k *Keeper) planPush(lagging []bus.Peer, attempt int) pushPlan {
	var plan pushPlan
	if len(lagging) <= k.settings.RelayThreshold || attempt > 0 {
		for _, peer := range lagging {
			plan.direct = append(plan.direct, peer.ID)
		}
		return plan
	}
	plan.relayed = make(map[bus.ID][]bus.ID)
	localDomain := k.bus.Self().Domain
	for _, domain := range domainsOf(lagging) {
		ids := relayOrder(lagging, domain)
		if domain == localDomain {
			plan.direct = append(plan.direct, ids...)
			continue
		}
		plan.relayed[ids[0]] = ids[1:]
	}
	return plan
}

// domainsOf returns the distinct failure domains of peers, in order of appearance.
func domainsOf(peers []bus.Peer) []string {
	var domains []string
	for _, p := range peers {
		if !slices.Contains(domains, p.Domain) {
			domains = append(domains, p.Domain)
		}
	}
	return domains
}
