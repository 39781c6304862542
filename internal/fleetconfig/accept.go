package fleetconfig

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
)

// maxClockDrift is the largest assumed difference between the rates of the
// monotonic clocks of two VMs, as a fraction of the elapsed time.
const maxClockDrift = 0.01

// The time between two pushes starts at Settings.PushInterval and doubles up to
// maxPushIntervalDoublings times, but never exceeds maxPushInterval.
const (
	maxPushInterval          = 2 * time.Second
	maxPushIntervalDoublings = 8
)

// maxTrackedRevisions bounds the number of revisions whose commit time is kept.
const maxTrackedRevisions = 1024

// acceptanceTracker tracks which committed revisions have been accepted, that
// is, acknowledged by every live router or old enough that no router can still
// serve an earlier one. It is safe for concurrent use.
type acceptanceTracker struct {
	wake chan struct{} // wakes runAcceptance when a revision is tracked

	mu       sync.Mutex // guards all fields below
	target   int64      // the newest tracked revision
	accepted int64      // the newest accepted revision
	// committedBy maps a revision that is not accepted yet to a time at which
	// it was known to be committed.
	committedBy map[int64]time.Time
	acks        map[bus.ID]int64 // the newest revision each router acknowledged
	waitingFor  []string         // VMs that have not acknowledged target
	changed     chan struct{}    // closed and replaced by each update
}

func newAcceptanceTracker() *acceptanceTracker {
	return &acceptanceTracker{
		wake: make(chan struct{}, 1), committedBy: make(map[int64]time.Time),
		acks: make(map[bus.ID]int64), changed: make(chan struct{}),
	}
}

// track starts tracking the acceptance of a committed revision and wakes
// runAcceptance, which pushes it to the other routers.
func (a *acceptanceTracker) track(revision int64, now time.Time) {
	a.mu.Lock()
	if _, found := a.committedBy[revision]; !found && revision > a.accepted {
		a.committedBy[revision] = now
	}
	a.target = max(a.target, revision)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// status returns the acceptance status of a revision and a channel that is
// closed when the status may have changed.
func (a *acceptanceTracker) status(revision int64) (RevisionStatus, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.accepted >= revision {
		return RevisionStatus{Revision: revision, Accepted: true}, a.changed
	}
	return RevisionStatus{Revision: revision, WaitingFor: slices.Clone(a.waitingFor)}, a.changed
}

// pending returns the newest tracked revision and whether it still has to be
// accepted.
func (a *acceptanceTracker) pending() (target int64, pending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target, a.target > a.accepted
}

// mergeAcks records acknowledgements. An older acknowledgement of a router never
// replaces a newer one.
func (a *acceptanceTracker) mergeAcks(acks []ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, received := range acks {
		a.acks[received.ID] = max(a.acks[received.ID], received.Revision)
	}
}

// ackedRevision returns the newest revision that a router has acknowledged, or 0.
func (a *acceptanceTracker) ackedRevision(id bus.ID) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acks[id]
}

// acceptedByTimeout returns the newest tracked revision that was committed more
// than bound ago, allowing for clock drift, or 0. With bound set to
// Settings.UnconfirmedBound, no router can still serve an older revision, since
// its view would have had to stay unconfirmed for longer than that.
func (a *acceptanceTracker) acceptedByTimeout(now time.Time, bound time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound += time.Duration(float64(bound) * maxClockDrift)
	var newest int64
	for revision, committed := range a.committedBy {
		// Sub uses the monotonic clock, so that a jump of the wall clock does
		// not end the wait early.
		if now.Sub(committed) > bound {
			newest = max(newest, revision)
		}
	}
	return newest
}

// update records the newest accepted revision and the VMs that have not
// acknowledged the target, drops the acknowledgements of routers that are not
// in members, and wakes everyone waiting for a status. It reports whether the
// accepted revision advanced.
func (a *acceptanceTracker) update(accepted int64, waitingFor []string, members []bus.Peer) (advanced bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	advanced = accepted > a.accepted
	a.accepted = max(a.accepted, accepted)
	a.waitingFor = waitingFor
	for revision := range a.committedBy {
		if revision <= a.accepted || len(a.committedBy) > maxTrackedRevisions && revision < a.target {
			delete(a.committedBy, revision)
		}
	}
	for id := range a.acks {
		if !slices.ContainsFunc(members, func(p bus.Peer) bool { return p.ID == id }) {
			delete(a.acks, id)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
	return advanced
}

// runAcceptance pushes the newest tracked revision until it is accepted. It
// starts over each time a revision is tracked, and returns when ctx ends.
func (k *Keeper) runAcceptance(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.acceptance.wake:
		}
		for attempt := 0; ; attempt++ {
			if _, pending := k.acceptance.pending(); !pending {
				break
			}
			done := k.pushOnce(ctx, attempt)
			if done {
				break
			}
			if clock.Sleep(ctx, k.clock, min(k.settings.PushInterval<<min(attempt, maxPushIntervalDoublings), maxPushInterval)) != nil {
				return
			}
		}
	}
}

// pushOnce pushes the newest tracked revision to the routers that have not
// acknowledged it and updates the accepted revision. It returns true if the
// newest tracked revision is accepted.
func (k *Keeper) pushOnce(ctx context.Context, attempt int) bool {
	target, _ := k.acceptance.pending()
	members, err := k.requiredRouters(ctx)
	if err != nil {
		// Without the rows of all members, a router that registered recently
		// could be missed.
		k.log.Warn("could not read the member rows, the committed revision cannot be accepted by acknowledgements yet", "revision", target, "err", err)
		k.acceptance.update(k.acceptance.acceptedByTimeout(k.clock.Now(), k.settings.UnconfirmedBound), []string{"platform"}, members)
		return false
	}
	if lagging := k.routersBehind(members, target); len(lagging) > 0 {
		k.pushLatest(ctx, lagging, target, attempt)
	}
	return k.updateAcceptance(members, target)
}

// requiredRouters returns the other routers that must acknowledge a revision
// before it is accepted: all that have a member row, read after the commit,
// except those whose VM no longer exists, and the unregistered routers that hold
// a view lease of this one. It returns none for a keeper that has not joined.
func (k *Keeper) requiredRouters(ctx context.Context) ([]bus.Peer, error) {
	if k.members == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	if err := k.members.RefreshRows(ctx); err != nil {
		return nil, err
	}
	var peers []bus.Peer
	for _, m := range k.members.Members() {
		if !m.Terminated {
			peers = append(peers, m.Peer)
		}
	}
	return append(peers, k.unregisteredLessees(peers)...), nil
}

// unregisteredLessees returns the routers that hold a view lease of this router
// and are not among peers.
func (k *Keeper) unregisteredLessees(peers []bus.Peer) []bus.Peer {
	var lessees []bus.Peer
	for _, id := range k.viewLeases.lessees(k.clock.Now(), k.grantedLeaseDuration()) {
		if !slices.ContainsFunc(peers, func(p bus.Peer) bool { return p.ID == id }) {
			lessees = append(lessees, bus.Peer{ID: id})
		}
	}
	return lessees
}

// routersBehind returns the members that have not acknowledged target.
func (k *Keeper) routersBehind(members []bus.Peer, target int64) []bus.Peer {
	var lagging []bus.Peer
	for _, m := range members {
		if k.acceptance.ackedRevision(m.ID) < target {
			lagging = append(lagging, m)
		}
	}
	return lagging
}

// pushLatest pushes only the newest revision to the lagging routers, since most
// of them lack no more than that. A router that lacks earlier revisions fetches
// them from this one.
func (k *Keeper) pushLatest(ctx context.Context, lagging []bus.Peer, target int64, attempt int) {
	entries, _ := k.recentAfter(target - 1)
	if len(entries) == 0 {
		if err := k.loadWithTimeout(ctx); err != nil {
			k.log.Warn("could not load the revision to push from the platform", "err", err)
		}
		if entries, _ = k.recentAfter(target - 1); len(entries) == 0 {
			return
		}
	}
	k.acceptance.mergeAcks(k.pushAll(ctx, pushRequest{Entries: entries}, k.planPush(lagging, attempt)))
}

// updateAcceptance computes and records the newest accepted revision: the newest
// one that this router has applied and that either every required router has
// acknowledged or that was committed longer than UnconfirmedBound ago. It
// reports whether target is accepted.
func (k *Keeper) updateAcceptance(members []bus.Peer, target int64) bool {
	applied := k.Catalog().Revision
	accepted := min(applied, target)
	var waitingFor []string
	if k.mustWithholdAck() {
		accepted = 0
		waitingFor = append(waitingFor, k.selfName())
	}
	for _, m := range members {
		acked := k.acceptance.ackedRevision(m.ID)
		if acked < target {
			waitingFor = append(waitingFor, m.ID.VM)
		}
		accepted = min(accepted, acked)
	}
	accepted = max(accepted, min(applied, k.acceptance.acceptedByTimeout(k.clock.Now(), k.settings.UnconfirmedBound)))
	if accepted >= target {
		waitingFor = nil
	}
	if applied < target {
		waitingFor = append(waitingFor, k.selfName())
	}
	if k.acceptance.update(accepted, waitingFor, members) {
		k.events.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionAccepted, Revision: accepted})
	}
	return accepted >= target
}

// selfName returns the name of this router's VM for RevisionStatus.WaitingFor.
func (k *Keeper) selfName() string {
	if k.bus == nil {
		return "this router"
	}
	return k.bus.Self().ID.VM
}
