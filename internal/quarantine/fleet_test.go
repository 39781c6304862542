package quarantine

import (
	"container/heap"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/exchange"
)

// crashing is a request that ends each endpoint that runs it.
type crashing struct {
	body    string
	every   time.Duration // between two bursts of it
	burst   int           // requests at the same moment
	from    time.Duration
	turns   time.Duration // when it begins to end endpoints; it is served before
	segment string        // shared with sound requests, or ""
}

// requestDay is a simulated load on a fleet: requests with and without prompts, some of
// which end endpoints.
type requestDay struct {
	name               string
	routers, endpoints int
	crashing           []crashing
	killEvery          time.Duration // between two ends of random endpoints for other reasons
	killed             int           // endpoints that end at such a moment
	restartEvery       time.Duration // between two restarts of a router
	delay              time.Duration // longest until an observation reaches another router
	popular            float64       // share of sound requests that all have the same body
	// unlucky is how many sound requests may be refused for longer than maxRefused, since
	// they were lost at too many ends in a row.
	unlucky int
}

// fleet plays a requestDay.
type fleet struct {
	requestDay
	random    *rand.Rand
	clock     *clock.Fake
	start     time.Time
	queue     eventQueue
	seq       int
	routers   []*Quarantine
	endpoints []*fleetEndpoint
	past      []func(*Quarantine) // observations for routers that start later

	ends  map[string][]time.Time // by crashing body
	late  map[string]int         // arrivals later than contactTime after the third end
	sound int
	// refusedFor has, for each sound body that was refused, the time until it was not.
	refusedFor map[string]time.Duration
	refusedAt  map[string]time.Time
}

type fleetEndpoint struct {
	starts    int
	downUntil time.Time
	inFlight  map[*fleetRequest]bool
}

type fleetRequest struct {
	id, body string
	router   int
	crashing *crashing
	segments []exchange.Segment
	sentAt   time.Time
	started  bool
	served   bool
	attempts int // of this sending of the caller
	sendings int // of the caller
}

const (
	requestDayLength = 40 * time.Second
	callerRetryTime  = time.Second
	maxSendings      = 6
)

func playRequests(d requestDay, seed uint64) *fleet {
	f := &fleet{
		requestDay: d, random: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1000, 0), ends: make(map[string][]time.Time), late: make(map[string]int),
		refusedFor: make(map[string]time.Duration), refusedAt: make(map[string]time.Time),
	}
	f.clock = clock.NewFake(f.start)
	for i := range d.routers {
		f.routers = append(f.routers, f.newRouter(i))
	}
	for range d.endpoints {
		f.endpoints = append(f.endpoints, &fleetEndpoint{inFlight: make(map[*fleetRequest]bool)})
	}
	f.soundLoad()
	for _, c := range d.crashing {
		f.after(c.from, func() { f.crashingLoad(&c) })
	}
	f.publishLoad()
	if d.killEvery > 0 {
		f.after(d.killEvery, f.killLoad)
	}
	if d.restartEvery > 0 {
		f.after(d.restartEvery, f.restartLoad)
	}
	for f.queue[0].at.Before(f.start.Add(requestDayLength)) {
		next := heap.Pop(&f.queue).(event)
		f.clock.Set(next.at)
		next.run()
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.clock.Now().Add(d), seq: f.seq, run: run})
}

func (f *fleet) newRouter(i int) *Quarantine {
	return New(Options{
		Settings: DefaultSettings(), Clock: f.clock, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		PublishReport:    func(_ string, r Report) { f.spread(i, func(q *Quarantine, at time.Time) { q.ReceiveReport(r, at) }) },
		PublishClearance: func(c Clearance) { f.spread(i, func(q *Quarantine, at time.Time) { q.ReceiveClearance(c, at) }) },
		Quarantined:      func() {}, MayTry: func(string) bool { return i == 0 },
		Jitter: func(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d))) },
	})
}

// spread delivers an observation to all other routers, and to those that start later.
func (f *fleet) spread(from int, deliver func(*Quarantine, time.Time)) {
	at := f.clock.Now()
	for i := range f.routers {
		if i != from {
			f.after(time.Duration(f.random.Int64N(int64(f.delay)+1)), func() { deliver(f.routers[i], at) })
		}
	}
	f.past = append(f.past, func(q *Quarantine) { deliver(q, at) })
}

func (f *fleet) publishLoad() {
	for _, q := range f.routers {
		q.publishDue()
	}
	f.after(50*time.Millisecond, f.publishLoad)
}

func (f *fleet) restartLoad() {
	i := f.random.IntN(len(f.routers))
	f.routers[i] = f.newRouter(i)
	for _, deliver := range f.past {
		deliver(f.routers[i])
	}
	f.after(f.restartEvery, f.restartLoad)
}

func (f *fleet) killLoad() {
	for range f.killed {
		f.end(f.random.IntN(len(f.endpoints)))
	}
	f.after(f.killEvery, f.killLoad)
}

func (f *fleet) soundLoad() {
	f.sound++
	r := &fleetRequest{body: fmt.Sprint("sound-", f.sound)}
	if f.random.Float64() < f.popular {
		r.body = "popular"
	}
	if f.random.IntN(2) == 0 {
		r.segments = []exchange.Segment{{ID: fmt.Sprint("first-", f.random.IntN(2))}, {ID: fmt.Sprint("subject-", f.random.IntN(subjects))}}
	}
	f.send(r)
	f.after(time.Duration(f.random.ExpFloat64()*float64(soundEvery)), f.soundLoad)
}

func (f *fleet) crashingLoad(c *crashing) {
	for range c.burst {
		r := &fleetRequest{body: c.body, crashing: c}
		if c.segment != "" {
			r.segments = []exchange.Segment{{ID: "first-0"}, {ID: c.segment}}
		}
		f.send(r)
	}
	f.after(time.Duration((0.5+f.random.Float64())*float64(c.every)), func() { f.crashingLoad(c) })
}

// considered returns what the routers consider of the request.
func (r *fleetRequest) considered() Request {
	return Request{Pool: "pool", Segments: r.segments, Fingerprint: fingerprintOf(r.body)}
}

// send has a caller send a request to a random router. A sound one comes again if it is
// refused or lost.
func (f *fleet) send(r *fleetRequest) {
	r.router, r.attempts, r.started, r.served = f.random.IntN(len(f.routers)), 0, false, false
	r.sendings++
	f.forward(r)
}

// forward has the router of a request send it to an endpoint, unless it is refused.
func (f *fleet) forward(r *fleetRequest) {
	f.seq++
	r.id = fmt.Sprint("r-", f.seq)
	r.attempts++
	_, refused := f.routers[r.router].Check(r.considered())
	if r.crashing == nil {
		f.countRefusal(r.body, refused)
	}
	if refused {
		f.sendAgain(r)
		return
	}
	i := f.random.IntN(len(f.endpoints))
	for range f.endpoints {
		if !f.clock.Now().Before(f.endpoints[i].downUntil) {
			f.run(r, i)
			return
		}
		i = (i + 1) % len(f.endpoints)
	}
}

// sendAgain has the caller of a sound request send it once more.
func (f *fleet) sendAgain(r *fleetRequest) {
	if r.crashing == nil && r.body != "popular" && r.sendings < maxSendings {
		f.after(callerRetryTime, func() { f.send(&fleetRequest{body: r.body, segments: r.segments, sendings: r.sendings}) })
	}
}

func (f *fleet) countRefusal(body string, refused bool) {
	at, before := f.refusedAt[body]
	switch {
	case refused && !before:
		f.refusedAt[body] = f.clock.Now()
	case !refused && before:
		f.refusedFor[body] = max(f.refusedFor[body], f.clock.Now().Sub(at))
		delete(f.refusedAt, body)
	}
}

func (f *fleet) run(r *fleetRequest, i int) {
	target := f.endpoints[i]
	target.inFlight[r], r.sentAt = true, f.clock.Now()
	if r.crashing != nil {
		if ends := f.ends[r.body]; len(ends) >= 3 && f.clock.Now().Sub(ends[2]) > contactTime {
			f.late[r.body]++
		}
	}
	step := func(d time.Duration, run func()) {
		f.after(d, func() {
			if target.inFlight[r] {
				run()
			}
		})
	}
	wait := time.Duration((0.3 + f.random.Float64()) * float64(waitTime))
	step(wait, func() {
		if r.crashing != nil && f.clock.Now().Sub(f.start) >= r.crashing.turns {
			f.ends[r.body] = append(f.ends[r.body], f.clock.Now())
			f.end(i)
			return
		}
		r.started = len(r.segments) > 0
	})
	step(wait+firstEvent+secondEvent, func() {
		if len(r.segments) > 0 {
			r.served = true
			f.routers[r.router].RecordServed("pool", r.segments)
		}
	})
	step(wait+time.Duration(f.random.Float64()*float64(time.Second)), func() {
		delete(target.inFlight, r)
		f.routers[r.router].RecordComplete(fingerprintOf(r.body))
	})
}

// end ends an endpoint; the routers report the requests that it had, and repeat them once.
func (f *fleet) end(i int) {
	target := f.endpoints[i]
	if f.clock.Now().Before(target.downUntil) {
		return
	}
	lost, endpoint := target.inFlight, fmt.Sprintf("i-%d-%d", i, target.starts)
	target.inFlight, target.downUntil = make(map[*fleetRequest]bool), f.clock.Now().Add(downTime)
	target.starts++
	for _, r := range slices.SortedFunc(maps.Keys(lost), func(a, b *fleetRequest) int { return strings.Compare(a.id, b.id) }) {
		report := Report{Pool: "pool", Endpoint: endpoint, Started: r.started, SentBeforeMS: f.clock.Now().Sub(r.sentAt).Milliseconds(), Fingerprint: fingerprintOf(r.body)}
		if !r.served {
			for _, s := range r.segments {
				report.Segments = append(report.Segments, s.ID)
			}
		}
		id, lostAt, router := r.id, f.clock.Now(), f.routers[r.router]
		f.after(reportTime, func() { router.RecordCrash(id, report, lostAt) })
		if r.attempts >= 2 || router.Suspected(r.considered(), endpoint) {
			f.sendAgain(r)
			continue
		}
		f.forward(&fleetRequest{body: r.body, crashing: r.crashing, segments: r.segments, router: r.router, attempts: r.attempts, sendings: r.sendings})
	}
}

// TestFleetStopsCrashingRequests guards against requests that crash one endpoint after the
// other although they have no segments, or segments that others share, and against the
// refusal of sound requests that were in flight with them.
func TestFleetStopsCrashingRequests(t *testing.T) {
	often := 500 * time.Millisecond
	one := []crashing{{body: "bad", every: often, burst: 1, from: 3 * time.Second}}
	several := func(n int, every time.Duration) []crashing {
		var list []crashing
		for i := range n {
			list = append(list, crashing{body: fmt.Sprint("bad-", i), every: every, burst: 1, from: time.Duration(3+i%4) * time.Second})
		}
		return list
	}
	days := []requestDay{
		{name: "9 routers", routers: 9, endpoints: 9, crashing: one},
		{name: "70 routers", routers: 70, endpoints: 30, crashing: one},
		{name: "195 routers", routers: 195, endpoints: 60, crashing: one},
		{name: "late observations", routers: 9, endpoints: 9, crashing: one, delay: 2900 * time.Millisecond},
		{name: "late observations, 195 routers", routers: 195, endpoints: 60, crashing: one, delay: 2900 * time.Millisecond},
		{name: "three endpoints", routers: 9, endpoints: 3, crashing: one},
		{name: "shared segment", routers: 9, endpoints: 9, crashing: []crashing{{body: "bad", every: often, burst: 1, from: 3 * time.Second, segment: "subject-1"}}},
		{name: "three at once", routers: 9, endpoints: 12, crashing: several(3, often)},
		{name: "a dozen in a day", routers: 9, endpoints: 30, crashing: several(12, 2*time.Second), unlucky: 2},
		{name: "in bursts of two", routers: 9, endpoints: 12, crashing: []crashing{{body: "bad", every: 4 * time.Second, burst: 2, from: 3 * time.Second}}},
		{name: "in bursts of three", routers: 9, endpoints: 12, crashing: []crashing{{body: "bad", every: 5 * time.Second, burst: 3, from: 3 * time.Second}}},
		{name: "in bursts of eight", routers: 70, endpoints: 30, crashing: []crashing{{body: "bad", every: 5 * time.Second, burst: 8, from: 3 * time.Second}}},
		{name: "in bursts of eight, late observations", routers: 70, endpoints: 30, crashing: []crashing{{body: "bad", every: 7 * time.Second, burst: 8, from: 3 * time.Second}}, delay: 2900 * time.Millisecond},
		{name: "in bursts of eight beside lost racks", routers: 9, endpoints: 40, crashing: []crashing{{body: "bad", every: 5 * time.Second, burst: 8, from: 3 * time.Second}}, killEvery: 3 * time.Second, killed: 6},
		{name: "served before", routers: 9, endpoints: 9, crashing: []crashing{{body: "bad", every: often, burst: 1, turns: 10 * time.Second}}},
		{name: "beside kills", routers: 9, endpoints: 12, crashing: one, killEvery: 2 * time.Second, killed: 1},
		{name: "beside lost racks", routers: 9, endpoints: 12, crashing: one, killEvery: 6 * time.Second, killed: 5},
		{name: "routers restart", routers: 9, endpoints: 9, crashing: one, restartEvery: time.Second},
		{name: "popular sound request", routers: 9, endpoints: 9, crashing: one, popular: 0.3},
		{name: "popular sound request beside lost racks", routers: 70, endpoints: 20, crashing: several(3, often), popular: 0.3, killEvery: 4 * time.Second, killed: 6},
	}
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			if d.delay == 0 {
				d.delay = 100 * time.Millisecond
			}
			for seed := range seedsFor(d.routers) {
				f := playRequests(d, seed)
				for _, c := range d.crashing {
					assert.Assert(t, len(f.ends[c.body]) > 0, "seed %d: nothing ended", seed)
					assert.Check(t, f.late[c.body] <= maxAfter, "seed %d: %s arrived %d times late, %d ends", seed, c.body, f.late[c.body], len(f.ends[c.body]))
				}
				f.checkSound(t, seed)
			}
		})
	}
}

// TestOrdinaryEndsRefuseNoRequest guards against the refusal of requests that were in flight
// at endpoints that ended for other reasons.
func TestOrdinaryEndsRefuseNoRequest(t *testing.T) {
	for _, d := range []requestDay{
		{name: "one after the other", killEvery: 700 * time.Millisecond, killed: 1, unlucky: 3},
		{name: "racks", killEvery: 5 * time.Second, killed: 5},
		{name: "all at once", killEvery: 6 * time.Second, killed: 40},
		{name: "popular request, one after the other", killEvery: 700 * time.Millisecond, killed: 1, popular: 0.3, unlucky: 3},
		{name: "popular request, racks", killEvery: 5 * time.Second, killed: 5, popular: 0.3},
		{name: "popular request, all at once", killEvery: 6 * time.Second, killed: 40, popular: 0.3},
	} {
		for _, routers := range []int{9, 195} {
			t.Run(fmt.Sprint(d.name, ", ", routers, " routers"), func(t *testing.T) {
				t.Parallel()
				d := d
				d.routers, d.endpoints, d.delay = routers, 12, 100*time.Millisecond
				for seed := range seedsFor(routers) {
					f := playRequests(d, seed)
					f.checkSound(t, seed)
				}
			})
		}
	}
}

// checkSound checks how long sound requests were refused.
func (f *fleet) checkSound(t *testing.T, seed uint64) {
	for body, at := range f.refusedAt {
		f.refusedFor[body] = max(f.refusedFor[body], f.start.Add(requestDayLength).Sub(at))
	}
	t.Logf("seed %d: %d of %d sound requests refused, %v", seed, len(f.refusedFor), f.sound, f.refusedFor)
	assert.Check(t, f.refusedFor["popular"] <= maxRefused, "seed %d: popular request refused for %s", seed, f.refusedFor["popular"])
	long := 0
	for _, d := range f.refusedFor {
		if d > maxRefused {
			long++
		}
	}
	assert.Check(t, long <= f.unlucky, "seed %d: %d sound requests refused for too long: %v", seed, long, f.refusedFor)
}

// maxRefused is how long a sound request may be refused.
const maxRefused = 5 * time.Second
