package fleetconfig

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/revlog"
)

// maxConcurrentPushes bounds the push requests that one call of pushAll has in
// flight.
const maxConcurrentPushes = 32

// maxPushHops bounds how often one push is forwarded from lessor to lessee. A
// router that receives a push after that many hops does not forward it and
// acknowledges nothing if it has lessees.
const maxPushHops = 3

// pushRequest carries new revisions to a router, and through it to Targets.
type pushRequest struct {
	Entries []revlog.Entry `cbor:"1,keyasint"`
	// Targets are the routers to which the receiver forwards the revisions.
	Targets []bus.ID `cbor:"2,keyasint,omitempty"`
	// Via lists the lessors that forwarded the push, because the receiver holds
	// a view lease of theirs. Each of them has applied the revisions or
	// acknowledges nothing, so the push is not forwarded to them again.
	Via []bus.ID `cbor:"3,keyasint,omitempty"`
}

// ack is a router's acknowledgement that it has applied a revision and will not
// serve an earlier one. Revision 0 acknowledges nothing.
type ack struct {
	ID       bus.ID `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
}

// pushResponse holds the acknowledgements of the receiver and its targets.
type pushResponse struct {
	Acks []ack `cbor:"1,keyasint"`
}

// handlePush applies the pushed revisions, fetches earlier ones that are missing, and
// forwards the push to its targets and to this router's lessees. It returns the
// acknowledgements of the targets and of this router.
func (k *Keeper) handlePush(ctx context.Context, from bus.ID, req pushRequest) (pushResponse, error) {
	if err := k.applyEntries(req.Entries); err != nil {
		return pushResponse{}, err
	}
	newest := int64(0)
	if len(req.Entries) > 0 {
		newest = req.Entries[len(req.Entries)-1].Revision
	}
	if k.Catalog().Revision < newest {
		if err := k.fetch(ctx, from); err != nil {
			k.log.Warn("could not fetch the configuration revisions that precede a push", "from", from.String(), "err", err)
		}
	}
	acks := k.pushAll(ctx, pushRequest{Entries: req.Entries}, pushPlan{direct: req.Targets})
	revision := k.revisionToAck(ctx, req, k.Catalog().Revision, newest)
	return pushResponse{Acks: append(acks, ack{ID: k.bus.Self().ID, Revision: revision})}, nil
}

// revisionToAck returns the revision that this router acknowledges: the applied
// one, or 0 if one of its lessees has not acknowledged newest, since it is unknown
// which revision that lessee serves. It forwards the push to the lessees first.
func (k *Keeper) revisionToAck(ctx context.Context, req pushRequest, applied, newest int64) int64 {
	if k.mustWithholdAck() {
		return 0
	}
	lessees := k.lesseesExcept(req.Via)
	if len(lessees) == 0 {
		return applied
	}
	behind := make(map[bus.ID]bool, len(lessees))
	for _, id := range lessees {
		behind[id] = true
	}
	if len(req.Via) < maxPushHops {
		via := append(slices.Clone(req.Via), k.bus.Self().ID)
		for _, a := range k.pushAll(ctx, pushRequest{Entries: req.Entries, Via: via}, pushPlan{direct: lessees}) {
			if a.Revision >= newest {
				delete(behind, a.ID)
			}
		}
	}
	if len(behind) > 0 {
		return 0
	}
	return applied
}

// lesseesExcept returns the lessees of this router that are not in via. Two
// routers may hold view leases of each other, so a push must not be forwarded
// back to the routers that it came through.
func (k *Keeper) lesseesExcept(via []bus.ID) []bus.ID {
	lessees := k.viewLeases.lessees(k.clock.Now(), k.grantedLeaseDuration())
	return slices.DeleteFunc(lessees, func(id bus.ID) bool { return slices.Contains(via, id) })
}

// pushPlan lists the routers that receive a push and how it reaches them.
type pushPlan struct {
	// direct lists the routers that this one pushes to itself.
	direct []bus.ID
	// relayed maps a relay to the routers to which it forwards the push.
	relayed map[bus.ID][]bus.ID
}

// pushTimeout returns the time limit of the pushes of one pushAll call:
// CallTimeout, or three quarters of the time until the deadline of ctx if that is
// less, so that a relay can still respond before its caller's deadline.
func (k *Keeper) pushTimeout(ctx context.Context) time.Duration {
	timeout := k.settings.CallTimeout
	if deadline, set := ctx.Deadline(); set {
		timeout = min(timeout, time.Until(deadline)*3/4)
	}
	return timeout
}

// pushAll sends req to the routers of a plan, to each relay with its targets, and
// returns the acknowledgements received. Routers that could not be reached are
// only logged.
func (k *Keeper) pushAll(ctx context.Context, req pushRequest, p pushPlan) []ack {
	if len(p.direct)+len(p.relayed) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.pushTimeout(ctx))
	defer cancel()
	var mu sync.Mutex // guards acks
	var acks []ack
	var pushes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPushes)
	push := func(to bus.ID, targets []bus.ID) {
		slots <- struct{}{}
		pushes.Go(func() {
			defer func() { <-slots }()
			resp, err := bus.Call[pushRequest, pushResponse](ctx, k.bus, to, kindPush, pushRequest{Entries: req.Entries, Targets: targets, Via: req.Via})
			if err != nil {
				k.log.Debug("could not push configuration revisions", "to", to.String(), "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			acks = append(acks, resp.Acks...)
		})
	}
	for relay, targets := range p.relayed {
		push(relay, targets)
	}
	for _, to := range p.direct {
		push(to, nil)
	}
	pushes.Wait()
	return acks
}
