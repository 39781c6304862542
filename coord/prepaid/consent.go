package prepaid

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"daisyslip.dev/daisyslip/coord/bus"
)

// This file decides who may use the inactive tokens of a holder that does not reach the store, and who may
// reclaim them, if most of its replicas are lost: from the outside, a group that is cut off looks the same as one that is
// lost. Each heartbeat row names its consenters, routers that responded when it was created.
//
// Invariant: a holder uses inactive tokens only with the consent, for its newest heartbeat, of the consenters of each of its
// heartbeats that may be in the store: of all but as many as may be missing, see mayMiss. A grant is reclaimed on
// the word of one more than these, consenters of the stored heartbeat that have not consented to it or a later one,
// and do not from then on. So the two always meet in a router that remembers. A process that starts again is another
// router, and neither consents nor gives its word in place of its predecessor.
//
// A heartbeat that replaces the one that was read for a reclaim comes after a gap: its holder writes its grants
// again before it uses inactive tokens, see maxHeartbeatGap, and that write conflicts with the reclaim.

// mayMiss returns how many of n consenters need not consent: none in a small fleet, of which a single router may
// survive; in a large one, some die at any time.
func mayMiss(n int) int { return max(n-6, 0) / 3 }

// consent is what one router has said to another one, a holder: the newest heartbeat for which it has consented,
// and the newest for which it withholds its consent.
type consent struct{ given, withheld int64 }

// give consents to the use of inactive tokens until a later heartbeat is stored. accepted and newest are the
// numbers of the holder's newest heartbeats that the store has accepted, and that may be in the store. It returns false if
// the consent is withheld.
func (c *consent) give(accepted, newest int64) bool {
	if accepted <= c.withheld {
		return false
	}
	c.given = max(c.given, newest)
	return true
}

// withhold refuses the consent as long as the holder's newest accepted heartbeat has this number or a lower
// one. It returns false if consent was given before.
func (c *consent) withhold(heartbeat int64) bool {
	c.withheld = max(c.withheld, heartbeat)
	return c.given < heartbeat
}

// routerSet is a set of routers as a heartbeat row has it: a hash of each.
type routerSet []byte

const routerHashBytes = 8

func newRouterSet(ids []bus.ID) routerSet {
	var s routerSet
	for _, id := range ids {
		s = binary.LittleEndian.AppendUint64(s, hashOf(id.VM, id.Incarnation))
	}
	return s
}

// len returns the number of routers.
func (s routerSet) len() int { return len(s) / routerHashBytes }

func (s routerSet) contains(id bus.ID) bool {
	for hash := range slices.Chunk(s, routerHashBytes) {
		if len(hash) == routerHashBytes && binary.LittleEndian.Uint64(hash) == hashOf(id.VM, id.Incarnation) {
			return true
		}
	}
	return false
}

// kindWithhold asks a consenter to withhold its consent from a holder that is taken to be lost.
const kindWithhold bus.Kind = "prepaid.withhold"

type withholdRequest struct {
	Holder bus.ID `cbor:"1,keyasint"`
	// Consenter is the process that is asked. Another one on the same VM does not know to what this one has
	// consented.
	Consenter bus.ID `cbor:"2,keyasint"`
	// Heartbeat is the number of the holder's heartbeat in the store.
	Heartbeat int64 `cbor:"3,keyasint"`
}

// withholdResponse says whether the consent was not given before.
type withholdResponse struct {
	Withheld bool `cbor:"1,keyasint,omitempty"`
}

// consents are those that this router has given or withholds. They are kept as long as it lives, since a
// holder may use its tokens after a suspension of any length.
type consents struct {
	self    bus.ID
	mu      sync.Mutex // guards holders
	holders map[bus.ID]*consent
}

// init registers the handler of p.
func (c *consents) init(p *Pool) {
	c.self, c.holders = p.options.Self.ID, make(map[bus.ID]*consent)
	bus.Handle(p.options.Bus, kindWithhold, c.withhold)
}

// ofLocked returns what this router has said to a holder.
func (c *consents) ofLocked(holder bus.ID) *consent {
	if c.holders[holder] == nil {
		c.holders[holder] = &consent{}
	}
	return c.holders[holder]
}

// give consents to the use of inactive tokens by a holder that polls this router.
func (c *consents) give(holder bus.ID, r contactRequest) bool {
	if r.Consenter != c.self || r.Newest == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ofLocked(holder).give(r.Accepted, r.Newest)
}

// withhold handles the request of a router that reclaims a grant.
func (c *consents) withhold(_ context.Context, _ bus.ID, r withholdRequest) (withholdResponse, error) {
	if r.Consenter != c.self {
		return withholdResponse{}, errOtherReplica(kindWithhold, r.Consenter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return withholdResponse{Withheld: c.ofLocked(r.Holder).withhold(r.Heartbeat)}, nil
}

// requireWithheld returns nil if consenters of a lost holder show that the holder uses no inactive tokens of a grant
// beyond its activated ones. fenceErr says why the replicas were not enough.
func (l *lostHolders) requireWithheld(id grantID, grant grantRow, last heartbeatRow, fenceErr error) error {
	if last.Incarnation != id.holder.Incarnation || last.Era != grant.Era || len(last.Consenters) == 0 {
		return fenceErr
	}
	withheld, responded := l.withheld(id.holder, last)
	needed := mayMiss(last.Consenters.len()) + 1
	if withheld >= needed {
		l.pool.options.Log.Info("consent withheld from a lost router", "workspace", id.workspace, "holder", id.holder.String(),
			"heartbeat", last.Number, "responded", responded, "withheld", withheld, "needed", needed, "fence", fenceErr.Error())
		return nil
	}
	return fmt.Errorf("%w, and %d of %d consenters that respond withhold consent to heartbeat %d, %d are needed", fenceErr, withheld, responded, last.Number, needed)
}

// withheld returns how many consenters of a lost holder's heartbeat withhold their consent, and how many
// responded.
func (l *lostHolders) withheld(holder bus.ID, last heartbeatRow) (withheld, responded int) {
	ctx, cancel := context.WithTimeout(l.pool.holder.ctx, extendTimeout)
	defer cancel()
	var running sync.WaitGroup
	var mu sync.Mutex // guards the results
	for _, id := range l.knownAmong(last.Consenters) {
		running.Go(func() {
			response, err := l.pool.withholdAt(ctx, id, withholdRequest{Holder: holder, Consenter: id, Heartbeat: last.Number})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return
			}
			responded++
			if response.Withheld {
				withheld++
			}
		})
	}
	running.Wait()
	return withheld, responded
}

// knownAmong returns the routers of a set that this router knows, itself included.
func (l *lostHolders) knownAmong(set routerSet) []bus.ID {
	var ids []bus.ID
	if self := l.pool.options.Self.ID; set.contains(self) {
		ids = append(ids, self)
	}
	for _, m := range l.pool.records.recentMembers() {
		if set.contains(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// withholdAt asks a consenter, which may be this router.
func (p *Pool) withholdAt(ctx context.Context, consenter bus.ID, request withholdRequest) (withholdResponse, error) {
	if consenter == p.options.Self.ID {
		return p.consents.withhold(ctx, consenter, request)
	}
	return bus.Call[withholdRequest, withholdResponse](ctx, p.options.Bus, consenter, kindWithhold, request)
}
