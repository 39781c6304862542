// Package gossip spreads observations that one router makes about something that all
// routers share, such as an endpoint. An observation is small, has an origin, and is
// passed on with its age instead of a time, so that routers need no common clock.
//
// Each router sends what it knows to a few neighbours on a ring of all members, which
// pass it on. An observation that a neighbour did not acknowledge is sent again, and a
// router that joins gets all that are still kept. While a neighbour can't be reached,
// the observations are also written to the store, which every router follows.
package gossip

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// Topic is a type of observation. Each topic has one handler.
type Topic string

// Observation is what one router has observed.
type Observation struct {
	// Origin is the router that made it.
	Origin bus.ID
	Topic  Topic
	// Subject is what it is about. A later observation of the same origin, topic and
	// subject replaces an earlier one.
	Subject string
	// At is when it was made, on this router's clock. The time that a message was
	// underway is not known, so At can be late by that.
	At   time.Time
	Body []byte
}

// Handler receives an observation of another router. It is called once for each while
// that is kept, without a lock held, from several goroutines.
type Handler func(Observation)

// Members lists the routers of the fleet. Implementations are safe for concurrent use.
type Members interface {
	// Listed returns the ids of all members, this one included, in the same order at
	// all routers that know of the same members.
	Listed() []bus.ID
}

// Bounds on what is kept and sent.
const (
	// maxPerOrigin bounds the observations of one origin, and maxKept those of all.
	// The oldest ones are dropped.
	maxPerOrigin = 512
	maxKept      = 8192
	// MaxBodyBytes bounds the body of an observation, and maxSubjectBytes its subject.
	// Larger ones are refused.
	MaxBodyBytes    = 4 << 10
	maxSubjectBytes = 512
	// maxBatchBytes bounds the bodies of one message.
	maxBatchBytes = 64 << 10
)

// Times of the exchange between routers.
const (
	// sendTimeout bounds one message and its acknowledgement.
	sendTimeout = 300 * time.Millisecond
	// minRetryDelay is the wait after a failed message. It doubles with each further
	// one, up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// lostRetryDelay is the wait after lostFailures failed messages in a row: the VM of
	// the neighbour is lost, or cut off for long.
	lostRetryDelay = 15 * time.Second
	lostFailures   = 30
	// memberInterval is the time between two looks at the list of members while
	// observations are kept.
	memberInterval = 250 * time.Millisecond
)

// kindSpread is the bus kind of messages with observations.
const kindSpread bus.Kind = "gossip.spread"

// key identifies what an observation replaces.
type key struct {
	origin  bus.ID
	topic   Topic
	subject string
}

// entry is one observation that is kept.
type entry struct {
	Observation
	// number orders the observations of one origin.
	number uint64
	// arrival orders the entries of this router, with the newest last.
	arrival uint64
	// from is the router that sent it; zero for own observations and for those that
	// were read from the store.
	from bus.ID
}

// neighbour is the state of the exchange with one neighbour.
type neighbour struct {
	acked    uint64 // it has all entries up to this arrival
	inFlight bool
	failures int // since the last acknowledgement
	retryAt  time.Time
}

// topicState is the handler of a topic, how long its observations are kept, and which of
// them are written to the store.
type topicState struct {
	handler   Handler
	retention time.Duration
	stored    func(subject string) bool // nil for all
}

// Options are what a Spreader uses.
type Options struct {
	Bus     bus.Bus
	Members Members
	Clock   clock.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
	// Store is where observations are written while neighbours can't be reached, at
	// Row. If it is nil, nothing is written.
	Store rowstore.Store
	Row   rowstore.Key
}

// Spreader exchanges observations with the other routers. It is safe for concurrent
// use.
type Spreader struct {
	options Options
	self    bus.ID
	wake    chan struct{}
	store   *storeWriter
	stats   stats

	mu         sync.Mutex // guards all below; held over no call but those of topicState.stored
	topics     map[Topic]topicState
	entries    map[key]*entry
	numbers    uint64 // of the newest own observation
	arrivals   uint64 // of the newest entry
	neighbours map[bus.ID]*neighbour
	sending    sync.WaitGroup // messages and writes in progress
}

// stats are the counters of a Spreader.
type stats struct{ sent, failed, received, refused, written *metrics.Counter }

// New returns a Spreader and registers its handler at the bus. Topics are subscribed
// before Run.
func New(o Options) *Spreader {
	s := &Spreader{
		options: o, self: o.Bus.Self().ID, wake: make(chan struct{}, 1), topics: make(map[Topic]topicState),
		entries: make(map[key]*entry), neighbours: make(map[bus.ID]*neighbour),
		stats: stats{
			sent: o.Metrics.NewCounter("daisyslip_gossip_messages_sent_total"), failed: o.Metrics.NewCounter("daisyslip_gossip_messages_failed_total"),
			received: o.Metrics.NewCounter("daisyslip_gossip_observations_received_total"), refused: o.Metrics.NewCounter("daisyslip_gossip_observations_refused_total"),
			written: o.Metrics.NewCounter("daisyslip_gossip_rows_written_total"),
		},
	}
	s.store = &storeWriter{spreader: s}
	o.Metrics.NewGauge("daisyslip_gossip_observations", func() float64 { return float64(s.kept()) })
	bus.Handle(o.Bus, kindSpread, s.handleSpread)
	return s
}

// Subscribe sets the handler of a topic. Observations of the topic are kept, and passed
// on to routers that join, for the time retention.
func (s *Spreader) Subscribe(topic Topic, retention time.Duration, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = topicState{handler: handler, retention: retention}
}

// StoreOnly has those observations of other routers on a topic be written to the store for
// which stored returns true of their subject, beside all own ones. All routers read what each
// of them writes, so that much of little use delays what they need. Stored must not call the
// Spreader. The topic must have been subscribed.
func (s *Spreader) StoreOnly(topic Topic, stored func(subject string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.topics[topic]
	state.stored = stored
	s.topics[topic] = state
}

// Publish spreads an observation of this router that is made now. The handler of the
// topic is not called. An observation that exceeds the bounds is logged and dropped.
func (s *Spreader) Publish(topic Topic, subject string, body []byte) {
	if len(body) > MaxBodyBytes || len(subject) > maxSubjectBytes {
		s.stats.refused.Inc()
		s.options.Log.Error("observation not published, it is too large", "topic", string(topic), "subject_bytes", len(subject), "body_bytes", len(body))
		return
	}
	s.mu.Lock()
	s.numbers++
	s.keepLocked(&entry{
		Observation: Observation{Origin: s.self, Topic: topic, Subject: subject, At: s.options.Clock.Now(), Body: body},
		number:      s.numbers,
	})
	s.mu.Unlock()
	s.signal()
}

// kept returns the number of observations that are kept.
func (s *Spreader) kept() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// signal wakes Run.
func (s *Spreader) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// keepLocked keeps an entry, unless a newer one of the same key is kept. It reports
// whether the entry is new.
func (s *Spreader) keepLocked(e *entry) bool {
	k := key{origin: e.Origin, topic: e.Topic, subject: e.Subject}
	if known := s.entries[k]; known != nil && known.number >= e.number {
		return false
	}
	s.arrivals++
	e.arrival = s.arrivals
	s.entries[k] = e
	s.dropExcessLocked(e.Origin)
	return true
}

// dropExcessLocked drops the oldest entries beyond maxPerOrigin and maxKept.
func (s *Spreader) dropExcessLocked(origin bus.ID) {
	n := 0
	for k := range s.entries {
		if k.origin == origin {
			n++
		}
	}
	if n > maxPerOrigin {
		s.dropOldestLocked(func(k key) bool { return k.origin == origin })
	}
	if len(s.entries) > maxKept {
		s.dropOldestLocked(func(key) bool { return true })
	}
}

// dropOldestLocked drops the entry that arrived first of those that match.
func (s *Spreader) dropOldestLocked(matches func(key) bool) {
	var oldest key
	first := uint64(0)
	for k, e := range s.entries {
		if matches(k) && (first == 0 || e.arrival < first) {
			oldest, first = k, e.arrival
		}
	}
	delete(s.entries, oldest)
}

// pruneLocked drops the entries whose retention has passed.
func (s *Spreader) pruneLocked(now time.Time) {
	for k, e := range s.entries {
		if now.Sub(e.At) > s.topics[k.topic].retention {
			delete(s.entries, k)
		}
	}
}

// Run sends observations to the neighbours until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	defer s.sending.Wait()
	for {
		var timer <-chan time.Time
		if s.step(ctx) {
			timer = s.options.Clock.After(memberInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer:
		}
	}
}

// step starts a message to each neighbour that lacks observations, and a write to the
// store if one can't be reached or Persist was called. It reports whether observations are kept, so that a
// router that joins must be noticed.
func (s *Spreader) step(ctx context.Context) bool {
	now := s.options.Clock.Now()
	ids := neighboursOf(s.self, s.options.Members.Listed())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneLocked(now)
	if len(s.entries) == 0 {
		clear(s.neighbours)
		return false
	}
	s.updateNeighboursLocked(ids)
	unreached := false
	for id, n := range s.neighbours {
		unreached = unreached || n.failures > 0 && n.acked < s.arrivals
		if n.inFlight || now.Before(n.retryAt) {
			continue
		}
		batch, upTo := s.batchLocked(id, n.acked, now)
		if len(batch) == 0 {
			n.acked = upTo
			continue
		}
		n.inFlight = true
		s.sending.Go(func() { s.send(ctx, id, batch, upTo) })
	}
	s.store.forgetLostRowLocked()
	if unreached || s.store.wanted > s.store.written {
		s.store.requestLocked(ctx, now)
	}
	return true
}
