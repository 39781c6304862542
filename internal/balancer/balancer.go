package balancer

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
	"daisyslip.dev/daisyslip/internal/httplimit"
	"daisyslip.dev/daisyslip/internal/requests"
)

// Configuration provides the applied revision of the configuration.
type Configuration interface {
	// Catalog returns the index of the applied revision. The pointer changes
	// whenever another revision is applied.
	Catalog() *catalog.Index
}

// Dependencies are the components that a Balancer uses.
type Dependencies struct {
	Config  Configuration
	Events  event.Recorder
	Metrics *metrics.Set
	Clock   clock.Clock
	Log     *slog.Logger
	// LeavingVMs reports whether a VM is on the platform's list of leaving VMs.
	// It is nil if no list is read.
	LeavingVMs func(vm string) bool
	// ConfirmView returns an error if the configuration has not been confirmed
	// within its bound and must not be used. A nil function means that the
	// configuration may always be used. It is called for every choice, since a
	// request may have waited in a queue after the check at its arrival.
	ConfirmView func(ctx context.Context) error
	// Routers returns the number of routers that share the endpoints, including
	// this one. A nil function means one.
	Routers func() int
	// OnSlots is called after each round of polls with the number of this
	// router's requests that can run in a pool at once; 0 means unknown. It may
	// be nil.
	OnSlots func(pool string, slots int)
	// Chooser selects one of several endpoints. If it is nil, endpoints are
	// selected by cached prefix and load.
	Chooser Chooser
}

// Balancer chooses an endpoint for each attempt and tracks the load, speed, health
// and cached prefixes of the endpoints. It is safe for concurrent use.
type Balancer struct {
	settings Settings
	deps     Dependencies
	metrics  *balancerMetrics
	// pooledClient reuses idle connections; newConnClient opens a new one for each
	// request.
	pooledClient  *http.Client
	newConnClient *http.Client

	mu     sync.Mutex                // guards all fields below; held by callers of ...Locked methods
	states map[string]*endpointState // by endpoint name
	pools  map[string]*pool          // by pool name
	// index is the configuration from which the members of pools were built.
	index *catalog.Index
}

// New returns a balancer over the applied configuration. Polls and probes
// start with Run.
func New(s Settings, d Dependencies) *Balancer {
	if d.Chooser == nil {
		d.Chooser = prefixChooser{loadBound: s.LoadBound}
	}
	return &Balancer{
		settings:      s,
		deps:          d,
		metrics:       newBalancerMetrics(d.Metrics),
		pooledClient:  newClient(s, false),
		newConnClient: newClient(s, true),
		states:        make(map[string]*endpointState),
		pools:         make(map[string]*pool),
	}
}

// newClient returns a client for endpoints; with newConn it opens a new connection for
// each request.
func newClient(s Settings, newConn bool) *http.Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: s.PollTimeout}).DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        s.ActiveTime,
		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
		DisableKeepAlives:      newConn,
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// refuseRedirect returns a redirect response as it is, because following it would
// send the request a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// PickForModel chooses an endpoint for a generation among those that are not in
// tried, and assigns it. The error is a *failure.Error with the code StaleView or
// NoEndpoint, or the error of ConfirmView.
func (b *Balancer) PickForModel(ctx context.Context, g *requests.Generation, tried map[string]bool) (*Assignment, error) {
	if err := b.confirmView(ctx); err != nil {
		return nil, err
	}
	members := b.deps.Config.Catalog().ForModel(g.Workspace, g.Model)
	return b.pick(ctx, members, g.PrefixBlocks, tried, "model "+g.Model)
}

// PickForService chooses an instance of a plain service for a call among those that
// are not in tried, and assigns it. It returns the same errors as PickForModel.
func (b *Balancer) PickForService(ctx context.Context, c *requests.Call, tried map[string]bool) (*Assignment, error) {
	if err := b.confirmView(ctx); err != nil {
		return nil, err
	}
	members := b.deps.Config.Catalog().ForService(c.Workspace, c.Service)
	return b.pick(ctx, members, nil, tried, "service "+c.Service)
}

// confirmView returns an error if the configuration must not be used now.
func (b *Balancer) confirmView(ctx context.Context) error {
	if b.deps.ConfirmView == nil {
		return nil
	}
	return b.deps.ConfirmView(ctx)
}

// pick chooses and assigns one of the members. If the load report of the chosen
// endpoint is too old, a new one is requested first; an endpoint that does not
// respond is skipped. The target names the model or service in errors.
func (b *Balancer) pick(ctx context.Context, members []*catalog.Member, promptBlocks []uint64, tried map[string]bool, target string) (*Assignment, error) {
	rejected := make(map[string]bool)
	staleEndpoint := ""
	for {
		member := b.choose(members, promptBlocks, func(name string) bool { return tried[name] || rejected[name] })
		if member == nil {
			break
		}
		if b.ensureRecentReport(ctx, member) {
			if assignment := b.newAssignment(member, promptBlocks); assignment != nil {
				return assignment, nil
			}
		} else {
			staleEndpoint = member.Name
		}
		rejected[member.Name] = true
	}
	if staleEndpoint != "" {
		return nil, failure.New(failure.StaleView, "choose endpoint", staleEndpoint, "no endpoint that answers may serve "+target+" now").WithRetry(time.Second)
	}
	return nil, failure.New(failure.NoEndpoint, "choose endpoint", "", fmt.Sprintf("no endpoint may serve %s now", target)).WithRetry(time.Second)
}

// choose returns one of the members that are neither excluded nor leaving, or nil
// if there is none. Ejected endpoints are chosen only if there is no other.
func (b *Balancer) choose(members []*catalog.Member, promptBlocks []uint64, excluded func(string) bool) *catalog.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateIndexLocked()
	var serving, ejectedCandidates []Candidate
	medians := make(map[*catalog.Pool]float64, 1)
	for _, m := range members {
		if excluded(m.Name) || b.leavingLocked(m) {
			continue
		}
		if _, found := medians[m.Pool]; !found {
			medians[m.Pool] = b.medianGapLocked(b.poolLocked(m))
		}
		candidate := b.candidateLocked(m, promptBlocks, medians[m.Pool])
		if b.stateLocked(m.Name).health == ejected {
			ejectedCandidates = append(ejectedCandidates, candidate)
			continue
		}
		serving = append(serving, candidate)
	}
	if len(serving) == 0 {
		serving = ejectedCandidates
	}
	if len(serving) == 0 {
		return nil
	}
	return serving[b.deps.Chooser.Choose(promptBlocks, serving)].Member
}

// candidateLocked describes an endpoint to the chooser. The median is the pool's
// median gap between tokens in seconds, or 0 if unknown.
func (b *Balancer) candidateLocked(m *catalog.Member, promptBlocks []uint64, median float64) Candidate {
	s := b.stateLocked(m.Name)
	slowness := 1.0
	if median > 0 && s.gapSamples >= b.settings.SlowSamples {
		slowness = max(1, s.meanGap/median)
	}
	return Candidate{Member: m, InFlight: s.inFlight, Load: s.load() * slowness, Slots: s.slots(m), CachedBlocks: s.cached.cachedPrefixLen(promptBlocks)}
}

// leavingLocked reports whether the endpoint must get no new work: it is marked
// as leaving by the configuration, by its load report, or by the platform's list
// of leaving VMs.
func (b *Balancer) leavingLocked(m *catalog.Member) bool {
	if m.Leaving || b.stateLocked(m.Name).leaving {
		return true
	}
	return m.VM != "" && b.deps.LeavingVMs != nil && b.deps.LeavingVMs(m.VM)
}

// stateLocked returns the state of an endpoint and creates it on first use.
func (b *Balancer) stateLocked(name string) *endpointState {
	s := b.states[name]
	if s == nil {
		s = &endpointState{cached: newBlockSet(b.settings.CacheBlocks)}
		b.states[name] = s
	}
	return s
}

// updateIndexLocked applies a changed configuration: it rebuilds the members of
// each pool and deletes the state of removed endpoints that have no attempts in
// flight.
func (b *Balancer) updateIndexLocked() {
	index := b.deps.Config.Catalog()
	if index == b.index {
		return
	}
	b.index = index
	for _, p := range b.pools {
		p.members = nil
	}
	for _, m := range index.Members() {
		p := b.poolLocked(m)
		p.members = append(p.members, m.Name)
	}
	for _, p := range b.pools {
		slices.Sort(p.members)
	}
	for name, s := range b.states {
		if index.Endpoint(name) == nil && s.inFlight == 0 {
			delete(b.states, name)
		}
	}
}

// poolLocked returns the state of m's pool and creates it on first use.
func (b *Balancer) poolLocked(m *catalog.Member) *pool {
	p := b.pools[m.Pool.Name]
	if p == nil {
		p = &pool{budget: retryBudget{share: b.settings.RetryShare, floor: b.settings.RetryFloor}}
		b.pools[m.Pool.Name] = p
	}
	return p
}
