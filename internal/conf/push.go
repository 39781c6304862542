package conf

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/revlog"
)

// maxPushes bounds the pushes that one router has in flight.
const maxPushes = 32

// maxVia bounds how often one push is passed on between routers that answer
// for each other; beyond it a router answers that it is behind.
const maxVia = 3

// pushRequest brings new revisions to a router, and through it to targets.
type pushRequest struct {
	Entries []revlog.Entry `cbor:"1,keyasint"`
	// Targets are to be pushed to by the receiver.
	Targets []bus.ID `cbor:"2,keyasint,omitempty"`
	// Via are the routers that passed the push on because they answer for
	// the receiver. They have the revisions in force, or answer that they
	// are behind, so they are not pushed to again.
	Via []bus.ID `cbor:"3,keyasint,omitempty"`
}

// ack says which revision is in force at a router.
type ack struct {
	ID       bus.ID `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// pushAnswer holds the acknowledgements of the receiver and its targets.
type pushAnswer struct {
	Acks []ack `cbor:"1,keyasint"`
}

// handlePush puts the revisions in force, passes them on, and answers for
// the routers that depend on this one's view.
func (k *Keeper) handlePush(ctx context.Context, from bus.ID, req pushRequest) (pushAnswer, error) {
	if err := k.apply(req.Entries); err != nil {
		return pushAnswer{}, err
	}
	last := int64(0)
	if len(req.Entries) > 0 {
		last = req.Entries[len(req.Entries)-1].Revision
	}
	if k.Catalog().Revision < last {
		if err := k.fetch(ctx, from); err != nil {
			k.log.Warn("Revisions before a push not fetched.", "from", from.String(), "err", err)
		}
	}
	acks := k.pushAll(ctx, pushRequest{Entries: req.Entries}, plan{direct: req.Targets})
	own := k.answerFor(ctx, req, k.Catalog().Revision, last)
	return pushAnswer{Acks: append(acks, ack{ID: k.bus.Self().ID, Revision: own})}, nil
}

// answerFor returns the revision that this router acknowledges: the one in
// force, or none while a router that depends on it is behind, since nobody
// knows how far.
func (k *Keeper) answerFor(ctx context.Context, req pushRequest, own, last int64) int64 {
	if k.withheld() {
		return 0
	}
	dependents := k.offeredTo(req.Via)
	if len(dependents) == 0 {
		return own
	}
	behind := make(map[bus.ID]bool, len(dependents))
	for _, id := range dependents {
		behind[id] = true
	}
	if len(req.Via) < maxVia {
		via := append(slices.Clone(req.Via), k.bus.Self().ID)
		for _, a := range k.pushAll(ctx, pushRequest{Entries: req.Entries, Via: via}, plan{direct: dependents}) {
			if a.Revision >= last {
				delete(behind, a.ID)
			}
		}
	}
	if len(behind) > 0 {
		return 0
	}
	return own
}

// offeredTo returns the routers to answer for, but those that the push came
// through: two routers may have given each other their views.
func (k *Keeper) offeredTo(via []bus.ID) []bus.ID {
	open := k.offers.open(k.clock.Now(), k.holdTime())
	return slices.DeleteFunc(open, func(id bus.ID) bool { return slices.Contains(via, id) })
}

// plan says which routers are pushed to, and by whom.
type plan struct {
	direct []bus.ID
	// relayed maps a relay to the routers that it pushes to.
	relayed map[bus.ID][]bus.ID
}

// pushTimeout leaves a relay the time to answer before its own caller's time
// is over.
func (k *Keeper) pushTimeout(ctx context.Context) time.Duration {
	timeout := k.settings.CallTimeout
	if deadline, set := ctx.Deadline(); set {
		timeout = min(timeout, time.Until(deadline)*3/4)
	}
	return timeout
}

// pushAll sends req to the routers of a plan, each with its own targets, and
// returns the acknowledgements that came.
func (k *Keeper) pushAll(ctx context.Context, req pushRequest, p plan) []ack {
	if len(p.direct)+len(p.relayed) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.pushTimeout(ctx))
	defer cancel()
	var mu sync.Mutex // guards acks
	var acks []ack
	var all sync.WaitGroup
	slots := make(chan struct{}, maxPushes)
	push := func(to bus.ID, targets []bus.ID) {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			answer, err := bus.Call[pushRequest, pushAnswer](ctx, k.bus, to, kindPush, pushRequest{Entries: req.Entries, Targets: targets, Via: req.Via})
			if err != nil {
				k.log.Debug("Push failed.", "to", to.String(), "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acks = append(acks, answer.Acks...)
		})
	}
	for relay, targets := range p.relayed {
		push(relay, targets)
	}
	for _, to := range p.direct {
		push(to, nil)
	}
	all.Wait()
	return acks
}
