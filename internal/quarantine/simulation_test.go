package quarantine

import (
	"container/heap"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/exchange"
)

// contactTime is the platform's bound after which routers that reach each other act on
// what one of them knows, and maxAfter the requests with a crashing segment that may
// still be sent once that has passed since the fifth crash.
const (
	contactTime = 3 * time.Second
	maxAfter    = 3
)

// day is a simulated load on a fleet. Times of a request are those of a small model
// engine: it waits, its response starts, the first event follows, and later the end.
type day struct {
	name      string
	routers   int
	endpoints int
	length    time.Duration
	// poisons are the crashing segments, each with the time between two requests, the
	// position before the last segment, and the start of the requests.
	poisons []poison
	// killEvery is the time between two ends of random endpoints without a cause in
	// requests, and killed the number of endpoints that end at such a moment.
	killEvery time.Duration
	killed    int
	// hotFrom is when two in five requests begin to have the same segment, which none
	// had before; 0 for never.
	hotFrom time.Duration
	// delay is the longest time until an observation reaches another router. Each is
	// delivered twice if doubled is set.
	delay   time.Duration
	doubled bool
}

type poison struct {
	id       string
	every    time.Duration
	position int
	from     time.Duration
	// turns is when the segment begins to crash endpoints; it is served before.
	turns time.Duration
}

// Times of requests and endpoints, and the rate of sound requests.
const (
	soundEvery  = 15 * time.Millisecond
	waitTime    = 300 * time.Millisecond
	firstEvent  = 45 * time.Millisecond
	secondEvent = 45 * time.Millisecond
	reportTime  = 2 * time.Millisecond
	downTime    = 3 * time.Second
	subjects    = 60
)

// simulation plays a day.
type simulation struct {
	day
	t       *testing.T
	random  *rand.Rand
	clock   *clock.Fake
	start   time.Time
	queue   eventQueue
	seq     int
	routers []*Quarantine
	pool    []*simEndpoint

	crashTimes   map[string][]time.Time // by crashing segment
	sentAfter    map[string]int         // requests sent contactTime after the fifth crash
	soundRefused int                    // later than contactTime after the fifth crash, or at any time without crashes
	sound        int
}

type simEndpoint struct {
	incarnation int
	downUntil   time.Time
	inFlight    map[*simRequest]bool
}

type simRequest struct {
	id       string
	router   int
	segments []exchange.Segment
	poison   string
	turns    time.Duration // of the poison
	sentAt   time.Time
	started  bool
	served   bool
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after plans run for a time from now.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.clock.Now().Add(d), seq: s.seq, run: run})
}

func play(t *testing.T, d day, seed uint64) *simulation {
	s := &simulation{
		day: d, t: t, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0),
		crashTimes: make(map[string][]time.Time), sentAfter: make(map[string]int),
	}
	s.clock = clock.NewFake(s.start)
	for i := range d.routers {
		s.routers = append(s.routers, New(Options{
			Settings: DefaultSettings(), Clock: s.clock, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
			PublishReport: func(_ string, r Report) {
				s.spread(i, func(q *Quarantine, at time.Time) { q.ReceiveReport(r, at) })
			},
			PublishClearance: func(c Clearance) {
				s.spread(i, func(q *Quarantine, at time.Time) { q.ReceiveClearance(c, at) })
			},
			Quarantined: func() {}, MayTry: func(string) bool { return i == 0 },
			Jitter: func(d time.Duration) time.Duration { return time.Duration(s.random.Int64N(int64(d))) },
		}))
	}
	for range d.endpoints {
		s.pool = append(s.pool, &simEndpoint{inFlight: make(map[*simRequest]bool)})
	}
	s.soundLoad()
	for _, p := range d.poisons {
		s.after(p.from, func() { s.poisonLoad(p, 0) })
	}
	if d.killEvery > 0 {
		s.after(d.killEvery, s.killLoad)
	}
	s.publishLoad()
	for len(s.queue) > 0 && s.queue[0].at.Before(s.start.Add(d.length)) {
		next := heap.Pop(&s.queue).(event)
		s.clock.Set(next.at)
		next.run()
	}
	return s
}

// spread delivers an observation to all other routers.
func (s *simulation) spread(from int, deliver func(*Quarantine, time.Time)) {
	at := s.clock.Now()
	for i, q := range s.routers {
		copies := 1
		if s.doubled {
			copies = 2
		}
		for range copies {
			if i != from {
				s.after(time.Duration(s.random.Int64N(int64(s.delay)+1)), func() { deliver(q, at) })
			}
		}
	}
}

func (s *simulation) publishLoad() {
	for _, q := range s.routers {
		q.publishDue()
	}
	s.after(50*time.Millisecond, s.publishLoad)
}

// soundLoad sends a sound request with a popular first segment and one of many subjects.
func (s *simulation) soundLoad() {
	subject := fmt.Sprint("subject-", s.random.IntN(subjects))
	if s.hotFrom > 0 && s.clock.Now().Sub(s.start) > s.hotFrom && s.random.IntN(5) < 2 {
		subject = "hot"
	}
	r := &simRequest{router: s.random.IntN(len(s.routers)), segments: []exchange.Segment{
		{ID: fmt.Sprint("first-", s.random.IntN(2))}, {ID: subject}, {ID: "own"},
	}}
	s.sound++
	if !s.send(r) && s.settled() {
		s.soundRefused++
	}
	s.after(time.Duration(s.random.ExpFloat64()*float64(soundEvery)), s.soundLoad)
}

// settled reports whether all crashing segments must be known.
func (s *simulation) settled() bool {
	for _, p := range s.poisons {
		times := s.crashTimes[p.id]
		if len(times) < 5 && (len(times) == 0 || s.clock.Now().Sub(times[len(times)-1]) < contactTime) || len(times) >= 5 && s.clock.Now().Sub(times[4]) < contactTime {
			return false
		}
	}
	return true
}

// poisonLoad sends the n-th request with a crashing segment, at another router each time.
// Its other segments are those of sound requests.
func (s *simulation) poisonLoad(p poison, n int) {
	segments := []exchange.Segment{{ID: fmt.Sprint("first-", s.random.IntN(2))}, {ID: fmt.Sprint("subject-", s.random.IntN(subjects))}, {ID: "own"}}
	segments = append(segments[:p.position], append([]exchange.Segment{{ID: p.id}}, segments[p.position:]...)...)
	r := &simRequest{router: n % len(s.routers), segments: segments, poison: p.id, turns: p.turns}
	if times := s.crashTimes[p.id]; s.send(r) && len(times) >= 5 && s.clock.Now().Sub(times[4]) > contactTime {
		s.sentAfter[p.id]++
	}
	s.after(p.every, func() { s.poisonLoad(p, n+1) })
}

// killLoad ends random endpoints whatever they serve.
func (s *simulation) killLoad() {
	for range s.killed {
		s.crash(s.random.IntN(len(s.pool)))
	}
	s.after(s.killEvery, s.killLoad)
}

// send sends a request to a random endpoint that is up, unless it is refused.
func (s *simulation) send(r *simRequest) bool {
	s.seq++
	r.id = fmt.Sprint("r-", s.seq)
	if _, refused := s.routers[r.router].Check(Request{Pool: "pool", Segments: r.segments[:len(r.segments)-1]}); refused {
		return false
	}
	i := s.random.IntN(len(s.pool))
	for range s.pool {
		if !s.clock.Now().Before(s.pool[i].downUntil) {
			s.execute(r, i)
			return true
		}
		i = (i + 1) % len(s.pool)
	}
	return true // not served, but not refused either
}

func (s *simulation) execute(r *simRequest, i int) {
	target := s.pool[i]
	target.inFlight[r], r.sentAt = true, s.clock.Now()
	step := func(d time.Duration, run func()) {
		s.after(d, func() {
			if target.inFlight[r] {
				run()
			}
		})
	}
	wait := time.Duration((0.5 + s.random.Float64()) * float64(waitTime))
	step(wait, func() { r.started = true })
	step(wait+firstEvent, func() {
		if r.poison != "" && s.clock.Now().Sub(s.start) >= r.turns {
			s.crashTimes[r.poison] = append(s.crashTimes[r.poison], s.clock.Now())
			s.crash(i)
		}
	})
	step(wait+firstEvent+secondEvent, func() {
		r.served = true
		s.routers[r.router].RecordServed("pool", r.segments[:len(r.segments)-1])
	})
	step(wait+time.Second, func() { delete(target.inFlight, r) })
}

// crash ends an endpoint; its requests report what they lost.
func (s *simulation) crash(i int) {
	target := s.pool[i]
	if s.clock.Now().Before(target.downUntil) {
		return
	}
	lost, endpoint := target.inFlight, fmt.Sprintf("i-%d-%d", i, target.incarnation)
	target.inFlight, target.downUntil = make(map[*simRequest]bool), s.clock.Now().Add(downTime)
	target.incarnation++
	requests := slices.SortedFunc(maps.Keys(lost), func(a, b *simRequest) int { return strings.Compare(a.id, b.id) })
	for _, r := range requests {
		if r.served {
			continue
		}
		report := Report{Pool: "pool", Endpoint: endpoint, Started: r.started, SentBeforeMS: s.clock.Now().Sub(r.sentAt).Milliseconds()}
		for _, segment := range r.segments[:len(r.segments)-1] {
			report.Segments = append(report.Segments, segment.ID)
		}
		lostAt := s.clock.Now()
		s.after(reportTime, func() { s.routers[r.router].RecordCrash(r.id, report, lostAt) })
	}
}

// seedsEnv sets the number of seeds for a long run.
const seedsEnv = "DAISYSLIP_SEEDS"

// seedsFor returns the number of seeds for a fleet of some size.
func seedsFor(routers int) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(seedsEnv), 10, 32); err == nil {
		return n
	}
	if routers > 9 || testing.Short() {
		return 2
	}
	return 8
}

// TestFleetStopsCrashingSegments guards against requests that crash one endpoint after
// the other although no router sees two of the first crashes, and against the refusal of
// sound requests that share other segments, an endpoint or a moment with them.
func TestFleetStopsCrashingSegments(t *testing.T) {
	often := 500 * time.Millisecond
	one := []poison{{id: "bad", every: often, position: 1}}
	days := []day{
		{name: "9 routers", routers: 9, endpoints: 9, poisons: one},
		{name: "195 routers", routers: 195, endpoints: 60, poisons: one},
		{name: "first segment", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: often, position: 0}}},
		{name: "last but one segment", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: often, position: 2}}},
		{name: "two at once", routers: 9, endpoints: 12, poisons: []poison{{id: "bad", every: often, position: 1}, {id: "worse", every: often, position: 1}}},
		{name: "two in turn", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: often, position: 1}, {id: "worse", every: often, position: 1, from: 15 * time.Second}}},
		{name: "rare", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: 2 * time.Second, position: 1}}},
		{name: "in bursts", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: 50 * time.Millisecond, position: 1}}},
		{name: "served before", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: often, position: 1, turns: 8 * time.Second}}},
		{name: "served before, 195 routers", routers: 195, endpoints: 60, poisons: []poison{{id: "bad", every: often, position: 1, turns: 8 * time.Second}}},
		{name: "served before, often", routers: 9, endpoints: 9, poisons: []poison{{id: "bad", every: 150 * time.Millisecond, position: 1, turns: 8 * time.Second}}},
		{name: "late and doubled observations", routers: 9, endpoints: 9, poisons: one, delay: time.Second, doubled: true},
		{name: "beside kills", routers: 9, endpoints: 12, poisons: one, killEvery: 3 * time.Second, killed: 1},
		{name: "beside lost racks", routers: 9, endpoints: 12, poisons: one, killEvery: 8 * time.Second, killed: 4},
	}
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			d.length = 30 * time.Second
			if d.delay == 0 {
				d.delay = 100 * time.Millisecond
			}
			for seed := range seedsFor(d.routers) {
				s := play(t, d, seed)
				for _, p := range d.poisons {
					assert.Assert(t, s.sentAfter[p.id] <= maxAfter, "seed %d: %d requests with %s sent after the fifth crash, %d crashes", seed, s.sentAfter[p.id], p.id, len(s.crashTimes[p.id]))
					assert.Assert(t, len(s.crashTimes[p.id]) > 0, "seed %d: nothing crashed", seed)
				}
				assert.Equal(t, s.soundRefused, 0, "seed %d: of %d sound requests", seed, s.sound)
			}
		})
	}
}

// TestOrdinaryEndsQuarantineNothing guards against blaming requests that were in flight
// at endpoints that ended for other reasons.
func TestOrdinaryEndsQuarantineNothing(t *testing.T) {
	days := []day{
		{name: "one after the other", killEvery: 700 * time.Millisecond, killed: 1},
		{name: "racks", killEvery: 5 * time.Second, killed: 5},
		{name: "all at once", killEvery: 6 * time.Second, killed: 40},
		{name: "racks as a segment gets hot", killEvery: 5 * time.Second, killed: 6, hotFrom: 4700 * time.Millisecond},
		{name: "all at once as a segment gets hot", killEvery: 5 * time.Second, killed: 40, hotFrom: 4600 * time.Millisecond},
	}
	for _, d := range days {
		for _, routers := range []int{9, 195} {
			t.Run(fmt.Sprint(d.name, ", ", routers, " routers"), func(t *testing.T) {
				t.Parallel()
				d := d // changed below
				d.routers, d.endpoints, d.length, d.delay = routers, 12, 30*time.Second, 100*time.Millisecond
				for seed := range seedsFor(d.routers) {
					s := play(t, d, seed)
					assert.Equal(t, s.soundRefused, 0, "seed %d: of %d sound requests", seed, s.sound)
					for _, q := range s.routers {
						assert.Equal(t, q.count(), 0, "seed %d: %s", seed, strings.Join(subjectsOf(q), " "))
					}
				}
			})
		}
	}
}

// subjectsOf returns what a router has quarantined.
func subjectsOf(q *Quarantine) []string {
	var subjects []string
	for _, x := range q.quarantined {
		subjects = append(subjects, x.subject)
	}
	return subjects
}
