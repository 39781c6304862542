package fleetconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/coord/revlog"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// The kinds of requests between keepers.
const (
	kindPush  bus.Kind = "config.push"
	kindView  bus.Kind = "config.view"
	kindFetch bus.Kind = "config.copy"
	// kindMembers requests the member listing of the peer.
	kindMembers bus.Kind = "config.members"
)

// viewRequest requests the view of a peer: its applied revision and the time
// since that was confirmed to be the newest.
type viewRequest struct {
	// Unregistered is true if the sender may have no member row. The peer then
	// grants it a view lease: it acknowledges no revision on which the sender
	// is behind until the lease has expired.
	Unregistered bool `cbor:"1,keyasint,omitempty"`
}

// viewResponse is the view of a peer.
type viewResponse struct {
	// Revision is the revision that the peer has applied.
	Revision int64 `cbor:"1,keyasint"`
	// AgeMS is the time in milliseconds since Revision was confirmed to be the
	// newest, rounded up. It is set only if Confirmed is true.
	AgeMS int64 `cbor:"2,keyasint,omitempty"`
	// Confirmed is true if the view was confirmed within UnconfirmedBound.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
	// MembersDigest is the digest of the peer's member listing.
	MembersDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// membersRequest requests the member listing of a peer.
type membersRequest struct{}

// fetchRequest requests the configuration of a peer.
type fetchRequest struct {
	// After is the newest revision that the sender already has.
	After int64 `cbor:"1,keyasint"`
}

// fetchResponse holds the revisions after fetchRequest.After, or the whole
// document if the peer no longer keeps all of those revisions.
type fetchResponse struct {
	Entries  []revlog.Entry `cbor:"1,keyasint,omitempty"`
	Document []byte         `cbor:"2,keyasint,omitempty"`
}

// viewLeases tracks the view leases that this router has granted.
//
// A router without a member row is not among the routers that must acknowledge a
// revision. It may still serve if a peer grants it a view lease: the peer returns
// its view, and until the lease expires the peer acknowledges a revision only
// after the lessee has. The lessee serves under the lease for
// Settings.ViewLeaseDuration; the lessor honors it for grantedLeaseDuration.
type viewLeases struct {
	mu        sync.Mutex // guards all fields below
	grantedAt map[bus.ID]time.Time
	closed    bool // true once the router is stopping and grants no more leases
}

func newViewLeases() *viewLeases { return &viewLeases{grantedAt: make(map[bus.ID]time.Time)} }

// grant records a lease granted to a router, or returns false if leases are no
// longer granted.
func (l *viewLeases) grant(id bus.ID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.grantedAt[id] = now
	return true
}

// close stops the granting of leases. Leases already granted remain.
func (l *viewLeases) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// lessees returns the routers that hold a lease granted within the duration and
// drops expired leases. It compares the monotonic clock, so that a jump of the
// wall clock does not end a lease early.
func (l *viewLeases) lessees(now time.Time, duration time.Duration) []bus.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []bus.ID
	for id, grantedAt := range l.grantedAt {
		if now.Sub(grantedAt) > duration {
			delete(l.grantedAt, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// viewLeaseGrace is the time for which a lessor honors a lease in addition to
// ViewLeaseDuration and the allowance for clock drift. If the lessee has written
// its member row in the meantime, every router that pushes a revision knows it as
// a member when this time is over.
const viewLeaseGrace = 5 * time.Second

// grantedLeaseDuration returns how long this router honors a view lease that it
// granted.
func (k *Keeper) grantedLeaseDuration() time.Duration {
	bound := k.settings.ViewLeaseDuration
	return bound + time.Duration(maxClockDrift*float64(bound)) + viewLeaseGrace
}

// mustWithholdAck reports whether this router must not acknowledge revisions yet. It
// must not if it replaced an incarnation on its VM, until the view leases that the
// earlier incarnation may have granted, which this one does not know, have expired.
func (k *Keeper) mustWithholdAck() bool {
	if k.members == nil {
		return false
	}
	replacedAt := k.members.PredecessorReplacedAt()
	return !replacedAt.IsZero() && k.clock.Now().Sub(replacedAt) <= k.grantedLeaseDuration()
}

// mayHaveLessees reports whether a router may hold a view lease of this router or
// of the incarnation that it replaced.
func (k *Keeper) mayHaveLessees() bool {
	return k.mustWithholdAck() || len(k.viewLeases.lessees(k.clock.Now(), k.grantedLeaseDuration())) > 0
}

// DrainViewLeases stops granting view leases and waits until all granted ones, also
// those of a replaced incarnation on this VM, have expired. It is called before this
// router's member row is removed, since without the row no change would wait for the
// lessees.
func (k *Keeper) DrainViewLeases(ctx context.Context) error {
	k.viewLeases.close()
	for k.mayHaveLessees() {
		if err := clock.Sleep(ctx, k.clock, k.settings.PushInterval); err != nil {
			return fmt.Errorf("wait for view leases of unregistered routers to expire: %w", err)
		}
	}
	return nil
}

// handleView returns this router's view to a peer and grants a view lease if the
// peer requests one. The age is read before the revision: the applied revision only
// increases, so the returned revision is not below the one that the age refers to.
func (k *Keeper) handleView(_ context.Context, from bus.ID, req viewRequest) (viewResponse, error) {
	if req.Unregistered && !k.viewLeases.grant(from, k.clock.Now()) {
		return viewResponse{}, failure.New(failure.Draining, string(kindView), "", "the router stops")
	}
	age := k.view.age()
	resp := viewResponse{Revision: k.Catalog().Revision, Confirmed: age <= k.settings.UnconfirmedBound}
	if resp.Confirmed {
		resp.AgeMS = age.Milliseconds() + 1 // rounded up
	}
	resp.MembersDigest = k.members.Listing().Digest()
	return resp, nil
}

// handleMembers returns this router's member listing to a peer.
func (k *Keeper) handleMembers(context.Context, bus.ID, membersRequest) (member.Listing, error) {
	return k.members.Listing(), nil
}

// syncMembers merges the member listing of a relay into the local one if their
// digests differ. In a large fleet this replaces the reading of all member rows
// by every router.
func (k *Keeper) syncMembers(ctx context.Context, from bus.ID, digest uint64) {
	if digest == k.members.Listing().Digest() {
		k.members.MarkListingCurrent()
		return
	}
	listing, err := bus.Call[membersRequest, member.Listing](ctx, k.bus, from, kindMembers, membersRequest{})
	if err != nil {
		k.log.Debug("could not fetch the member listing of a relay", "from", from.String(), "err", err)
		return
	}
	k.members.MergeListing(listing)
}

// handleFetch returns the configuration after a revision to a peer.
func (k *Keeper) handleFetch(_ context.Context, _ bus.ID, req fetchRequest) (fetchResponse, error) {
	if entries, complete := k.recentAfter(req.After); complete {
		return fetchResponse{Entries: entries}, nil
	}
	data, err := json.Marshal(k.Catalog().Document())
	if err != nil {
		return fetchResponse{}, fmt.Errorf("encode configuration: %w", err)
	}
	return fetchResponse{Document: data}, nil
}

// fetch requests the configuration after the applied revision from a peer and
// applies it.
func (k *Keeper) fetch(ctx context.Context, from bus.ID) error {
	resp, err := bus.Call[fetchRequest, fetchResponse](ctx, k.bus, from, kindFetch, fetchRequest{After: k.Catalog().Revision})
	if err != nil {
		return err
	}
	if resp.Document == nil {
		return k.applyEntries(resp.Entries)
	}
	var document catalog.Document
	if err := json.Unmarshal(resp.Document, &document); err != nil {
		return fmt.Errorf("decode configuration fetched from %s: %w", from, err)
	}
	return k.applyDocument(document)
}
