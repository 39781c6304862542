package route

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/work"
)

// Configuration gives the revision in force.
type Configuration interface {
	Catalog() *catalog.Index
}

// Duties are what the routing duty uses.
type Dependencies struct {
	Config  Configuration
	Events  event.Recorder
	Metrics *metrics.Set
	Clock   clock.Clock
	Log     *slog.Logger
	// LeavingVMs reports whether the platform's list says that a VM is
	// leaving; nil if no list is read.
	LeavingVMs func(vm string) bool
	// Fresh returns why the configuration may not be served, or nil; nil if
	// it always may. A request may have waited in a queue since its router
	// last asked.
	ConfirmView func(ctx context.Context) error
	// Routers counts the routers that share the endpoints, this one included;
	// nil is one.
	Routers func() int
	// OnSlots learns how many of this router's requests a pool has room for;
	// 0 is unknown. It may be nil.
	OnSlots func(pool string, slots int)
	// Chooser takes one of several endpoints; nil is the prefix chooser.
	Chooser Chooser
}

// Router chooses endpoints. It is safe for concurrent use.
type Router struct {
	settings Settings
	duties   Dependencies
	metrics  *routeMetrics
	client   *http.Client

	mu     sync.Mutex // guards all below
	states map[string]*state
	pools  map[string]*pool
	// index is the configuration from which pools was made.
	index *catalog.Index
}

// NewRouter returns a router over the configuration in force.
func NewRouter(s Settings, d Dependencies) *Router {
	if d.Chooser == nil {
		d.Chooser = prefixChooser{loadBound: s.LoadBound}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.PollTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     s.ActiveTime,
	}
	return &Router{
		settings: s,
		duties:   d,
		metrics:  newRouteMetrics(d.Metrics),
		client:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		states:   make(map[string]*state),
		pools:    make(map[string]*pool),
	}
}

// refuseRedirect keeps a redirect from sending a request a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// PickModel chooses an endpoint for a generation, avoiding those tried.
func (r *Router) PickForModel(ctx context.Context, g *work.Generation, tried map[string]bool) (*Lease, error) {
	if err := r.confirm(ctx); err != nil {
		return nil, err
	}
	members := r.duties.Config.Catalog().ForModel(g.Workspace, g.Model)
	return r.pick(ctx, members, g.PrefixBlocks, tried, "model "+g.Model)
}

// PickService chooses an instance for a call, avoiding those tried.
func (r *Router) PickForService(ctx context.Context, c *work.Call, tried map[string]bool) (*Lease, error) {
	if err := r.confirm(ctx); err != nil {
		return nil, err
	}
	members := r.duties.Config.Catalog().ForService(c.Workspace, c.Service)
	return r.pick(ctx, members, nil, tried, "service "+c.Service)
}

// confirm returns why the configuration may not be served.
func (r *Router) confirm(ctx context.Context) error {
	if r.duties.ConfirmView == nil {
		return nil
	}
	return r.duties.ConfirmView(ctx)
}

// pick chooses among the endpoints that may get new work. An endpoint whose
// load report is too old is asked first, and is passed over if it does not
// answer.
func (r *Router) pick(ctx context.Context, members []*catalog.Member, prefixes []uint64, tried map[string]bool, what string) (*Lease, error) {
	passed := make(map[string]bool)
	stale := ""
	for {
		member := r.choose(members, prefixes, func(name string) bool { return tried[name] || passed[name] })
		if member == nil {
			break
		}
		if r.fresh(ctx, member) {
			if lease := r.lease(member, prefixes); lease != nil {
				return lease, nil
			}
		} else {
			stale = member.Name
		}
		passed[member.Name] = true
	}
	if stale != "" {
		return nil, failure.New(failure.StaleView, "choose endpoint", stale, "no endpoint that answers may serve "+what+" now").WithRetry(time.Second)
	}
	return nil, failure.New(failure.NoEndpoint, "choose endpoint", "", fmt.Sprintf("no endpoint may serve %s now", what)).WithRetry(time.Second)
}

// choose draws one of the endpoints that fit, or nil. Ejected endpoints are
// taken only if there is no other.
func (r *Router) choose(members []*catalog.Member, prefixes []uint64, excluded func(string) bool) *catalog.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.indexLocked()
	var fit, last []Candidate
	medians := make(map[*catalog.Pool]float64, 1)
	for _, m := range members {
		if excluded(m.Name) || r.leavingLocked(m) {
			continue
		}
		if _, known := medians[m.Pool]; !known {
			medians[m.Pool] = r.medianGapLocked(r.poolLocked(m))
		}
		candidate := r.candidateLocked(m, prefixes, medians[m.Pool])
		if r.stateLocked(m.Name).health == ejected {
			last = append(last, candidate)
			continue
		}
		fit = append(fit, candidate)
	}
	if len(fit) == 0 {
		fit = last
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[r.duties.Chooser.Choose(prefixes, fit)].Member
}

// candidateLocked describes an endpoint to the chooser; median is the gap
// between tokens of its pool.
func (r *Router) candidateLocked(m *catalog.Member, prefixes []uint64, median float64) Candidate {
	s := r.stateLocked(m.Name)
	slowness := 1.0
	if median > 0 && s.gaps >= r.settings.SlowSamples {
		slowness = max(1, s.gap/median)
	}
	return Candidate{Member: m, InFlight: s.inFlight, Load: s.load() * slowness, Slots: s.slots(m), CachedBlocks: s.cached.hits(prefixes)}
}

// leavingLocked reports whether the endpoint wants no new work, by its
// configuration, its own report or the platform's list.
func (r *Router) leavingLocked(m *catalog.Member) bool {
	if m.Leaving || r.stateLocked(m.Name).leaving {
		return true
	}
	return m.VM != "" && r.duties.LeavingVMs != nil && r.duties.LeavingVMs(m.VM)
}

// stateLocked returns the state of an endpoint, made on first use.
func (r *Router) stateLocked(name string) *state {
	s := r.states[name]
	if s == nil {
		s = &state{cached: newBlockSet(r.settings.CacheBlocks)}
		r.states[name] = s
	}
	return s
}

// indexLocked follows the configuration: it forgets endpoints that are gone
// and lists the members of each pool.
func (r *Router) indexLocked() {
	index := r.duties.Config.Catalog()
	if index == r.index {
		return
	}
	r.index = index
	for _, p := range r.pools {
		p.members = nil
	}
	for _, m := range index.Members() {
		p := r.poolLocked(m)
		p.members = append(p.members, m.Name)
	}
	for _, p := range r.pools {
		slices.Sort(p.members)
	}
	for name, s := range r.states {
		if index.Endpoint(name) == nil && s.inFlight == 0 {
			delete(r.states, name)
		}
	}
}

func (r *Router) poolLocked(m *catalog.Member) *pool {
	p := r.pools[m.Pool.Name]
	if p == nil {
		p = &pool{budget: retryBudget{share: r.settings.RetryShare, floor: r.settings.RetryFloor}}
		r.pools[m.Pool.Name] = p
	}
	return p
}
