package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// A router that is lost for good has no successor on its VM that could reclaim its grants.
// A lender of the workspace does that once the holder has neither responded to
// messages nor sent a heartbeat for lostAfter. It fences the grant's row at the row's replicas
// and then reduces the grant to what the holder can have used at most: the activated
// tokens, or the newest extension. A holder that is cut off, and not dead, goes on with
// these, and learns of the rest with its next write, which finds another version of its row.
//
// If too few replicas are left to be fenced, routers of the holder's fleet that live on may show that it can use
// no inactive tokens; see consent.go.
//
// If a whole fleet is lost, no replica is left to be fenced. Routers that have started since then
// reclaim its grants once the store has responded to them for a while: what the holders can have used
// is what the outage before unlocked, see silence.go. As long as one router of the old fleet responds, they do not.
// Assumed: while the store responds to routers that have just started, there is no group with most of the
// routers that it replaces which is cut off from the store and from all new routers, but not in itself.

const (
	// lostAfter is how long a holder must not have responded before its grants are
	// reclaimed. A process that restarts on its VM meanwhile reclaims them itself.
	lostAfter = 4 * time.Second
	// reclaimFor is how long, from the first missing response of a holder on, requests
	// that its unspent tokens could serve are refused as busy, not as exhausted.
	reclaimFor = 20 * time.Second
	// probeInterval is the least time between two messages that test whether a router
	// responds, and probeTimeout bounds the wait for the response.
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// silenceShare is the part of the time without a response after which a holder is
	// probed, or its grant reclaimed, once more, between probeInterval and maxProbeInterval.
	silenceShare     = 0.25
	maxProbeInterval = time.Minute
	// replicaProbeInterval is the least time between two messages that test whether a
	// replica of this router's grants responds.
	replicaProbeInterval = 2 * time.Second
	// reclaimSpread is the time over which the lenders of a workspace spread the
	// reclaim of one grant.
	reclaimSpread = 500 * time.Millisecond
)

// kindProbe tests whether a holder responds.
const kindProbe bus.Kind = "prepaid.probe"

type probeRequest struct{}

// probeResponse says whether the router stops as planned.
type probeResponse struct {
	Leaving bool `cbor:"1,keyasint,omitempty"`
}

// lostGrant is a grant of a lost holder whose row is fenced.
type lostGrant struct {
	holder bus.ID
	row    rowstore.Row
	grant  grantRow
	// usable is how much of the grant the holder can use at most.
	usable int64
}

// silence is the state of a holder that does not respond.
type silence struct {
	since, probedAt time.Time
}

// retryInterval returns the least time until the holder is tried again.
func (s *silence) retryInterval(now time.Time) time.Duration {
	return min(max(time.Duration(silenceShare*float64(now.Sub(s.since))), probeInterval), maxProbeInterval)
}

// lostHolders follows the holders of grants that do not respond, and reclaims their
// grants.
type lostHolders struct {
	pool *Pool

	mu sync.Mutex // guards all fields below
	// grants are those of other holders, as far as is known, whose tokens may be reclaimed.
	grants map[grantID]bool
	silent map[bus.ID]*silence
	// reclaiming are the grants whose reclaim is under way.
	reclaiming map[grantID]bool
	// replicasProbedAt is when replicas were probed last.
	replicasProbedAt time.Time
	// survivorsAt is when routers of a lost holder's fleet responded last.
	survivorsAt time.Time
}

func (l *lostHolders) init(p *Pool) {
	l.pool, l.grants, l.silent, l.reclaiming = p, make(map[grantID]bool), make(map[bus.ID]*silence), make(map[grantID]bool)
	bus.Handle(p.options.Bus, kindProbe, func(context.Context, bus.ID, probeRequest) (probeResponse, error) {
		return probeResponse{Leaving: p.leaving()}, nil
	})
}

// noteGrants notes grants of other holders, from their rows.
func (h *Holder) noteGrants(workspace string, rows []rowstore.Row) {
	p := h.lends.Load()
	if p == nil {
		return
	}
	for _, row := range rows {
		if holder, ok := holderOf(row); ok {
			p.lost.note(grantID{workspace, holder}, true)
		}
	}
}

// holderOf returns the holder of a grant from its row.
func holderOf(row rowstore.Row) (bus.ID, bool) {
	name, found := strings.CutPrefix(row.Key.Name, grantPrefix)
	i := strings.LastIndexByte(name, '/')
	if !found || i < 0 {
		return bus.ID{}, false
	}
	return bus.ID{VM: name[:i], Incarnation: name[i+1:]}, true
}

// note notes whether a grant is open.
func (l *lostHolders) note(id grantID, open bool) {
	if id.holder == l.pool.options.Self.ID {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.grants[id] = true
	} else {
		delete(l.grants, id)
	}
}

// suspect notes that a holder did not respond.
func (l *lostHolders) suspect(id bus.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectLocked(id)
}

func (l *lostHolders) suspectLocked(id bus.ID) {
	if id != l.pool.options.Self.ID && l.silent[id] == nil {
		l.silent[id] = &silence{since: l.pool.options.Clock.Now()}
	}
}

// mayReclaim reports whether tokens of a holder that does not respond may come back.
func (l *lostHolders) mayReclaim(id bus.ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silent[id]
	return s != nil && l.pool.options.Clock.Now().Sub(s.since) < reclaimFor
}

// silentFor reports whether a router has not responded for a time.
func (l *lostHolders) silentFor(id bus.ID, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silent[id]
	return s != nil && l.pool.options.Clock.Now().Sub(s.since) >= d
}

// responding returns those of the routers that are not known to be silent.
func (l *lostHolders) responding(ids []bus.ID) []bus.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []bus.ID
	for _, id := range ids {
		if l.silent[id] == nil {
			list = append(list, id)
		}
	}
	return list
}

// check suspects holders that the fleet does not list as available, probes the suspected
// ones, and reclaims the grants of those that are silent for lostAfter.
func (l *lostHolders) check() {
	members, _ := l.pool.options.Fleet.Available()
	available := make(map[string]string, len(members)) // incarnations by VM
	for _, m := range members {
		available[m.ID.VM] = m.ID.Incarnation
	}
	now := l.pool.options.Clock.Now()
	var reclaimable []grantID
	l.mu.Lock()
	for id := range l.grants {
		incarnation, found := available[id.holder.VM]
		switch {
		case found && incarnation != id.holder.Incarnation:
			delete(l.grants, id) // a successor on the VM reclaims it
		case !found:
			l.suspectLocked(id.holder)
		}
	}
	for id, s := range l.silent {
		if incarnation, found := available[id.VM]; found && incarnation != id.Incarnation {
			delete(l.silent, id)
			continue
		}
		if now.Sub(s.probedAt) >= s.retryInterval(now) {
			s.probedAt = now
			l.pool.holder.tasks.Go(func() { l.probe(id) })
		}
	}
	for id := range l.grants {
		if s := l.silent[id.holder]; s != nil && now.Sub(s.since) >= lostAfter {
			reclaimable = append(reclaimable, id)
		}
	}
	l.mu.Unlock()
	if l.needsEvidence(now) {
		l.pool.contact.wakeUp()
	}
	for _, id := range reclaimable {
		if l.pool.isLender(id.workspace) {
			l.startReclaim(id)
		}
	}
}

// checkReplicas probes the replicas of this router's grants, and has the rows written
// again that name one that does not respond.
func (l *lostHolders) checkReplicas() {
	now := l.pool.options.Clock.Now()
	probe := now.Sub(l.replicasProbedAt) >= replicaProbeInterval
	if probe {
		l.replicasProbedAt = now
	}
	probed := make(map[bus.ID]bool)
	for _, a := range l.pool.holder.accounts.All() {
		a.mu.Lock()
		replicas := a.rowReplicas
		a.mu.Unlock()
		for _, id := range replicas {
			if probe && !probed[id] {
				probed[id] = true
				l.pool.holder.tasks.Go(func() { l.probe(id) })
			}
		}
		if renewed := a.holder.replicas(a.workspace); len(l.responding(replicas)) == len(replicas) || len(l.responding(renewed)) == 0 {
			continue
		}
		a.mu.Lock()
		a.renewReplicas = true
		a.startWriterLocked()
		a.mu.Unlock()
	}
}

// probe tests whether a router responds.
func (l *lostHolders) probe(id bus.ID) {
	ctx, cancel := context.WithTimeout(l.pool.holder.ctx, probeTimeout)
	defer cancel()
	response, err := bus.Call[probeRequest, probeResponse](ctx, l.pool.options.Bus, id, kindProbe, probeRequest{})
	if err == nil && response.Leaving {
		l.pool.contact.noteLeaving(id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.suspectLocked(id)
		return
	}
	delete(l.silent, id)
}

// startReclaim reclaims a grant of a lost holder, unless that is under way.
func (l *lostHolders) startReclaim(id grantID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silent[id.holder]
	if l.reclaiming[id] || s == nil {
		return
	}
	retryAfter := s.retryInterval(l.pool.options.Clock.Now())
	l.reclaiming[id] = l.pool.holder.tasks.Go(func() {
		_ = clock.Sleep(l.pool.holder.ctx, l.pool.options.Clock, rand.N(reclaimSpread))
		l.reclaim(id)
		_ = clock.Sleep(l.pool.holder.ctx, l.pool.options.Clock, retryAfter)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.reclaiming, id)
	})
}

// reclaim fences a grant and lets the account of its workspace reduce it.
func (l *lostHolders) reclaim(id grantID) {
	lost, err := l.fenceGrant(id)
	if err != nil {
		l.pool.options.Log.Info("grant of a lost router not reclaimed yet", "workspace", id.workspace, "holder", id.holder.String(), "err", err.Error())
		return
	}
	if lost == nil {
		l.note(id, false)
		return
	}
	a := l.pool.holder.account(id.workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lostGrants = slices.DeleteFunc(a.lostGrants, func(other lostGrant) bool { return other.row.Key == lost.row.Key })
	a.lostGrants = append(a.lostGrants, *lost)
	a.startWriterLocked()
}

// fenceGrant fences the row of a lost holder's grant. It returns nil if nothing can be
// reclaimed of it.
func (l *lostHolders) fenceGrant(id grantID) (*lostGrant, error) {
	ctx, cancel := context.WithTimeout(l.pool.holder.ctx, l.pool.holder.options.Settings.CallTimeout)
	defer cancel()
	snap, err := l.pool.holder.options.Store.Read(ctx, ledgerTable, id.workspace)
	if err != nil {
		return nil, fmt.Errorf("read grants: %w", err)
	}
	lost := lostGrant{holder: id.holder, row: rowOf(snap.Rows, id.key())}
	if err := decode(lost.row, &lost.grant); err != nil {
		return nil, err
	}
	lost.usable = lost.grant.Activated
	switch {
	case lost.grant.Granted <= lost.grant.Activated:
		return nil, nil
	case lost.grant.Era != snap.Era || l.pool.holder.eras.unconfirmed(lost.grant.Era):
		return nil, nil // the row is from a copy
	}
	last, err := l.readHeartbeat(ctx, id.holder)
	if err != nil {
		return nil, err
	}
	usable, fenced, err := l.fence(id, lost.grant)
	if err != nil {
		err = l.requireWithheld(id, lost.grant, last, err)
	}
	if err != nil && fenced == 0 {
		usable, err = l.usableWithoutReplicas(id, lost.grant, last, err)
	}
	lost.usable = min(max(lost.usable, usable), lost.grant.Granted)
	return &lost, err
}

// readHeartbeat reads the last heartbeat of the holder's VM. It returns an error if the holder has
// sent it lately.
func (l *lostHolders) readHeartbeat(ctx context.Context, holder bus.ID) (heartbeatRow, error) {
	snap, err := l.pool.holder.options.Store.Read(ctx, holdersTable, holder.VM)
	if err != nil {
		return heartbeatRow{}, fmt.Errorf("read heartbeat row of %s: %w", holder.VM, err)
	}
	var last heartbeatRow
	if err := decode(rowOf(snap.Rows, rowstore.Key{Table: holdersTable, Part: holder.VM, Name: heartbeatName}), &last); err != nil {
		return heartbeatRow{}, err
	}
	silent := snap.Now - time.Duration(last.StoreMs)*time.Millisecond
	if last.Incarnation == holder.Incarnation && silent < lostAfter {
		return heartbeatRow{}, fmt.Errorf("it has sent a heartbeat %d ms ago", silent.Milliseconds())
	}
	return last, nil
}

// reclaimsLostLocked reports whether the next write reclaims grants of lost holders.
func (a *account) reclaimsLostLocked() bool {
	return len(a.lostGrants) > 0 && !a.unconfirmedLocked()
}

// reclaimLost adds to a transaction the reduction of lost holders' grants.
func (a *account) reclaimLost(c *change) {
	for _, lost := range a.lostGrants {
		if !hasRoom(c.tx) {
			return // the next transaction reclaims the others
		}
		reduced := lost.grant
		reduced.Granted, reduced.Activated, reduced.Replicas = lost.usable, lost.usable, nil
		reduced.Spent, reduced.InUse = max(lost.grant.Spent, lost.usable), lost.usable
		reduced.Seq++
		c.total.Granted -= lost.grant.Granted - reduced.Granted
		c.total.Spent += reduced.Spent - lost.grant.Spent
		c.tx.Expect = append(c.tx.Expect, rowstore.Expect{Key: lost.row.Key, Version: lost.row.Version})
		c.tx.Put = append(c.tx.Put, rowstore.Put{Key: lost.row.Key, Value: encode(reduced)})
		c.lost = append(c.lost, lost)
	}
}

// lostReclaimedLocked updates the account after a transaction that has reclaimed grants of
// lost holders.
func (a *account) lostReclaimedLocked(c *change) {
	for _, lost := range c.lost {
		a.holder.stats.Reclaims.Add(1)
		a.holder.options.Log.Info("grant of a lost router reclaimed", "workspace", a.workspace, "holder", lost.holder.String(),
			"came_back", lost.grant.Granted-lost.usable, "kept", lost.usable, "reported_in_use", lost.grant.InUse, "seq", lost.grant.Seq)
		a.lostGrants = slices.DeleteFunc(a.lostGrants, func(other lostGrant) bool { return other.row.Key == lost.row.Key })
		a.holder.announce(grantRecord{
			Workspace: a.workspace, Holder: lost.holder, Seq: lost.grant.Seq + 1, Granted: lost.usable, OpenedMS: lost.grant.OpenedMs,
		})
	}
}

// versionUnknown is the version of a row that was not read.
const versionUnknown = -1

// dropChangedLostLocked drops the fenced grants whose rows have changed, since the fence
// does not hold for later rows. current returns the version of a row.
func (a *account) dropChangedLostLocked(current func(rowstore.Key) int64) {
	a.lostGrants = slices.DeleteFunc(a.lostGrants, func(lost lostGrant) bool {
		version := current(lost.row.Key)
		return lost.grant.Era != a.readEra || version != versionUnknown && version != lost.row.Version
	})
}
