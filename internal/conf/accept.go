package conf

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
)

// driftShare is the largest rate by which two machines' monotonic clocks are
// taken to differ, as a share of the time that passes.
const driftShare = 0.01

// maxPushInterval bounds the time between two pushes, which doubles from
// PushInterval at most maxDoublings times.
const (
	maxPushInterval = 2 * time.Second
	maxDoublings    = 8
)

// maxTracked bounds the revisions of which the moment of commit is kept.
const maxTracked = 1024

// acceptance knows how far the newest changes have come.
type acceptance struct {
	wake chan struct{}

	mu       sync.Mutex // guards all below
	target   int64      // the newest revision to see accepted
	accepted int64
	// known maps a revision to a moment at which it was committed already.
	known   map[int64]time.Time
	acks    map[bus.ID]int64
	waiting []string
	changed chan struct{} // closed and replaced on each change
}

func newAcceptance() *acceptance {
	return &acceptance{
		wake: make(chan struct{}, 1), known: make(map[int64]time.Time),
		acks: make(map[bus.ID]int64), changed: make(chan struct{}),
	}
}

// track starts to see to the acceptance of a committed revision.
func (a *acceptance) track(revision int64, now time.Time) {
	a.mu.Lock()
	if _, found := a.known[revision]; !found && revision > a.accepted {
		a.known[revision] = now
	}
	a.target = max(a.target, revision)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// result says how far a revision has come, and returns a channel that closes
// when that may have changed.
func (a *acceptance) result(revision int64) (RevisionStatus, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.accepted >= revision {
		return RevisionStatus{Revision: revision, Accepted: true}, a.changed
	}
	return RevisionStatus{Revision: revision, WaitingFor: slices.Clone(a.waiting)}, a.changed
}

func (a *acceptance) open() (target int64, open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target, a.target > a.accepted
}

// merge takes acknowledgements over.
func (a *acceptance) merge(acks []ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range acks {
		a.acks[one.ID] = max(a.acks[one.ID], one.Revision)
	}
}

// acked returns the revision that a router has acknowledged.
func (a *acceptance) acked(id bus.ID) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acks[id]
}

// lapsed returns the newest revision whose commit lies so far back that no
// router can serve an older one unconfirmed.
func (a *acceptance) lapsed(now time.Time, bound time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound += time.Duration(float64(bound) * driftShare)
	var newest int64
	for revision, at := range a.known {
		// Only the monotonic clock counts here: a wall clock that jumps must
		// not end the wait early.
		if now.Sub(at) > bound {
			newest = max(newest, revision)
		}
	}
	return newest
}

// settle notes the newest accepted revision and who is waited for beyond it.
func (a *acceptance) settle(accepted int64, waiting []string, members []bus.Peer) (grown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	grown = accepted > a.accepted
	a.accepted = max(a.accepted, accepted)
	a.waiting = waiting
	for revision := range a.known {
		if revision <= a.accepted || len(a.known) > maxTracked && revision < a.target {
			delete(a.known, revision)
		}
	}
	for id := range a.acks {
		if !slices.ContainsFunc(members, func(p bus.Peer) bool { return p.ID == id }) {
			delete(a.acks, id)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
	return grown
}

// runAcceptance pushes the newest tracked revision until it is accepted,
// each time one is tracked.
func (k *Keeper) runAcceptance(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.accept.wake:
		}
		for attempt := 0; ; attempt++ {
			if _, open := k.accept.open(); !open {
				break
			}
			done := k.pushOnce(ctx, attempt)
			if done {
				break
			}
			if clock.Sleep(ctx, k.clock, min(k.settings.PushInterval<<min(attempt, maxDoublings), maxPushInterval)) != nil {
				return
			}
		}
	}
}

// pushOnce brings the newest revision to the routers that lack it and
// settles what has been accepted. It returns true if nothing is left to do.
func (k *Keeper) pushOnce(ctx context.Context, attempt int) bool {
	target, _ := k.accept.open()
	members, err := k.required(ctx)
	if err != nil {
		// Without the table nobody knows who has joined.
		k.log.Warn("Members not read; the change stays committed.", "revision", target, "err", err)
		k.accept.settle(k.accept.lapsed(k.clock.Now(), k.settings.UnconfirmedBound), []string{"platform"}, members)
		return false
	}
	if waiting := k.behind(members, target); len(waiting) > 0 {
		k.pushTo(ctx, waiting, target, attempt)
	}
	return k.settle(members, target)
}

// required returns the routers that must acknowledge: all that have a row
// after the commit, except those whose VM is gone.
func (k *Keeper) required(ctx context.Context) ([]bus.Peer, error) {
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
	return append(peers, k.dependents(peers)...), nil
}

// dependents returns the routers without a row that this one answers for and
// that are not among peers.
func (k *Keeper) dependents(peers []bus.Peer) []bus.Peer {
	var more []bus.Peer
	for _, id := range k.offers.open(k.clock.Now(), k.holdTime()) {
		if !slices.ContainsFunc(peers, func(p bus.Peer) bool { return p.ID == id }) {
			more = append(more, bus.Peer{ID: id})
		}
	}
	return more
}

func (k *Keeper) behind(members []bus.Peer, target int64) []bus.Peer {
	var waiting []bus.Peer
	for _, m := range members {
		if k.accept.acked(m.ID) < target {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

// pushTo pushes the revisions that the waiting routers are most likely to
// lack: the newest. One that lacks more fetches them.
func (k *Keeper) pushTo(ctx context.Context, waiting []bus.Peer, target int64, attempt int) {
	entries, _ := k.recentAfter(target - 1)
	if len(entries) == 0 {
		if err := k.loadBounded(ctx); err != nil {
			k.log.Warn("Load failed.", "err", err)
		}
		if entries, _ = k.recentAfter(target - 1); len(entries) == 0 {
			return
		}
	}
	k.accept.merge(k.pushAll(ctx, pushRequest{Entries: entries}, k.planFor(waiting, attempt)))
}

// settle works out the newest accepted revision: what every required router
// acknowledged and this one has in force, or what has lapsed elsewhere.
func (k *Keeper) settle(members []bus.Peer, target int64) bool {
	own := k.Catalog().Revision
	accepted := min(own, target)
	var waiting []string
	if k.withheld() {
		accepted = 0
		waiting = append(waiting, k.selfName())
	}
	for _, m := range members {
		acked := k.accept.acked(m.ID)
		if acked < target {
			waiting = append(waiting, m.ID.VM)
		}
		accepted = min(accepted, acked)
	}
	accepted = max(accepted, min(own, k.accept.lapsed(k.clock.Now(), k.settings.UnconfirmedBound)))
	if accepted >= target {
		waiting = nil
	}
	if own < target {
		waiting = append(waiting, k.selfName())
	}
	if k.accept.settle(accepted, waiting, members) {
		k.events.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionAccepted, Revision: accepted})
	}
	return accepted >= target
}

func (k *Keeper) selfName() string {
	if k.bus == nil {
		return "this router"
	}
	return k.bus.Self().ID.VM
}
