package conf

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/bus"
)

// maxFollowers bounds the routers that one relay confirms views for.
const maxFollowers = 10

// ranked orders the routers of one failure domain as its relays, the same at
// every router that knows the same members.
func ranked(peers []bus.Peer, domain string) []bus.ID {
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

// ownRelays returns the routers to ask for a view, the first one first: none
// in a small fleet or if this router is a relay itself.
func (k *Keeper) ownRelays() []bus.ID {
	if k.bus == nil {
		return nil
	}
	peers := k.bus.Peers()
	if len(peers)+1 <= k.settings.RelayThreshold {
		return nil
	}
	self := k.bus.Self()
	ids := ranked(append(slices.Clip(peers), self), self.Domain)
	return relaysOf(ids, slices.Index(ids, self.ID))
}

// relaysOf returns the relays of the router at a place in the order of its
// failure domain. The first routers of the order are the relays; each other
// one has two of them, so that the loss of one is bridged.
func relaysOf(ids []bus.ID, place int) []bus.ID {
	relays := (len(ids) + maxFollowers) / (maxFollowers + 1)
	if place < relays {
		return nil
	}
	first := ids[place%relays]
	second := ids[(place+1)%relays]
	if relays == 1 {
		second = ids[1] // which follows the relay itself, if place is not its own
	}
	if second == first || second == ids[place] {
		return []bus.ID{first}
	}
	return []bus.ID{first, second}
}

// planFor says how the waiting routers are reached. In a large fleet the
// first live router of each failure domain passes the push on; on a second
// try, when a relay may be the one that fails, all are reached directly.
func (k *Keeper) planFor(waiting []bus.Peer, attempt int) plan {
	var p plan
	if len(waiting) <= k.settings.RelayThreshold || attempt > 0 {
		for _, w := range waiting {
			p.direct = append(p.direct, w.ID)
		}
		return p
	}
	p.relayed = make(map[bus.ID][]bus.ID)
	self := k.bus.Self().Domain
	for _, domain := range domainsOf(waiting) {
		ids := ranked(waiting, domain)
		if domain == self {
			p.direct = append(p.direct, ids...)
			continue
		}
		p.relayed[ids[0]] = ids[1:]
	}
	return p
}

func domainsOf(peers []bus.Peer) []string {
	var domains []string
	for _, p := range peers {
		if !slices.Contains(domains, p.Domain) {
			domains = append(domains, p.Domain)
		}
	}
	return domains
}
