package fleetconfig

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

// view tracks when the applied revision was last confirmed to be the newest, and
// the attempts to confirm it. It is safe for concurrent use.
type view struct {
	settings Settings
	clock    clock.Clock

	mu          sync.Mutex    // guards all fields below
	confirmedAt time.Time     // the latest time at which the applied revision was known to be the newest
	failedAt    time.Time     // end of the last attempt if the view was still beyond ViewBound, else zero
	leaseStart  time.Time     // when the view lease that a peer granted last was requested
	attempt     chan struct{} // closed when the attempt in progress ends; nil if there is none
}

func newView(s Settings, c clock.Clock) *view { return &view{settings: s, clock: c} }

// confirm records that the applied revision was the newest at a time. An earlier
// time than the recorded one is ignored.
func (v *view) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmedAt.IsZero() || at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// age returns the time since the last confirmation, or the longest duration if
// there was none.
func (v *view) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageLocked()
}

// ageLocked is age for callers that hold v.mu.
func (v *view) ageLocked() time.Duration {
	if v.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return clock.Elapsed(v.confirmedAt, v.clock.Now())
}

// startLease records a view lease granted by a peer. It starts when the lease was
// requested.
func (v *view) startLease(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaseStart = at
}

// leaseAge returns the time since the start of the last view lease, or the longest
// duration if there was none.
func (v *view) leaseAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaseStart.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return clock.Elapsed(v.leaseStart, v.clock.Now())
}

// failedWithin reports whether the last attempt to confirm the view failed and
// ended at most maxAge ago.
func (v *view) failedWithin(maxAge time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.failedAt.IsZero() && clock.Elapsed(v.failedAt, v.clock.Now()) <= maxAge
}

// joinAttempt joins the attempt to confirm the view that is in progress, or
// starts one. Only if it starts one, end is not nil, and the caller must call end
// when the attempt is over. The channel done is closed then.
func (v *view) joinAttempt() (done chan struct{}, end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.attempt != nil {
		return v.attempt, nil
	}
	done = make(chan struct{})
	v.attempt = done
	return done, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.attempt, v.failedAt = nil, time.Time{}
		if v.ageLocked() > v.settings.ViewBound {
			v.failedAt = v.clock.Now()
		}
		close(done)
	}
}

// Confirmed reports whether the applied revision was known to be the newest within
// the last ViewBound. If it is false, the caller should verify by other means what
// may have changed, such as by querying an endpoint whether it is leaving.
func (k *Keeper) Confirmed() bool { return k.view.age() <= k.settings.ViewBound }

// ConfirmView returns nil if new work may be served under the applied revision. It
// is called before new work is taken. A view that is older than ViewBound is
// confirmed first, unless an attempt has failed very recently, as during an outage
// of the platform. If the view has expired, it returns failure.StaleView.
func (k *Keeper) ConfirmView(ctx context.Context) error {
	if k.Confirmed() && !k.viewExpired() {
		return nil
	}
	// During an outage, Run fails at least one attempt in each such period. In a
	// process that was frozen, the last failure is older, so it tries again.
	if !k.view.failedWithin(k.settings.PollInterval + k.attemptTimeout()) {
		if err := k.refresh(ctx); err != nil {
			return failure.Wrap(failure.StaleView, "confirm configuration", "platform", err).WithRetry(k.settings.PollInterval)
		}
	}
	if k.viewExpired() {
		message := fmt.Sprintf("revision %d could not be confirmed for %s", k.Catalog().Revision, k.view.age().Round(time.Second))
		return failure.New(failure.StaleView, "confirm configuration", "platform", message).WithRetry(k.settings.PollInterval)
	}
	return nil
}

// viewExpired reports whether new work may no longer be served under the view: it
// is older than UnconfirmedBound, or this router is neither registered nor holds a
// view lease.
func (k *Keeper) viewExpired() bool {
	return k.view.age() > k.settings.UnconfirmedBound || !k.registered() && k.view.leaseAge() > k.settings.ViewLeaseDuration
}

// UnreadyReason returns why this router should receive no requests, or "" if it is
// ready.
func (k *Keeper) UnreadyReason() string {
	switch {
	case k.Catalog().Revision == 0:
		return "no configuration is in force"
	case k.viewExpired():
		return "the configuration could not be confirmed for too long"
	}
	return ""
}

// refresh makes one attempt to confirm the view, which concurrent callers share.
// The attempt is bounded by attemptTimeout and continues when the ctx of a caller
// ends; that caller gets the error of its ctx. A nil error only means that the
// attempt has ended: whether it succeeded shows in the age of the view.
func (k *Keeper) refresh(ctx context.Context) error {
	done, end := k.view.joinAttempt()
	if end != nil {
		go func() {
			defer end()
			attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.attemptTimeout())
			defer cancel()
			if err := k.attemptConfirm(attemptCtx); err != nil {
				k.log.Debug("attempt to confirm the configuration view failed", "age", k.view.age(), "err", err)
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

// attemptTimeout returns the time limit of one attempt to confirm the view.
func (k *Keeper) attemptTimeout() time.Duration { return 3 * k.settings.CallTimeout }

// attemptConfirm tries to confirm the view from, in order, the relays of the
// failure domain, the table, and a few peers. Only a registered router uses the
// relays and the table. One that could not write its member row queries peers,
// which then grant it a view lease.
func (k *Keeper) attemptConfirm(ctx context.Context) error {
	err := k.ensureRegistered(ctx)
	if err == nil {
		for _, relay := range k.relays() {
			if digest, err := k.confirmFromPeer(ctx, relay, k.settings.ViewBound); err == nil {
				k.syncMembers(ctx, relay, digest)
				return nil
			}
		}
		err = k.loadWithTimeout(ctx)
	}
	if err == nil {
		return nil
	}
	return errors.Join(err, k.confirmFromPeers(ctx))
}

// loadWithTimeout is Load, bounded by CallTimeout.
func (k *Keeper) loadWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	return k.Load(ctx)
}

// ensureRegistered writes this router's member row, unless it was written within
// UnconfirmedBound. The row must exist before a view is confirmed, so that no
// change is accepted without this router's acknowledgement. An older row may have
// been removed by other routers and is written again.
func (k *Keeper) ensureRegistered(ctx context.Context) error {
	if k.members == nil {
		return nil
	}
	registeredAt := k.members.LastHeartbeat()
	if !registeredAt.IsZero() && clock.Elapsed(registeredAt, k.clock.Now()) <= k.settings.UnconfirmedBound {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	if err := k.members.Heartbeat(callCtx); err != nil {
		return fmt.Errorf("register before confirming the view: %w", err)
	}
	return nil
}

// registered reports whether this router's member row is certain to be in the
// table.
func (k *Keeper) registered() bool {
	if k.members == nil {
		return true
	}
	registeredAt := k.members.LastHeartbeat()
	return !registeredAt.IsZero() && clock.Elapsed(registeredAt, k.clock.Now()) <= k.settings.UnconfirmedBound
}

// requiredSince reports whether the acceptance of every change committed after
// committedAt waits for this router: its row existed by then, or it is not
// registered and the peer that it queries grants it a view lease.
func (k *Keeper) requiredSince(committedAt time.Time) bool {
	return k.members == nil || !k.registered() || !committedAt.Before(k.members.RowPresentSince())
}

// confirmFromPeers queries at most maxQueriedPeers live peers for their views and
// adopts each view that is newer than the local one, whatever its age. It returns nil
// once the local view is confirmed within ViewBound, or else the result of the last
// query.
func (k *Keeper) confirmFromPeers(ctx context.Context) error {
	if k.bus == nil {
		return errNoPeers
	}
	lastErr := errNoPeers
	for i, p := range k.bus.Peers() {
		if i == maxQueriedPeers || ctx.Err() != nil {
			break
		}
		if _, lastErr = k.confirmFromPeer(ctx, p.ID, k.settings.UnconfirmedBound); lastErr == nil && k.Confirmed() {
			return nil
		}
	}
	return lastErr
}

// maxQueriedPeers bounds the peers that one attempt to confirm the view queries.
const maxQueriedPeers = 5

var errNoPeers = errors.New("no peer to ask for its view")

// confirmFromPeer requests a peer's view, adopts its revision and age, and returns
// the digest of the peer's member listing. It returns an error if the local view is
// still older than maxAge. A router that is not registered obtains a view lease
// with the same request.
func (k *Keeper) confirmFromPeer(ctx context.Context, to bus.ID, maxAge time.Duration) (membersDigest uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	started := k.clock.Now()
	unregistered := !k.registered()
	resp, err := bus.Call[viewRequest, viewResponse](ctx, k.bus, to, kindView, viewRequest{Unregistered: unregistered})
	if err != nil {
		return 0, err
	}
	if unregistered {
		k.view.startLease(started)
	}
	if resp.Revision > k.Catalog().Revision {
		if err := k.fetch(ctx, to); err != nil {
			return 0, err
		}
	}
	newestAt := started.Add(-time.Duration(resp.AgeMS) * time.Millisecond)
	if resp.Confirmed && k.Catalog().Revision >= resp.Revision && k.requiredSince(newestAt) {
		k.view.confirm(newestAt)
	}
	if k.view.age() > maxAge {
		return 0, fmt.Errorf("the view of peer %s is too old to confirm the local view", to)
	}
	return resp.MembersDigest, nil
}
