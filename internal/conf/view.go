package conf

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
)

// view knows when the revision in force was last confirmed to be the newest.
type view struct {
	settings Settings
	clock    clock.Clock

	mu        sync.Mutex // guards all below
	confirmed time.Time  // a moment at which the revision was the newest
	failed    time.Time  // when the last try ended, if it was of no use
	offered   time.Time  // when a peer was last asked for its view without a row
	trying    chan struct{}
}

func newView(s Settings, c clock.Clock) *view { return &view{settings: s, clock: c} }

// confirm notes that the revision in force was the newest at a moment.
func (v *view) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() || at.After(v.confirmed) {
		v.confirmed = at
	}
}

// age is the time since the last confirmation; without one it is very long.
func (v *view) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageLocked()
}

func (v *view) ageLocked() time.Duration {
	if v.confirmed.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return clock.Elapsed(v.confirmed, v.clock.Now())
}

// offer notes that a peer answers for this router, from a moment on.
func (v *view) offer(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.offered = at
}

// offerAge is the time since the last offer; without one it is very long.
func (v *view) offerAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.offered.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return clock.Elapsed(v.offered, v.clock.Now())
}

// failedWithin reports whether the last try to confirm failed and ended so
// lately.
func (v *view) failedWithin(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.failed.IsZero() && clock.Elapsed(v.failed, v.clock.Now()) <= d
}

// begin joins the try in progress, or starts one; then end is not nil and
// ends it. done closes with the try.
func (v *view) begin() (done chan struct{}, end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.trying != nil {
		return v.trying, nil
	}
	done = make(chan struct{})
	v.trying = done
	return done, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.trying, v.failed = nil, time.Time{}
		if v.ageLocked() > v.settings.ViewBound {
			v.failed = v.clock.Now()
		}
		close(done)
	}
}

// Confirmed reports whether the revision in force was the newest within
// ViewBound. Where it is false, the caller should verify by other means what
// may have changed, such as by asking an endpoint whether it is leaving.
func (k *Keeper) Confirmed() bool { return k.view.age() <= k.settings.ViewBound }

// Fresh returns nil if the revision in force may be served. It is called
// before new work. A view beyond ViewBound is confirmed first, unless that
// was tried just now in vain, as in an outage of the platform. Beyond
// UnconfirmedBound the failure is StaleView.
func (k *Keeper) ConfirmView(ctx context.Context) error {
	if k.Confirmed() && !k.lapsed() {
		return nil
	}
	// While Run goes on in an outage, a try fails at least this often; a
	// process that was frozen has none so late.
	if !k.view.failedWithin(k.settings.PollInterval + k.tryBound()) {
		if err := k.refresh(ctx); err != nil {
			return failure.Wrap(failure.StaleView, "confirm configuration", "platform", err).WithRetry(k.settings.PollInterval)
		}
	}
	if k.lapsed() {
		message := fmt.Sprintf("revision %d could not be confirmed for %s", k.Catalog().Revision, k.view.age().Round(time.Second))
		return failure.New(failure.StaleView, "confirm configuration", "platform", message).WithRetry(k.settings.PollInterval)
	}
	return nil
}

// lapsed reports whether the view may no longer be served: it is too old, or
// this router has no row and no peer that answers for it.
func (k *Keeper) lapsed() bool {
	return k.view.age() > k.settings.UnconfirmedBound || !k.registered() && k.view.offerAge() > k.settings.ViewLeaseDuration
}

// Unready returns why this router should get no requests, or "".
func (k *Keeper) UnreadyReason() string {
	switch {
	case k.Catalog().Revision == 0:
		return "no configuration is in force"
	case k.lapsed():
		return "the configuration could not be confirmed for too long"
	}
	return ""
}

// refresh confirms the view, once for all who ask at the same time. The try
// has a time of its own and does not end with the ctx of one who asked; then
// the error is that of ctx. Whether the try was of use shows in the view.
func (k *Keeper) refresh(ctx context.Context) error {
	done, end := k.view.begin()
	if end != nil {
		go func() {
			defer end()
			try, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.tryBound())
			defer cancel()
			if err := k.confirm(try); err != nil {
				k.log.Debug("View not confirmed.", "age", k.view.age(), "err", err)
			}
		}()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryBound is the longest time of one try to confirm the view.
func (k *Keeper) tryBound() time.Duration { return 3 * k.settings.CallTimeout }

// confirm asks, in order, the relay of the failure domain, the table, and a
// few peers. The table and a relay are asked only by a router whose row is
// written; one that could not write it asks peers, which then vouch for it.
func (k *Keeper) confirm(ctx context.Context) error {
	err := k.register(ctx)
	if err == nil {
		for _, relay := range k.ownRelays() {
			if digest, err := k.askView(ctx, relay, k.settings.ViewBound); err == nil {
				k.shareMembers(ctx, relay, digest)
				return nil
			}
		}
		err = k.loadBounded(ctx)
	}
	if err == nil {
		return nil
	}
	return errors.Join(err, k.askAny(ctx))
}

func (k *Keeper) loadBounded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	return k.Load(ctx)
}

// register writes this router's row before a view is confirmed, so that no
// change is accepted without waiting for it. A row that may have been removed
// in the meantime is written again.
func (k *Keeper) register(ctx context.Context) error {
	if k.members == nil {
		return nil
	}
	since := k.members.LastHeartbeat()
	if !since.IsZero() && clock.Elapsed(since, k.clock.Now()) <= k.settings.UnconfirmedBound {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	if err := k.members.Heartbeat(call); err != nil {
		return fmt.Errorf("register before confirming the view: %w", err)
	}
	return nil
}

// registered reports whether this router's row is surely in the table.
func (k *Keeper) registered() bool {
	if k.members == nil {
		return true
	}
	since := k.members.LastHeartbeat()
	return !since.IsZero() && clock.Elapsed(since, k.clock.Now()) <= k.settings.UnconfirmedBound
}

// covered reports whether a change committed after the moment waits for this
// router: its row was there by then, or, without a row, a peer answers for it.
func (k *Keeper) covered(at time.Time) bool {
	return k.members == nil || !k.registered() || !at.Before(k.members.RowPresentSince())
}

// askAny asks the peers that seem alive, a few at most, for a view that is
// newer than the own one, however old.
func (k *Keeper) askAny(ctx context.Context) error {
	if k.bus == nil {
		return errNoPeers
	}
	last := errNoPeers
	for i, p := range k.bus.Peers() {
		if i == maxAsked || ctx.Err() != nil {
			break
		}
		if _, last = k.askView(ctx, p.ID, k.settings.UnconfirmedBound); last == nil && k.Confirmed() {
			return nil
		}
	}
	return last
}

// maxAsked bounds the peers that one try to confirm asks.
const maxAsked = 5

var errNoPeers = errors.New("no peer to ask for its view")

// askView asks a peer for the newest revision that it knows and for the age
// of its view, takes both over and returns the digest of the peer's members.
// It fails if that leaves the own view older than the bound.
func (k *Keeper) askView(ctx context.Context, to bus.ID, bound time.Duration) (members uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	started := k.clock.Now()
	unregistered := !k.registered()
	answer, err := bus.Call[viewRequest, viewAnswer](ctx, k.bus, to, kindView, viewRequest{Unregistered: unregistered})
	if err != nil {
		return 0, err
	}
	if unregistered {
		k.view.offer(started)
	}
	if answer.Revision > k.Catalog().Revision {
		if err := k.fetch(ctx, to); err != nil {
			return 0, err
		}
	}
	at := started.Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	if answer.Confirmed && k.Catalog().Revision >= answer.Revision && k.covered(at) {
		k.view.confirm(at)
	}
	if k.view.age() > bound {
		return 0, fmt.Errorf("the view of %s is too old", to)
	}
	return answer.Members, nil
}
