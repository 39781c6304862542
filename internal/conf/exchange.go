package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
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
// view. Until they have a row or the view has lapsed, this router answers
// for them.
type offers struct {
	mu    sync.Mutex // guards given
	given map[bus.ID]time.Time
}

func newOffers() *offers { return &offers{given: make(map[bus.ID]time.Time)} }

func (o *offers) note(id bus.ID, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.given[id] = at
}

// open returns the routers to answer for and forgets those of which the view
// has lapsed.
func (o *offers) open(now time.Time, bound time.Duration) []bus.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []bus.ID
	for id, at := range o.given {
		if clock.Elapsed(at, now) > bound {
			delete(o.given, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// olderThan reports whether the last offer to a router is older than d.
func (o *offers) olderThan(id bus.ID, now time.Time, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clock.Elapsed(o.given[id], now) > d
}

func (o *offers) forget(id bus.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.given, id)
}

// handleView answers a peer. The age is read before the revision: the one in
// force only grows, so what was the newest at the earlier moment is not above
// what is in force at the later.
func (k *Keeper) handleView(_ context.Context, from bus.ID, req viewRequest) (viewAnswer, error) {
	if req.Unregistered {
		k.offers.note(from, k.clock.Now())
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
		k.members.NoteCurrent()
		return
	}
	listing, err := bus.Call[membersRequest, member.Listing](ctx, k.bus, from, kindMembers, membersRequest{})
	if err != nil {
		k.log.Debug("Members not shared.", "from", from.String(), "err", err)
		return
	}
	k.members.Merge(listing)
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
