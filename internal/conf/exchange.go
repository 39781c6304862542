package conf

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
	kindPush bus.Kind = "config.push"
	kindView bus.Kind = "config.view"
	kindCopy bus.Kind = "config.copy"
	// kindMembers asks for the members that the peer knows.
	kindMembers bus.Kind = "config.members"
)

// viewRequest asks for the newest revision that a peer knows.
type viewRequest struct {
	// Unregistered is true if the sender's row may be missing, so that the
	// peer has to answer for it when a change is to be accepted.
	Unregistered bool `cbor:"1,keyasint,omitempty"`
}

// viewAnswer says which revision is in force at a peer and how long ago it
// was surely the newest.
type viewAnswer struct {
	Revision  int64 `cbor:"1,keyasint"`
	AgeMS     int64 `cbor:"2,keyasint,omitempty"`
	Confirmed bool  `cbor:"3,keyasint,omitempty"`
	// Members is the digest of the peer's listing of members.
	Members uint64 `cbor:"4,keyasint,omitempty"`
}

// membersRequest asks for a listing of members.
type membersRequest struct{}

// copyRequest asks for what is newer than a revision.
type copyRequest struct {
	After int64 `cbor:"1,keyasint"`
}

// copyAnswer holds the revisions asked for, or the whole document if they
// reach back too far.
type copyAnswer struct {
	Entries  []revlog.Entry `cbor:"1,keyasint,omitempty"`
	Document []byte         `cbor:"2,keyasint,omitempty"`
}

// offers remembers to which routers without a row this one has given its
// view. For holdTime after, this router answers for them.
type offers struct {
	mu     sync.Mutex // guards all below
	given  map[bus.ID]time.Time
	closed bool // no more offers: the router stops
}

func newOffers() *offers { return &offers{given: make(map[bus.ID]time.Time)} }

// note records an offer, unless there are to be no more.
func (o *offers) note(id bus.ID, at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.given[id] = at
	return true
}

// close ends the making of offers.
func (o *offers) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// open returns the routers to answer for and forgets those whose time has
// passed. Only the monotonic clock counts, so that a jump ends nothing early.
func (o *offers) open(now time.Time, hold time.Duration) []bus.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []bus.ID
	for id, at := range o.given {
		if now.Sub(at) > hold {
			delete(o.given, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// offerGrace is added to OfferBound until a router that was offered a view is
// no longer answered for. A router that has written its row meanwhile is by
// then known to whoever sees to the acceptance of a change.
const offerGrace = 5 * time.Second

// holdTime is how long this router answers for one that it gave its view.
func (k *Keeper) holdTime() time.Duration {
	bound := k.settings.ViewLeaseDuration
	return bound + time.Duration(driftShare*float64(bound)) + offerGrace
}

// withheld reports whether this router must not acknowledge yet: it took the
// place of an incarnation which may have given its view to others.
func (k *Keeper) withheld() bool {
	if k.members == nil {
		return false
	}
	replaced := k.members.PredecessorReplacedAt()
	return !replaced.IsZero() && k.clock.Now().Sub(replaced) <= k.holdTime()
}

// answersForOthers reports whether a router without a row may depend on this
// one, or on the incarnation whose place it took.
func (k *Keeper) answersForOthers() bool {
	return k.withheld() || len(k.offers.open(k.clock.Now(), k.holdTime())) > 0
}

// Leave gives no more views to routers without a row and waits until those
// that have one need it no longer. It is called before the own row is removed.
func (k *Keeper) DrainViewLeases(ctx context.Context) error {
	k.offers.close()
	for k.answersForOthers() {
		if err := clock.Sleep(ctx, k.clock, k.settings.PushInterval); err != nil {
			return fmt.Errorf("wait for routers without a row: %w", err)
		}
	}
	return nil
}

// handleView answers a peer. The age is read before the revision: the one in
// force only grows, so what was the newest at the earlier moment is not above
// what is in force at the later.
func (k *Keeper) handleView(_ context.Context, from bus.ID, req viewRequest) (viewAnswer, error) {
	if req.Unregistered && !k.offers.note(from, k.clock.Now()) {
		return viewAnswer{}, failure.New(failure.Draining, string(kindView), "", "the router stops")
	}
	age := k.view.age()
	answer := viewAnswer{Revision: k.Catalog().Revision, Confirmed: age <= k.settings.UnconfirmedBound}
	if answer.Confirmed {
		answer.AgeMS = age.Milliseconds() + 1 // rounded up
	}
	answer.Members = k.members.Listing().Digest()
	return answer, nil
}

func (k *Keeper) handleMembers(context.Context, bus.ID, membersRequest) (member.Listing, error) {
	return k.members.Listing(), nil
}

// shareMembers takes over a relay's listing if its digest differs from the
// own, so that not every router reads all members' rows.
func (k *Keeper) shareMembers(ctx context.Context, from bus.ID, digest uint64) {
	if digest == k.members.Listing().Digest() {
		k.members.MarkListingCurrent()
		return
	}
	listing, err := bus.Call[membersRequest, member.Listing](ctx, k.bus, from, kindMembers, membersRequest{})
	if err != nil {
		k.log.Debug("Members not shared.", "from", from.String(), "err", err)
		return
	}
	k.members.MergeListing(listing)
}

func (k *Keeper) handleCopy(_ context.Context, _ bus.ID, req copyRequest) (copyAnswer, error) {
	if entries, whole := k.recentAfter(req.After); whole {
		return copyAnswer{Entries: entries}, nil
	}
	data, err := json.Marshal(k.Catalog().Document())
	if err != nil {
		return copyAnswer{}, fmt.Errorf("encode configuration: %w", err)
	}
	return copyAnswer{Document: data}, nil
}

// fetch takes over what is newer at a peer.
func (k *Keeper) fetch(ctx context.Context, from bus.ID) error {
	answer, err := bus.Call[copyRequest, copyAnswer](ctx, k.bus, from, kindCopy, copyRequest{After: k.Catalog().Revision})
	if err != nil {
		return err
	}
	if answer.Document == nil {
		return k.apply(answer.Entries)
	}
	var document catalog.Document
	if err := json.Unmarshal(answer.Document, &document); err != nil {
		return fmt.Errorf("decode configuration of %s: %w", from, err)
	}
	return k.replace(document)
}
