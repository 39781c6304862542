package prepaid

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/failure"
)

// A holder that does not reach the store may use inactive tokens as they are unlocked, but
// only as far as a majority of the replicas that its grant row names has recorded how
// much of the grant it may use: an extension. So another router can bound the use of a
// holder that is lost; see lost.go. A row without replicas needs no extension. A holder
// of a pool uses inactive tokens only while most routers find the store silent, see silence.go, and with the consent of the
// routers that its heartbeats name, see consent.go. These bound its use also if its replicas are lost, too.
//
// Invariant: for each row that may be stored, the holder uses no more than the
// row's activated tokens, or than a majority of the row's replicas has recorded in
// extensions for this row or a later one, since the holder's newest heartbeat.

// The kinds of requests about extensions between routers.
const (
	// kindExtend has another router record how much of a grant its holder may use.
	kindExtend bus.Kind = "prepaid.extend"
	// kindFence requests the newest extension of a grant, and that no row up to a
	// number is extended any more.
	kindFence bus.Kind = "prepaid.fence"
)

// maxReplicas bounds the replicas that a grant row names.
const maxReplicas = 3

// majority returns how many of n replicas must record an extension.
func majority(n int) int { return n/2 + 1 }

// fenceQuorum returns the least number of n replicas without which there is no majority.
func fenceQuorum(n int) int { return n - majority(n) + 1 }

// extendRequest asks for an extension of the sender's grant. The stored row has a number from
// OldestSeq to NewestSeq, which is the last one that the holder has used.
type extendRequest struct {
	Workspace string `cbor:"1,keyasint"`
	// Replica is the process that is asked. Another one on the same VM does not know
	// what this one has recorded.
	Replica   bus.ID `cbor:"2,keyasint"`
	OldestSeq int64  `cbor:"3,keyasint"`
	NewestSeq int64  `cbor:"4,keyasint"`
	// Tokens is what the holder may use of the grant in total.
	Tokens int64 `cbor:"5,keyasint"`
}

// extendResponse is the response to an extendRequest. Fenced says that nothing was recorded.
type extendResponse struct {
	Fenced bool `cbor:"1,keyasint,omitempty"`
}

// fenceRequest asks that rows of a grant with numbers up to Seq are not extended any more.
type fenceRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Holder    bus.ID `cbor:"2,keyasint"`
	Replica   bus.ID `cbor:"3,keyasint"`
	Seq       int64  `cbor:"4,keyasint"`
}

// fenceResponse has the tokens that the holder may use by an extension of the row with the
// number Seq, or of a later one.
type fenceResponse struct {
	Tokens int64 `cbor:"1,keyasint"`
}

// extension is what a replica has recorded of a grant: the newest row that was extended, the
// tokens, and the newest row that is fenced.
type extension struct {
	seq, tokens, fencedSeq int64
}

// extend records a request, unless a row that may be stored is fenced.
func (e *extension) extend(r extendRequest) bool {
	switch {
	case r.OldestSeq <= e.fencedSeq:
		return false
	case r.OldestSeq > e.seq:
		// The use of the extension before is part of the row's activated tokens.
		e.seq, e.tokens = r.NewestSeq, r.Tokens
	default:
		e.seq, e.tokens = max(e.seq, r.NewestSeq), max(e.tokens, r.Tokens)
	}
	return true
}

// fence fences rows up to seq, and returns what an extension allows for the row seq.
func (e *extension) fence(seq int64) int64 {
	e.fencedSeq = max(e.fencedSeq, seq)
	if e.seq < seq {
		return 0
	}
	return e.tokens
}

// extensions are those that this router has recorded as a replica. They are kept as long
// as it lives, since a holder may use them after a suspension of any length.
type extensions struct {
	self    bus.ID
	mu      sync.Mutex // guards entries
	entries map[grantID]*extension
}

// init registers the handlers of p.
func (e *extensions) init(p *Pool) {
	e.self, e.entries = p.options.Self.ID, make(map[grantID]*extension)
	bus.Handle(p.options.Bus, kindExtend, e.extend)
	bus.Handle(p.options.Bus, kindFence, e.fence)
}

// entryLocked returns the entry of a grant.
func (e *extensions) entryLocked(id grantID) *extension {
	entry := e.entries[id]
	if entry == nil {
		entry = &extension{}
		e.entries[id] = entry
	}
	return entry
}

// extend handles the request of a holder.
func (e *extensions) extend(_ context.Context, from bus.ID, r extendRequest) (extendResponse, error) {
	if r.Replica != e.self {
		return extendResponse{}, errOtherReplica(kindExtend, r.Replica)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return extendResponse{Fenced: !e.entryLocked(grantID{r.Workspace, from}).extend(r)}, nil
}

// fence handles the request of a router that reclaims a grant.
func (e *extensions) fence(_ context.Context, _ bus.ID, r fenceRequest) (fenceResponse, error) {
	if r.Replica != e.self {
		return fenceResponse{}, errOtherReplica(kindFence, r.Replica)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return fenceResponse{Tokens: e.entryLocked(grantID{r.Workspace, r.Holder}).fence(r.Seq)}, nil
}

// errOtherReplica reports a request for an earlier process on this VM.
func errOtherReplica(kind bus.Kind, replica bus.ID) error {
	return failure.New(failure.Conflict, string(kind), "", "the request is for "+replica.String())
}

// acknowledgement is the newest extension that a replica has recorded for this holder.
// It counts until the next heartbeat.
type acknowledgement struct{ heartbeat, seq, tokens int64 }

// replaces reports whether an acknowledgement is newer than another one of the same replica.
func (a acknowledgement) replaces(other acknowledgement) bool {
	return cmp.Or(cmp.Compare(a.heartbeat, other.heartbeat), cmp.Compare(a.seq, other.seq), cmp.Compare(a.tokens, other.tokens)) > 0
}

// replicas returns the replicas for the next row of a grant of this process. Routers that
// do not respond are among them only if no other router does.
func (h *Holder) replicas(workspace string) []bus.ID {
	p := h.lends.Load()
	if p == nil {
		return nil
	}
	var ids []bus.ID
	for _, m := range p.rank(workspace).others {
		ids = append(ids, m.ID)
	}
	if responding := p.lost.responding(ids); len(responding) > 0 {
		ids = responding
	}
	return ids[:min(len(ids), maxReplicas)]
}

// usableLocked returns how much of the grant may be used, by the invariant above.
func (a *account) usableLocked() int64 {
	usable := a.usableOfLocked(a.storedGuaranteeLocked())
	for _, p := range a.pendingWrites {
		usable = min(usable, a.usableOfLocked(p.guarantee))
	}
	return usable
}

// usableOfLocked returns how much of the grant may be used if the given row is stored.
func (a *account) usableOfLocked(g guarantee) int64 {
	if len(g.replicas) == 0 {
		return a.usableWithoutReplicasLocked(g)
	}
	var recorded []int64
	newest := a.holder.heartbeat.newest()
	for _, id := range g.replicas {
		if ack, found := a.acknowledged[id]; found && ack.heartbeat == newest && ack.seq >= g.seq {
			recorded = append(recorded, ack.tokens)
		}
	}
	n := majority(len(g.replicas))
	if len(recorded) < n {
		return g.activated
	}
	slices.SortFunc(recorded, func(x, y int64) int { return cmp.Compare(y, x) })
	return max(g.activated, min(recorded[n-1], g.granted))
}

// usableWithoutReplicasLocked returns how much of the grant may be used if the given row, which names no
// replicas, is stored.
func (a *account) usableWithoutReplicasLocked(g guarantee) int64 {
	p := a.holder.lends.Load()
	if p == nil {
		return g.granted
	}
	unlockTime, ok := p.contact.unlockTime(a.writtenAt)
	if !ok {
		return g.activated
	}
	return g.activated + a.holder.options.Settings.Unlocked(unlockTime, g.granted-g.activated, g.unlockRate)
}

const (
	// extendAhead is the time for which an extension should last at the current rate
	// of use.
	extendAhead = time.Second
	// extendTimeout bounds the wait for the replicas, and extendRetryInterval is the
	// wait after an extension that no majority has recorded.
	extendTimeout       = 300 * time.Millisecond
	extendRetryInterval = 100 * time.Millisecond
	// extendFailedFor is how long after such an extension reservations do not wait for
	// another one.
	extendFailedFor = time.Second
)

// extendLocked requests an extension if the store is silent and the tokens that may be
// used become few.
func (a *account) extendLocked() {
	if a.extending || a.now().Sub(a.extendFailedAt) < extendRetryInterval || a.holder.ctx.Err() != nil {
		return
	}
	g, needed := a.guaranteedLocked(), a.inUseLocked()
	for _, w := range a.waiters {
		needed += w.tokens
	}
	ahead := int64(a.usage.perSecond(a.now())*extendAhead.Seconds() + a.meanRequest)
	usable, silentFor := a.usableLocked(), a.holder.heartbeat.silentFor()
	if usable >= min(g.granted, needed+ahead/2) || silentFor < a.holder.options.Settings.UnlockAfter/2 {
		return
	}
	p := a.holder.lends.Load()
	if p == nil {
		return
	}
	p.contact.followOutage()
	heartbeat := a.holder.heartbeat.newest()
	unlockTime, ok := p.contact.unlockTime(a.writtenAt)
	if !ok {
		if silentFor > outageNoticedWithin || p.contact.refuted() {
			a.extendFailedAt = a.now()
		}
		return
	}
	tokens := min(needed+ahead, g.activated+a.holder.options.Settings.Unlocked(unlockTime, g.granted-g.activated, g.unlockRate))
	if tokens <= usable {
		return
	}
	request := extendRequest{Workspace: a.workspace, OldestSeq: a.rowSeq, NewestSeq: a.seq, Tokens: tokens}
	replicas := slices.Clone(a.rowReplicas)
	for _, p := range a.pendingWrites {
		request.OldestSeq = min(request.OldestSeq, p.seq)
		for _, id := range p.replicas {
			if !slices.Contains(replicas, id) {
				replicas = append(replicas, id)
			}
		}
	}
	a.extending = a.holder.tasks.Go(func() { a.extend(request, replicas, heartbeat) })
}

// extend requests an extension from the replicas, and serves waiters once a majority has
// recorded it. heartbeat is the number of the newest one before.
func (a *account) extend(request extendRequest, replicas []bus.ID, heartbeat int64) {
	p := a.holder.lends.Load()
	ctx, cancel := context.WithTimeout(a.holder.ctx, extendTimeout)
	defer cancel()
	var running sync.WaitGroup
	var recorded atomic.Int64
	for _, id := range replicas {
		running.Go(func() {
			r := request
			r.Replica = id
			response, err := bus.Call[extendRequest, extendResponse](ctx, p.options.Bus, id, kindExtend, r)
			if err == nil && !response.Fenced {
				recorded.Add(1)
				a.extensionRecorded(id, acknowledgement{heartbeat, r.NewestSeq, r.Tokens})
			}
		})
	}
	running.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.extending = false
	if int(recorded.Load()) < majority(len(replicas)) {
		a.extendFailedAt = a.now()
		a.holder.options.Log.Info("extension of a grant not recorded by most replicas", "workspace", a.workspace, "asked", request.Tokens,
			"usable", a.usableLocked(), "in_use", a.inUseLocked(), "replicas", len(replicas), "recorded", recorded.Load(), "seq", request.NewestSeq, "pending", len(a.pendingWrites))
	}
	a.serveWaitersLocked()
}

// extensionRecorded notes that a replica has recorded an extension.
func (a *account) extensionRecorded(replica bus.ID, ack acknowledgement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ack.replaces(a.acknowledged[replica]) {
		a.acknowledged[replica] = ack
	}
	a.serveWaitersLocked()
}

// extensionFailsLocked reports whether a use of the grant fails since no majority of the
// replicas responds.
func (a *account) extensionFailsLocked(tokens int64) bool {
	return tokens > a.usableLocked() && !a.extendFailedAt.IsZero() && a.now().Sub(a.extendFailedAt) < extendFailedFor
}

// extendAll requests the extensions that grants of this process need.
func (h *Holder) extendAll() {
	for _, a := range h.accounts.All() {
		a.mu.Lock()
		a.extendLocked()
		a.mu.Unlock()
	}
}

// silentFor returns the time since the last heartbeat that may be in the store, or 0
// before the first.
func (hb *heartbeat) silentFor() time.Duration {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return hb.sinceHeartbeatLocked()
}
