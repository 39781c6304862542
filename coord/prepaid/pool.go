package prepaid

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// Fleet lists the routers that may lend tokens. Implementations are safe for
// concurrent use.
type Fleet interface {
	// Available returns the members that can be reached as far as is known,
	// including this one, and a number that changes with the list.
	Available() ([]Member, int64)
	// Suspect reports that a member did not respond in time.
	Suspect(id bus.ID)
}

// PoolOptions are the dependencies of a Pool.
type PoolOptions struct {
	Holder *Holder
	// Self is this router as a member of the fleet.
	Self  Member
	Bus   bus.Bus
	Fleet Fleet
	Clock clock.Clock
	Log   *slog.Logger
	// FirstStart is set if the whole fleet starts for the first time, so that there are no
	// grants of earlier routers.
	FirstStart bool
}

// Pool spends the budgets of workspaces as one fleet. A few routers, the lenders of a
// workspace, hold grants. The other routers reserve tokens at a lender for each
// request and settle there. A lender that does not respond, or has too few tokens,
// is followed by the next one; a router that reaches no lender draws a grant of its
// own. It is safe for concurrent use.
//
// Invariant: tokens that a lender has lent count as reserved in its grant until they
// are settled. So a borrower spends nothing that a lender's row does not cover,
// whatever becomes of either of them.
type Pool struct {
	options PoolOptions
	holder  *Holder
	loans   loans
	records records
	stats   PoolStats
	// extensions and consents are those of other routers' grants, and lost follows their holders. contact follows
	// whether the store responds, and relay is the holder's store.
	extensions extensions
	consents   consents
	lost       lostHolders
	contact    contact
	relay      relay

	// workspaces are those with a limit. Ranks of other workspaces are computed, too,
	// but their lenders prepare nothing.
	mu         sync.Mutex // guards the fields up to isolatedUntil
	workspaces []string
	ranks      map[string]workspaceRank
	// ranksVersion is the version of the list of members from which ranks were
	// computed.
	ranksVersion int64
	// exhausted are the workspaces whose lenders have lately refused a reservation
	// because the total is exhausted.
	exhausted map[string]exhaustion
	// isolatedUntil is until when this router takes its peers to be out of reach.
	isolatedUntil time.Time

	nextID  atomic.Uint64
	settler settler
}

// workspaceRank are the lenders of one workspace as of a version of the members.
type workspaceRank struct {
	lenders int      // number of lenders
	lender  bool     // this router is one of them
	order   []Member // in which this router asks for tokens; it may contain this router
	// witnesses are told of this router's draws. They do not contain this router.
	witnesses []Member
	candidate bool // this router may be a witness, like all in others
	others    []Member
}

// maxWitnesses bounds the number of witnesses of a draw. They are in different failure
// domains, like lenders.
const maxWitnesses = 4

// exhaustion is a total that had too few tokens for a reservation. Until a time,
// reservations of as many tokens or more are refused without asking a lender.
type exhaustion struct {
	tokens int64
	until  time.Time
}

// PoolStats are counters of a pool's work since its start.
type PoolStats struct {
	// Local, Borrowed and Fallback are reservations from this router's own grant as
	// a lender, from another lender, and from this router's own grant because no
	// lender had tokens or responded.
	Local, Borrowed, Fallback atomic.Int64
	// Hedged counts reservations for which a second lender was asked because the
	// first did not respond in time. Lent counts those made for other routers, and
	// Abandoned settlements that could not be delivered.
	Hedged, Lent, Abandoned atomic.Int64
}

// NewPool returns a pool and registers its handlers on the bus. Run must be called
// for it to settle what it borrows.
func NewPool(o PoolOptions) *Pool {
	p := &Pool{options: o, holder: o.Holder, ranks: make(map[string]workspaceRank), exhausted: make(map[string]exhaustion)}
	p.loans.init(p)
	p.records.init(p)
	p.extensions.init(p)
	p.consents.init(p)
	p.lost.init(p)
	p.contact.init(p)
	p.relay.init(p)
	p.settler.init(p)
	o.Holder.lends.Store(p)
	return p
}

// Stats returns the pool's counters, which keep changing.
func (p *Pool) Stats() *PoolStats { return &p.stats }

// HolderStats returns the counters of this router's own grants.
func (p *Pool) HolderStats() *Stats { return p.holder.Stats() }

// Run runs the holder and settles what this router has borrowed until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { p.holder.Run(ctx) })
	running.Go(func() { p.runMaintenance(ctx) })
	running.Go(func() { p.contact.run(ctx) })
	running.Wait()
}

const (
	// maintenanceInterval is the interval between two rounds of runMaintenance.
	maintenanceInterval = 500 * time.Millisecond
	// settleMembersFor is how long after its start a pool draws no tokens ahead of
	// need, since the members that started at the same time are not all known yet.
	settleMembersFor = 1500 * time.Millisecond
)

// runMaintenance prepares the workspaces of which this router has become a lender,
// and drops old loans, until ctx ends.
func (p *Pool) runMaintenance(ctx context.Context) {
	startedAt := p.options.Clock.Now()
	for clock.Sleep(ctx, p.options.Clock, maintenanceInterval) == nil {
		p.loans.prune()
		p.records.prune()
		p.records.exchange()
		p.lost.check()
		p.lost.checkReplicas()
		p.contact.probeVoters()
		if p.options.Clock.Now().Sub(startedAt) < settleMembersFor {
			continue
		}
		for _, workspace := range p.lentWorkspaces() {
			a := p.holder.account(workspace)
			a.checkLimit()
			a.check()
		}
	}
}

// SetWorkspaces sets the workspaces with a limit. Grants that a predecessor on this
// VM left for them are reclaimed, and the lenders among the routers draw grants.
func (p *Pool) SetWorkspaces(workspaces []string) {
	p.mu.Lock()
	p.workspaces = workspaces
	clear(p.ranks)
	p.mu.Unlock()
	p.holder.ReclaimFor(workspaces)
}

// LimitsChanged makes each account check its limit. Callers call it after a change
// of the configuration.
func (p *Pool) LimitsChanged() {
	p.mu.Lock()
	clear(p.ranks)
	clear(p.exhausted)
	p.mu.Unlock()
	p.holder.LimitsChanged()
}

// lentWorkspaces returns the workspaces of which this router is a lender.
func (p *Pool) lentWorkspaces() []string {
	p.mu.Lock()
	workspaces := p.workspaces
	p.mu.Unlock()
	var lent []string
	for _, workspace := range workspaces {
		if p.rank(workspace).lender {
			lent = append(lent, workspace)
		}
	}
	return lent
}

// rank returns the lenders of a workspace.
func (p *Pool) rank(workspace string) workspaceRank {
	members, version := p.options.Fleet.Available()
	p.mu.Lock()
	defer p.mu.Unlock()
	if version != p.ranksVersion {
		clear(p.ranks)
		p.ranksVersion = version
	}
	if r, found := p.ranks[workspace]; found {
		return r
	}
	limit, _ := p.holder.options.Limit(workspace)
	ranked := RankLenders(members, workspace, len(p.workspaces))
	domains := make(map[string]bool)
	for _, m := range members {
		domains[m.Domain] = true
	}
	lenders := LenderCount(limit.Tokens, len(domains))
	r := workspaceRank{lenders: lenders, order: borrowingOrder(ranked, lenders, p.options.Self)}
	for i, m := range ranked {
		if m.ID == p.options.Self.ID {
			r.lender, r.candidate = i < lenders, true
		} else {
			r.others = append(r.others, m)
		}
	}
	r.witnesses = r.others[:min(len(r.others), maxWitnesses)]
	p.ranks[workspace] = r
	return r
}

// isLender reports whether this router is a lender of the workspace.
func (p *Pool) isLender(workspace string) bool { return p.rank(workspace).lender }

// lenderCount returns the number of lenders of a workspace.
func (p *Pool) lenderCount(workspace string) int { return max(p.rank(workspace).lenders, 1) }

// Reserve sets tokens aside for a request of the workspace, at this router or at a
// lender. It first asks the lenders for tokens that they have or can draw at once.
// If none has enough, it waits for tokens at a lender that responded, and after a
// while also at this router if no lender reaches the store. The error wraps one of the errors of this package.
func (p *Pool) Reserve(ctx context.Context, workspace string, tokens int64) (*Reservation, error) {
	if p.holder.closing.Load() {
		return nil, fmt.Errorf("reserve for %s: %w", workspace, ErrClosed)
	}
	if p.knownExhausted(workspace, tokens) {
		p.holder.countError(ErrExhausted)
		return nil, fmt.Errorf("reserve %d tokens for %s: %w", tokens, workspace, ErrExhausted)
	}
	rank := p.rank(workspace)
	var answers []answer
	if !p.isolated() {
		asks := make([]ask, 0, len(rank.order))
		for _, m := range rank.order {
			asks = append(asks, ask{member: m, noWait: true})
		}
		answers = p.askInOrder(ctx, workspace, tokens, asks, quickTimeout)
		p.noteIsolation(answers)
	}
	if last := lastAnswer(answers); last.reservation == nil && !errors.Is(last.err, ErrExhausted) && ctx.Err() == nil {
		answers = p.askInOrder(ctx, workspace, tokens, p.waitingAsks(answers, rank.lender), lenderTimeout)
	}
	last := lastAnswer(answers)
	if last.reservation == nil {
		err := last.err
		if !isReservationError(err) {
			err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if errors.Is(err, ErrExhausted) {
			p.rememberExhausted(workspace, tokens)
		}
		p.holder.countError(err)
		return nil, fmt.Errorf("reserve %d tokens for %s: %w", tokens, workspace, err)
	}
	p.countServed(last.member, rank.lender)
	if last.member.ID == p.options.Self.ID && !rank.lender {
		p.options.Log.Info("no lender had tokens or responded, own grant used", "workspace", workspace, "tokens", tokens, "asked", len(answers))
	}
	return last.reservation, nil
}

// isolated reports whether no lender has responded lately.
func (p *Pool) isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.options.Clock.Now().Before(p.isolatedUntil)
}

// noteIsolation records that none of the lenders that were asked has responded.
func (p *Pool) noteIsolation(answers []answer) {
	for _, a := range answers {
		if !errors.Is(a.err, errNoResponse) {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolatedUntil = p.options.Clock.Now().Add(isolatedFor)
}

// knownExhausted reports whether a reservation is refused without asking a lender.
func (p *Pool) knownExhausted(workspace string, tokens int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, found := p.exhausted[workspace]
	return found && tokens >= e.tokens && p.options.Clock.Now().Before(e.until)
}

// rememberExhausted records that a total had too few tokens. It is remembered for as
// long as a lender remembers it.
func (p *Pool) rememberExhausted(workspace string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exhausted[workspace] = exhaustion{tokens: tokens, until: p.options.Clock.Now().Add(p.holder.options.Settings.ShortageFor)}
}

// countServed counts a reservation that a member made.
func (p *Pool) countServed(m Member, lender bool) {
	switch {
	case m.ID != p.options.Self.ID:
		p.stats.Borrowed.Add(1)
	case lender:
		p.stats.Local.Add(1)
	default:
		p.stats.Fallback.Add(1)
	}
}
