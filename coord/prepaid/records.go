package prepaid

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// The kinds of requests about grants between routers.
const (
	// kindRecord tells another router of grants that are drawn or have changed.
	kindRecord bus.Kind = "prepaid.record"
	// kindGather requests the newest records that another router has.
	kindGather bus.Kind = "prepaid.gather"
)

// grantRecord is what a router knows of a grant apart from the store, which may lose
// it. A later record of a grant has a greater Seq, or the same one.
type grantRecord struct {
	Workspace string `cbor:"1,keyasint"`
	Holder    bus.ID `cbor:"2,keyasint"`
	Seq       int64  `cbor:"3,keyasint"`
	// Granted is what the holder may spend at most, or what it has spent at most if
	// the grant is closed.
	Granted  int64 `cbor:"4,keyasint"`
	Closed   bool  `cbor:"5,keyasint,omitempty"`
	OpenedMS int64 `cbor:"6,keyasint,omitempty"`
	// AgeMS is the time since the holder sent it, at least.
	AgeMS int64 `cbor:"7,keyasint,omitempty"`
}

func (r grantRecord) id() grantID { return grantID{r.Workspace, r.Holder} }

// newerThan reports whether the record replaces another one of the same grant. A
// successor that closes a grant does not know all that its holder has sent. Of two records
// with the same number, the one with more tokens counts, since the outcome of a write may
// have been unknown.
func (r grantRecord) newerThan(other grantRecord) bool {
	if r.Closed || other.Closed {
		return !other.Closed
	}
	return r.Seq > other.Seq || r.Seq == other.Seq && r.Granted > other.Granted
}

// recordRequest has the new records of a router.
type recordRequest struct {
	Grants []grantRecord `cbor:"1,keyasint"`
}

type recordResponse struct{}

// gatherRequest requests all records. Era is the newest era that the sender has seen.
type gatherRequest struct {
	Era int64 `cbor:"1,keyasint"`
}

// gatherResponse has the records. Witness says that the router has lived in an
// earlier era.
type gatherResponse struct {
	Grants  []grantRecord `cbor:"1,keyasint"`
	Witness bool          `cbor:"2,keyasint,omitempty"`
}

// knownGrant is a record that this router keeps, as of a local time.
type knownGrant struct {
	grantRecord
	at time.Time
}

// records are the newest records of grants that this router was told of. Holders tell
// a few routers, the witnesses, of each draw before they can use it. If a store is
// restored from a copy, a grant is thereby known even if its holder is dead or cut off.
type records struct {
	pool *Pool

	mu    sync.Mutex // guards all fields below
	known map[grantID]knownGrant
	// undelivered has the Seq of the newest record that is being delivered.
	undelivered map[deliveryKey]int64
	asked       map[bus.ID]bool // routers whose records exchange has requested
	// members are the other routers that were available lately, by VM.
	members map[string]seenMember
}

// deliveryKey identifies the records of one grant that one witness is told of.
type deliveryKey struct {
	to    bus.ID
	grant grantID
}

// seenMember is a router that was available at a time.
type seenMember struct {
	Member
	at time.Time
}

func (r *records) init(p *Pool) {
	r.pool = p
	r.known = make(map[grantID]knownGrant)
	r.undelivered = make(map[deliveryKey]int64)
	r.asked = make(map[bus.ID]bool)
	r.members = make(map[string]seenMember)
	bus.Handle(p.options.Bus, kindRecord, r.receive)
	bus.Handle(p.options.Bus, kindGather, r.answer)
}

// receive handles the records of another router.
func (r *records) receive(_ context.Context, _ bus.ID, request recordRequest) (recordResponse, error) {
	r.keep(request.Grants)
	return recordResponse{}, nil
}

// keep keeps those of the records that are newer than the known ones.
func (r *records) keep(list []grantRecord) {
	now := r.pool.options.Clock.Now()
	for _, g := range list {
		r.pool.lost.note(g.id(), !g.Closed)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range list {
		if known, found := r.known[g.id()]; !found || g.newerThan(known.grantRecord) {
			r.known[g.id()] = knownGrant{grantRecord: g, at: now.Add(-time.Duration(g.AgeMS) * time.Millisecond)}
		}
	}
}

// answer handles a request for all records, including those of this router's grants.
func (r *records) answer(_ context.Context, _ bus.ID, request gatherRequest) (gatherResponse, error) {
	var response gatherResponse
	response.Witness = r.pool.holder.eras.livedBefore(request.Era)
	now := r.pool.options.Clock.Now()
	r.mu.Lock()
	for _, known := range r.known {
		known.AgeMS = now.Sub(known.at).Milliseconds()
		response.Grants = append(response.Grants, known.grantRecord)
	}
	r.mu.Unlock()
	response.Grants = append(response.Grants, r.pool.holder.ownRecords()...)
	return response, nil
}

// ownRecords returns records of this process's open grants.
func (h *Holder) ownRecords() []grantRecord {
	var list []grantRecord
	for _, a := range h.accounts.All() {
		a.mu.Lock()
		if most := a.possiblyGrantedLocked(); most > 0 {
			list = append(list, a.recordLocked(most))
		}
		a.mu.Unlock()
	}
	return list
}

// recordLocked returns a record of this grant with an amount.
func (a *account) recordLocked(granted int64) grantRecord {
	return grantRecord{
		Workspace: a.workspace, Holder: bus.ID{VM: a.holder.options.VM, Incarnation: a.holder.options.Incarnation},
		Seq: a.seq, Granted: granted, OpenedMS: a.openedMs,
	}
}

// announce tells the witnesses of a workspace of a record.
func (h *Holder) announce(g grantRecord) {
	if p := h.lends.Load(); p != nil {
		p.records.announce(g)
	}
}

// announce tells the witnesses of a workspace of a record.
func (r *records) announce(g grantRecord) {
	r.keep([]grantRecord{g})
	for _, m := range r.pool.rank(g.Workspace).witnesses {
		key := deliveryKey{m.ID, g.id()}
		r.mu.Lock()
		r.undelivered[key] = g.Seq
		r.mu.Unlock()
		if !r.pool.holder.tasks.Go(func() { r.deliver(key, g) }) {
			r.endDelivery(key, g)
		}
	}
}

const (
	// maxRecordAttempts and recordRetryInterval bound the attempts to tell a witness.
	maxRecordAttempts   = 60
	recordRetryInterval = 300 * time.Millisecond
)

// deliver sends a record to a witness. It repeats it until the witness confirms it or
// there is a newer one, which is sent without waiting for this one.
func (r *records) deliver(key deliveryKey, g grantRecord) {
	defer r.endDelivery(key, g)
	for range maxRecordAttempts {
		ctx, cancel := r.callContext()
		_, err := bus.Call[recordRequest, recordResponse](ctx, r.pool.options.Bus, key.to, kindRecord, recordRequest{Grants: []grantRecord{g}})
		cancel()
		if err != nil {
			r.pool.lost.suspect(key.to)
		}
		if err == nil || clock.Sleep(r.pool.holder.ctx, r.pool.options.Clock, recordRetryInterval) != nil || !r.newestDelivery(key, g) {
			return
		}
	}
}

// newestDelivery reports whether no newer record of the grant is being delivered.
func (r *records) newestDelivery(key deliveryKey, g grantRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.undelivered[key] == g.Seq
}

// endDelivery ends the delivery of a record.
func (r *records) endDelivery(key deliveryKey, g grantRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.undelivered[key] == g.Seq {
		delete(r.undelivered, key)
	}
}

// flush waits until the witnesses were told of all records, or ctx ends.
func (r *records) flush(ctx context.Context) {
	for {
		r.mu.Lock()
		pending := len(r.undelivered)
		r.mu.Unlock()
		if pending == 0 || clock.Sleep(ctx, r.pool.options.Clock, settlerPollInterval) != nil {
			return
		}
	}
}

// gather requests the records of all other routers. It counts the answers, and reports
// whether one of the routers has lived in an earlier era.
func (r *records) gather(era int64) (answers answerCount, witnessed bool) {
	r.observeMembers()
	var running sync.WaitGroup
	var mu sync.Mutex // guards the results
	for _, m := range r.recentMembers() {
		answers.asked++
		running.Go(func() {
			response, err := r.gatherFrom(m.ID, era)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answers.answered++
			}
			witnessed = witnessed || response.Witness
		})
	}
	running.Wait()
	return answers, witnessed
}

// observeMembers notes the other routers that are available now.
func (r *records) observeMembers() {
	members, _ := r.pool.options.Fleet.Available()
	now := r.pool.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		if m.ID != r.pool.options.Self.ID {
			r.members[m.ID.VM] = seenMember{m, now}
		}
	}
}

// recentMembers returns the other routers that were available lately. One that does not
// respond now may be cut off, and have a grant.
func (r *records) recentMembers() []Member {
	now := r.pool.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []Member
	for vm, m := range r.members {
		if now.Sub(m.at) > maxCopyAge {
			delete(r.members, vm)
			continue
		}
		members = append(members, m.Member)
	}
	return members
}

// gatherFrom requests the records of one router.
func (r *records) gatherFrom(id bus.ID, era int64) (gatherResponse, error) {
	ctx, cancel := r.callContext()
	defer cancel()
	response, err := bus.Call[gatherRequest, gatherResponse](ctx, r.pool.options.Bus, id, kindGather, gatherRequest{Era: era})
	r.keep(response.Grants)
	return response, err
}

// exchange requests the records of each router that may be a witness of the same
// workspaces once, so that a router that takes the place of a dead one knows what that
// one knew.
func (r *records) exchange() {
	r.observeMembers()
	for _, id := range r.pool.fellowCandidates() {
		r.mu.Lock()
		asked := r.asked[id]
		r.asked[id] = true
		r.mu.Unlock()
		if asked {
			continue
		}
		r.pool.holder.tasks.Go(func() {
			if _, err := r.gatherFrom(id, r.pool.holder.eras.observe()); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				delete(r.asked, id)
			}
		})
	}
}

// fellowCandidates returns the other routers that may be witnesses of a workspace of
// which this router may be one.
func (p *Pool) fellowCandidates() []bus.ID {
	p.mu.Lock()
	workspaces := p.workspaces
	p.mu.Unlock()
	fellows := make(map[bus.ID]bool)
	for _, workspace := range workspaces {
		if rank := p.rank(workspace); rank.candidate {
			for _, m := range rank.others {
				fellows[m.ID] = true
			}
		}
	}
	return slices.Collect(maps.Keys(fellows))
}

// prune forgets records that every copy of the store has.
func (r *records) prune() {
	now := r.pool.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, known := range r.known {
		if now.Sub(known.at) > 2*maxCopyAge {
			delete(r.known, id)
		}
	}
}

// recordsOf returns the records of a workspace that a copy from which the store was
// restored at a time can lack.
func (h *Holder) recordsOf(workspace string, restored time.Time) []grantRecord {
	if p := h.lends.Load(); p != nil {
		return p.records.of(workspace, restored)
	}
	return nil
}

// of returns the records of a workspace that a copy from which the store was restored
// at a time can lack.
func (r *records) of(workspace string, restored time.Time) []grantRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []grantRecord
	for id, known := range r.known {
		if id.workspace == workspace && restored.Sub(known.at) < maxCopyAge {
			list = append(list, known.grantRecord)
		}
	}
	return list
}
