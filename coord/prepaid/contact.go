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

// contact follows whether the store responds to this router, and to the others if it does not.
// It makes attempts only while they are needed: by a holder whose heartbeats fail, by a router
// that polls, or to reclaim the grants of a lost fleet.
type contact struct {
	pool      *Pool
	startedAt time.Time
	wake      chan struct{} // ends the wait of run

	mu       sync.Mutex // guards all fields below
	attempts attempts
	outage   outage
	// Attempts are made until attemptUntil, and routers are polled until pollUntil; the last poll began at
	// polledAt.
	attemptUntil, pollUntil, polledAt time.Time
	// startedMs is a lower bound of the store's clock at the start of this process, or 0 before
	// the first response.
	startedMs int64
	// nextProbe counts the voters that were probed, and loggedAt is when a poll was logged last.
	nextProbe int
	loggedAt  time.Time
	// reaching are the routers to which the store responded in the poll that began at reachingAt.
	reaching   []bus.ID
	reachingAt time.Time
	// leaving are the routers that have said so, and when.
	leaving map[bus.ID]time.Time
}

// kindContact asks another router whether the store responds to it.
const kindContact bus.Kind = "prepaid.contact"

// contactRequest has the numbers of the sender's newest heartbeats that the store has accepted, and that may be in the
// store, if it asks for consent to the use of inactive tokens.
type contactRequest struct {
	// Consenter is the process that is asked for consent, as in withholdRequest.
	Consenter bus.ID `cbor:"1,keyasint"`
	Accepted  int64  `cbor:"2,keyasint,omitempty"`
	Newest    int64  `cbor:"3,keyasint,omitempty"`
}

// contactResponse says whether the store is silent or responds; neither is set while that is
// unknown.
type contactResponse struct {
	Silent     bool `cbor:"1,keyasint,omitempty"`
	Responding bool `cbor:"2,keyasint,omitempty"`
	// SinceMs, UntilMs and Era describe the series of responses, and StartedMs is a lower bound of the store's clock
	// at the start of the process, or 0.
	SinceMs   int64 `cbor:"3,keyasint,omitempty"`
	UntilMs   int64 `cbor:"4,keyasint,omitempty"`
	Era       int64 `cbor:"5,keyasint,omitempty"`
	StartedMs int64 `cbor:"6,keyasint,omitempty"`
	// Leaving says that the router stops as planned.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Consent says that the router consents, since the store has not answered it promptly or since it stops.
	Consent bool `cbor:"8,keyasint,omitempty"`
}

const (
	// contactNeededFor is how long attempts are made after a request for them, and newcomerFor how
	// long after the start of a process, when it knows which holders do not respond.
	contactNeededFor = 2 * time.Second
	newcomerFor      = 4 * time.Second
	// maxVoters bounds the routers that are polled. They are spread over the failure domains.
	maxVoters = 15
	// voterFor is how long a router that does not respond is polled. One that is silent for longer is
	// taken to be lost, not cut off.
	voterFor = 30 * time.Second
)

func (c *contact) init(p *Pool) {
	c.pool, c.startedAt, c.wake, c.leaving = p, p.options.Clock.Now(), make(chan struct{}, 1), make(map[bus.ID]time.Time)
	bus.Handle(p.options.Bus, kindContact, c.answer)
}

// run makes attempts and polls while they are needed, until ctx ends.
func (c *contact) run(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, poll := c.due()
		if !attempt {
			select {
			case <-ctx.Done():
			case <-c.wake:
			}
			continue
		}
		c.pool.holder.tasks.Go(c.attempt)
		if poll {
			c.pool.holder.tasks.Go(c.poll)
		}
		_ = clock.Sleep(ctx, c.pool.options.Clock, jitter(attemptInterval)) // the loop condition checks ctx
	}
}

// due reports whether an attempt and a poll are due.
func (c *contact) due() (attempt, poll bool) {
	now := c.pool.options.Clock.Now()
	newcomer := !c.pool.options.FirstStart && (now.Sub(c.startedAt) < newcomerFor || c.pool.lost.needsEvidence(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	poll = now.Before(c.pollUntil) && now.Sub(c.polledAt) >= pollInterval
	if poll {
		c.polledAt = now
	}
	return newcomer || now.Before(c.attemptUntil), poll
}

// attempt reads from the partition that all routers read to learn whether the store responds.
// It holds no rows.
func (c *contact) attempt() {
	ctx, cancel := context.WithTimeout(c.pool.holder.ctx, responseLimit)
	defer cancel()
	began := c.pool.options.Clock.Now()
	c.mu.Lock()
	c.attempts.started(began)
	c.mu.Unlock()
	snap, err := c.pool.relay.Store.Read(ctx, holdersTable, "")
	now := c.pool.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.attempts.failed()
		return
	}
	c.outage.ended()
	if c.startedMs == 0 {
		c.startedMs = (snap.Now - now.Sub(c.startedAt)).Milliseconds()
	}
	c.attempts.responded(began, now, snap.Now, snap.Era)
}

// reached notes a response of the store to any call of this router.
func (c *contact) reached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts.reached()
	c.outage.ended()
}

// outageEnded notes a response of the store to a call through another router.
func (c *contact) outageEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage.ended()
}

// followOutage makes attempts and polls for a while, since heartbeats fail.
func (c *contact) followOutage() {
	until := c.pool.options.Clock.Now().Add(contactNeededFor)
	c.mu.Lock()
	c.attemptUntil, c.pollUntil = until, until
	c.mu.Unlock()
	c.wakeUp()
}

// followIfUnanswered follows an outage of the store if a heartbeat that is sent now is unanswered for responseLimit,
// so that the consents are there before its call times out. The returned function ends the wait.
func (hb *heartbeat) followIfUnanswered() (answered func()) {
	p := hb.holder.lends.Load()
	if p == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(hb.holder.ctx)
	hb.holder.tasks.Go(func() {
		if clock.Sleep(ctx, hb.holder.options.Clock, responseLimit) == nil {
			p.contact.followOutage()
		}
	})
	return cancel
}

// wakeUp ends the wait of run.
func (c *contact) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// answer handles the question of another router, and makes attempts for a while.
func (c *contact) answer(ctx context.Context, from bus.ID, request contactRequest) (contactResponse, error) {
	leaving := c.pool.leaving()
	c.mu.Lock()
	c.attemptUntil = c.pool.options.Clock.Now().Add(contactNeededFor)
	r := c.responseLocked()
	c.mu.Unlock()
	c.wakeUp()
	r.Leaving = leaving
	if request.Newest > 0 && !r.Responding {
		consents := r.Silent || leaving || c.awaitUnanswered(ctx)
		r.Consent = consents && c.pool.consents.give(from, request)
	}
	return r, nil
}

// awaitUnanswered waits for the time of a prompt response of the store, and reports whether none has come.
func (c *contact) awaitUnanswered(ctx context.Context) bool {
	const slack = 10 * time.Millisecond // until the attempt starts
	_ = clock.Sleep(ctx, c.pool.options.Clock, promptResponse+slack)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts.unanswered(c.pool.options.Clock.Now())
}

// leaving reports whether this router stops as planned.
func (p *Pool) leaving() bool {
	members, _ := p.options.Fleet.Available()
	return p.holder.closing.Load() || !slices.ContainsFunc(members, func(m Member) bool { return m.ID == p.options.Self.ID })
}

// noteLeaving notes that a router stops as planned, so that it is not polled any more.
func (c *contact) noteLeaving(id bus.ID) {
	now := c.pool.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[id] = now
	maps.DeleteFunc(c.leaving, func(_ bus.ID, at time.Time) bool { return now.Sub(at) > 2*maxCopyAge })
}

// responseLocked says whether the store responds to this router.
func (c *contact) responseLocked() contactResponse {
	now := c.pool.options.Clock.Now()
	r := contactResponse{Silent: c.attempts.silent(now), StartedMs: c.startedMs}
	if series, ok := c.attempts.responding(now); ok {
		r.Responding, r.SinceMs, r.UntilMs, r.Era = true, series.since.Milliseconds()+1, series.until.Milliseconds(), series.era
	}
	return r
}
