package placement

import (
	"slices"
	"time"

	"daisyslip.dev/daisyslip/internal/endpoints"
)

// listVersion numbers the lists of endpoints of a pool. The number changes with the ids in
// the list, so that what is derived from them can be kept.
type listVersion struct {
	list    []endpoints.Endpoint
	version uint64
}

// update returns the version of a list, which must not be changed afterwards. It compares
// all ids only if the list is another slice than the last one.
func (v *listVersion) update(list []endpoints.Endpoint) uint64 {
	if len(list) == len(v.list) && &list[0] == &v.list[0] {
		return v.version
	}
	if !slices.EqualFunc(list, v.list, func(a, b endpoints.Endpoint) bool { return a.ID == b.ID }) {
		v.version++
	}
	v.list = list
	return v.version
}

const (
	// maxHomes is the number of homes that a prefix in high demand gets.
	maxHomes = 3
	// homeOrderLength is the number of endpoints that are kept of the order of homes:
	// the homes, the next one, and as many again for those that are ejected or have been
	// tried.
	homeOrderLength = 2 * (maxHomes + 1)
	// maxPrefixes bounds the prefixes whose state is kept. The known deployments have up
	// to 550; 48 bytes and the entry of the map are kept for each.
	maxPrefixes = 4096
	// prefixRetention is how long the state of an unused prefix is kept.
	prefixRetention = time.Minute
	// cachedFor is how long after a request an endpoint that is no home of the prefix is
	// taken to have it in its cache.
	cachedFor = 20 * time.Second
)

// prefixState is what the balancer keeps of a prefix.
type prefixState struct {
	version uint64 // of the list in which order has indices
	// order has the endpoints with the highest Rendezvous scores, in descending order.
	order     []int32
	homes     int
	changedAt time.Time // when homes changed
	usedAt    time.Time
	// nextID is the last endpoint that was used as the next home, at nextUsedAt.
	nextID     string
	nextUsedAt time.Time
}

// prefixKey identifies a prefix in a pool.
type prefixKey struct {
	pool     string
	affinity uint64
}

// homeOrder returns the indices of the endpoints with the highest Rendezvous scores, in
// descending order. It reuses order.
func homeOrder(list []endpoints.Endpoint, affinity uint64, order []int32) []int32 {
	var scores [homeOrderLength]uint64
	order = order[:0]
	for i, e := range list {
		score := Rendezvous(affinity, e.ID)
		if len(order) == homeOrderLength && score <= scores[homeOrderLength-1] {
			continue
		}
		at := len(order)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if len(order) < homeOrderLength {
			order = append(order, 0)
		}
		copy(order[at+1:], order[at:])
		copy(scores[at+1:], scores[at:])
		order[at], scores[at] = int32(i), score
	}
	return order
}

// prefixLocked returns the state of a prefix, with the order for a list of a version.
func (b *Balancer) prefixLocked(key prefixKey, list []endpoints.Endpoint, version uint64, now time.Time) *prefixState {
	p := b.prefixes[key]
	if p == nil {
		p = &prefixState{homes: 1}
		if len(b.prefixes) < maxPrefixes {
			b.prefixes[key] = p
		}
	}
	if p.order == nil || p.version != version {
		p.order, p.version = homeOrder(list, key.affinity, p.order), version
	}
	p.usedAt = now
	return p
}

// Bounds of the work at the homes of a prefix. A full endpoint has the work of Utilisation 1.
const (
	// spreadFactor is the work at each home, relative to the mean of the pool, above which
	// a prefix gets another home. Below it, other endpoints are hardly better.
	spreadFactor = 1.5
	// spreadUtilisation is the utilisation whose work must also be exceeded, since an
	// endpoint with free slots and an idle pool needs no second home.
	spreadUtilisation = 0.6
	// returnFactor is the part of that bound below which the work at the homes must fall
	// before a prefix loses one. A home takes up to half more work when one of three is
	// left out, so it must be less than two thirds.
	returnFactor = 0.5
	// spreadAfter and returnAfter are the times since the last change of the homes. The
	// first allows for reports that show the effect, the second exceeds the time for which
	// reports are used, so that a missing report does not end a home.
	spreadAfter = 500 * time.Millisecond
	returnAfter = 4 * time.Second
)

// NextHomes returns the number of homes that a prefix shall have, given the candidates that
// are its homes now.
//
// The load that it answers: a prefix in such demand that the work at its home exceeds what
// others have. It compares work and not requests, as prompts and outputs differ by factors.
// The homes stay those with the highest scores, so routers with reports of different age
// differ at most in the last home.
func NextHomes(homes []Candidate, sinceChange time.Duration, pool PoolMeans) int {
	if len(homes) == 0 {
		return 1
	}
	mean := Candidate{Capacity: homes[0].Capacity, UsualSlowness: pool.Slowness}
	full := pool
	full.Utilisation = spreadUtilisation
	bound := max(spreadFactor*WorkAt(mean, pool), WorkAt(mean, full))
	least, sum := WorkAt(homes[0], pool), 0.0
	for _, c := range homes {
		work := WorkAt(c, pool)
		least, sum = min(least, work), sum+work
	}
	switch {
	case least > bound && len(homes) < maxHomes && sinceChange >= spreadAfter:
		return len(homes) + 1
	case len(homes) > 1 && sum < returnFactor*bound*float64(len(homes)) && sinceChange >= returnAfter:
		return len(homes) - 1
	}
	return len(homes)
}
