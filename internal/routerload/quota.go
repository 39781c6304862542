package routerload

import (
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// Notice tells other routers that readiness is withdrawn, or no longer.
type Notice struct {
	Withdrawn bool   `cbor:"1,keyasint"`
	Domain    string `cbor:"2,keyasint"`
	// Order is a random number that decides between withdrawals that begin at the same time.
	Order uint32 `cbor:"3,keyasint"`
}

// Bounds on the withdrawals of several routers.
const (
	// domainShare is the share of the listed routers of a failure domain that may be
	// withdrawn at the same time. The load balancer uses all of them again once fewer than
	// half are in rotation.
	domainShare = 1.0 / 4
	// fleetShare is the share of the time that the routers of the fleet may be withdrawn,
	// averaged over them and over fleetWindow.
	fleetShare  = 1.0 / 8
	fleetWindow = time.Minute
	// maxStarts is the number of withdrawals of the whole fleet that may begin in startWindow.
	// Each is two observations, which every router sends to up to nine others with 380
	// routers, so that the bound of 3 KB/s for the messages of one router is kept.
	maxStarts   = 8
	startWindow = 10 * time.Second
)

// NoticeRetention is how long the notices of a router are of use.
const NoticeRetention = fleetWindow + maxWithdrawn

// Fleet is what a router knows of the members.
type Fleet struct {
	// Listed are all routers with a row, this one included, and DomainSize is the number of
	// them in the failure domain of this router.
	Listed     []bus.ID
	DomainSize int
}

// Quota bounds the withdrawals of the routers that know of one another. It is not safe for
// concurrent use.
type Quota struct {
	self    bus.ID
	domain  string
	periods map[bus.ID][]period
	// shortest is how long a withdrawal lasts at least.
	shortest time.Duration
}

// period is a withdrawal of one router.
type period struct {
	domain   string
	order    uint32
	from, to time.Time // to is at most maxWithdrawn after from
	returned bool      // to is when the router returned
}

// NewQuota returns the quota of a router in a failure domain.
func NewQuota(self bus.ID, domain string) *Quota {
	return &Quota{self: self, domain: domain, periods: make(map[bus.ID][]period), shortest: minWithdrawn}
}

// Record records the notice of a router that was made at a time.
func (q *Quota) Record(origin bus.ID, n Notice, at time.Time) {
	list := q.periods[origin]
	last := len(list) - 1
	switch {
	case n.Withdrawn:
		if last >= 0 && at.Before(list[last].to) {
			list[last].to = at // the notice of its return was lost
		}
		list = append(list, period{domain: n.Domain, order: n.Order, from: at, to: at.Add(maxWithdrawn)})
	case last >= 0 && !list[last].returned && at.Before(list[last].to):
		list[last].to, list[last].returned = at, true
	}
	q.periods[origin] = list
	q.prune(at)
}

// prune drops the periods that ended before fleetWindow.
func (q *Quota) prune(now time.Time) {
	for origin, list := range q.periods {
		list = slices.DeleteFunc(list, func(p period) bool { return now.Sub(p.to) > fleetWindow })
		if q.periods[origin] = list; len(list) == 0 {
			delete(q.periods, origin)
		}
	}
}

// before reports whether a withdrawal of another router precedes that of this one. Notices take
// a time to arrive, so the order of two that begin within claimTime is decided by Order, which
// both routers compare in the same way. A router does not begin within claimTime of one that it
// knows of, so all that do have begun before they heard of one another, and one order over them
// decides as long as notices take less than half of claimTime.
func (p period) before(origin, self bus.ID, w Withdrawal) bool {
	switch d := p.from.Sub(w.Since); {
	case !w.Withdrawn || d <= -claimTime:
		return true
	case d >= claimTime:
		return false
	}
	return p.order < w.Order || p.order == w.Order && origin.String() < self.String()
}

// Allows reports whether this router may be withdrawn at the time now, with w as its present
// state: a router that is withdrawn ignores those that follow it, so that of several that
// begin at the same time some stay withdrawn. The second result is why not, for the log.
func (q *Quota) Allows(now time.Time, w Withdrawal, fleet Fleet) (bool, string) {
	if fleet.DomainSize <= 1 {
		return false, "only router of its domain"
	}
	others, claims, starts, total := 0, 0, 0, time.Duration(0)
	for origin, list := range q.periods {
		if origin != q.self && !slices.Contains(fleet.Listed, origin) {
			continue
		}
		for _, p := range list {
			if from, to := later(p.from, now.Add(-fleetWindow)), q.endOf(p, now); to.After(from) {
				total += to.Sub(from)
			}
			if now.Sub(p.from) < startWindow {
				starts++
			}
			if origin != q.self && p.domain == q.domain && now.Before(p.to) && p.before(origin, q.self, w) {
				others++
				if now.Sub(p.from) < claimTime {
					claims++
				}
			}
		}
	}
	share := time.Duration(fleetShare * float64(fleetWindow) * float64(len(fleet.Listed)))
	switch {
	case others >= max(int(domainShare*float64(fleet.DomainSize)), 1):
		return false, "quota of the domain"
	case w.Withdrawn && now.Sub(w.Since) >= q.shortest && total >= share:
		return false, "time withdrawn of the fleet"
	case w.Withdrawn:
		return true, ""
	case claims > 0:
		return false, "another router of the domain withdraws now"
	case starts >= maxStarts:
		return false, "withdrawals in a short time"
	case total+q.shortest > share:
		return false, "time withdrawn of the fleet"
	}
	return true, ""
}

// endOf returns until when a period counts at the time now: if it goes on, until the router may
// return.
func (q *Quota) endOf(p period, now time.Time) time.Time {
	if p.returned || !now.Before(p.to) {
		return p.to
	}
	return later(now, p.from.Add(q.shortest))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
