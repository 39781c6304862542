package delivery

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/work"
)

// askMany runs n generations, a few at once, and returns what they got.
func askMany(t *testing.T, g work.Generator, n, atOnce int, within time.Duration) []answered {
	t.Helper()
	answers := make([]answered, n)
	var next atomic.Int64
	each(atOnce, func(int) {
		for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
			prompt := fmt.Sprintf("Bin %d today?", i)
			request := newGeneration(fmt.Sprint("request-", i), prompt, 24, within)
			answers[i] = ask(t.Context(), g, request)
			answers[i].prompt = prompt
		}
	})
	return answers
}

// attemptsOf sums the attempts of all requests.
func attemptsOf(answers []answered) int {
	sum := 0
	for _, a := range answers {
		sum += a.outcome.Attempts
	}
	return sum
}

// TestBrownOutIsNotAmplified breaks every answer at every engine: attempts
// stay within 1.1 for each request, where the naive version makes three.
func TestBrownOutIsNotAmplified(t *testing.T) {
	t.Parallel()
	const requests = 200
	b := newBench(t, 0, fastEngines(3)...)
	b.setFaults(3, standin.EngineFaults{BreakAfter: 2})
	o := quickOptions()
	o.route.RetryFloor = 10
	answers := askMany(t, b.node(o).dispatch, requests, 8, 10*time.Second)
	assert.Assert(t, attemptsOf(answers) <= requests*11/10, "%d attempts", attemptsOf(answers))
	naive := askMany(t, &naiveDispatcher{bench: b}, requests, 8, 10*time.Second)
	assert.Assert(t, attemptsOf(naive) >= 3*requests, "%d attempts", attemptsOf(naive))
}

// TestSlowEngineIsEjected slows one engine of four down: it is ejected before
// it fails, and returns once it is as fast as the others. When most of the
// pool is slow, it is not emptied.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	engines := fastEngines(4)
	for i := range engines {
		engines[i].TokenTime = 10 * time.Millisecond
	}
	b := newBench(t, 0, engines...)
	o := quickOptions()
	o.route.EjectTime = 50 * time.Millisecond
	n := b.node(o)
	askMany(t, n.dispatch, 40, 8, 20*time.Second)
	b.setFaults(1, standin.EngineFaults{SlowFactor: 10})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		askMany(t, n.dispatch, 8, 8, 20*time.Second)
		for _, e := range n.events.of(event.EndpointEjected, "") {
			if e.Endpoint == "engine-1" {
				return poll.Success()
			}
		}
		return poll.Continue("engine-1 is not ejected")
	}, poll.WithTimeout(30*time.Second))
	before := len(b.engines[0].Records())
	for _, a := range askMany(t, n.dispatch, 24, 8, 20*time.Second) {
		assert.NilError(t, a.err)
		assert.Assert(t, a.outcome.Endpoint != "engine-1")
	}
	for _, record := range b.engines[0].Records()[before:] {
		assert.Assert(t, record.RequestID[:6] == "probe-", "%s ran at an ejected engine", record.RequestID)
	}
	b.setFaults(1, standin.EngineFaults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(n.events.of(event.EndpointReinstated, "")) > 0 {
			return poll.Success()
		}
		return poll.Continue("engine-1 has not returned")
	}, poll.WithTimeout(30*time.Second))
}

// TestSlowAnswersMove has an engine slow down in the middle of its streams:
// answers that would be late there go on elsewhere and are on time. The naive
// version stays and is late.
func TestSlowAnswersMove(t *testing.T) {
	t.Parallel()
	engines := fastEngines(2)
	for i := range engines {
		engines[i].TokenTime = 10 * time.Millisecond
	}
	b := newBench(t, 0, engines...)
	n := b.node(quickOptions())
	askMany(t, n.dispatch, 16, 4, 20*time.Second)
	for _, g := range []work.Generator{n.dispatch, &naiveDispatcher{bench: b}} {
		b.setFaults(1, standin.EngineFaults{})
		go func() {
			b.awaitStream(0)
			b.setFaults(1, standin.EngineFaults{SlowFactor: 1000})
		}()
		late := 0
		for _, a := range askMany(t, g, 8, 8, 6*time.Second) {
			if a.err != nil {
				late++
				continue
			}
			assert.Equal(t, a.text, right(newGeneration("", a.prompt, 24, 0)))
		}
		_, isNaive := g.(*naiveDispatcher)
		assert.Equal(t, late > 0, isNaive, "%d answers were late", late)
	}
}

// TestPoolIsNeverEmptied has every engine refuse: at most half are ejected,
// and work runs as soon as they are well.
func TestPoolIsNeverEmptied(t *testing.T) {
	t.Parallel()
	b := newBench(t, 0, fastEngines(4)...)
	b.setFaults(4, standin.EngineFaults{Refuse: true})
	o := patientOptions()
	o.route.EjectTime = time.Hour
	n := b.node(o)
	for _, a := range askMany(t, n.dispatch, 40, 4, 10*time.Second) {
		assert.Equal(t, failure.As(a.err).Ran, failure.RanNo)
		assert.Assert(t, failure.As(a.err).RetryAfter > 0)
	}
	assert.Assert(t, len(n.events.of(event.EndpointEjected, "")) <= 2)
	b.setFaults(4, standin.EngineFaults{})
	for _, a := range askMany(t, n.dispatch, 8, 4, 10*time.Second) {
		assert.NilError(t, a.err)
	}
}

// TestLeavingEngineGetsNoWork has an engine report that it leaves: within the
// bound on the age of a view it gets no new work, while its streams finish.
func TestLeavingEngineGetsNoWork(t *testing.T) {
	t.Parallel()
	engines := fastEngines(2)
	engines[0].TokenTime = 5 * time.Millisecond
	b := newBench(t, 0, engines...)
	o := patientOptions()
	o.route.MaxViewAge = 100 * time.Millisecond
	n := b.node(o)
	inFlight := make(chan []answered, 1)
	go func() { inFlight <- askMany(t, n.dispatch, 8, 8, 20*time.Second) }()
	b.awaitStream(0)
	b.setFaults(1, standin.EngineFaults{Leaving: true})
	time.Sleep(2 * o.route.MaxViewAge)
	before := len(b.engines[0].Records())
	for _, a := range askMany(t, n.dispatch, 24, 4, 20*time.Second) {
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome.Endpoint, "engine-2")
	}
	assert.Equal(t, len(b.engines[0].Records()), before)
	for _, a := range <-inFlight {
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome.Attempts, 1)
	}
}

// TestStaleViewIsRefreshed passes over an engine that serves but does not
// answer for its load, and refuses honestly if there is no other.
func TestStaleViewIsRefreshed(t *testing.T) {
	t.Parallel()
	b := newBench(t, 0, fastEngines(1)...)
	mute := standin.NewEngine(fastEngines(1)[0])
	b.addEndpoint(catalog.Endpoint{Name: "mute", Models: []string{benchModel}, URL: b.serve(httptest.NewServer(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				http.Error(w, "no load report", http.StatusInternalServerError)
				return
			}
			mute.ServeHTTP(w, r)
		})))})
	n := b.node(quickOptions())
	for _, a := range askMany(t, n.dispatch, 12, 4, 10*time.Second) {
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome.Endpoint, "engine-1")
	}
	b.setFaults(1, standin.EngineFaults{Leaving: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a := askMany(t, n.dispatch, 1, 1, time.Second)[0]
		if failure.CodeOf(a.err) != failure.StaleView {
			return poll.Continue("%v", a.err)
		}
		assert.Equal(t, failure.As(a.err).Ran, failure.RanNo)
		return poll.Success()
	})
	assert.Equal(t, len(mute.Records()), 0)
}

// forwarder passes connections on to a server. Frozen connections stay open
// and carry nothing any more; new ones work.
type forwarder struct {
	listener net.Listener
	target   string
	mu       sync.Mutex // guards frozen
	frozen   *atomic.Bool
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	parsed, err := url.Parse(target)
	assert.NilError(t, err)
	f := &forwarder{listener: listener, target: parsed.Host, frozen: new(atomic.Bool)}
	t.Cleanup(func() { listener.Close() })
	go f.accept()
	return f
}

func (f *forwarder) url() string { return "http://" + f.listener.Addr().String() }

// freeze silences the connections that are open now.
func (f *forwarder) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen.Store(true)
	f.frozen = new(atomic.Bool)
}

func (f *forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.target)
		if err != nil {
			in.Close()
			continue
		}
		f.mu.Lock()
		frozen := f.frozen
		f.mu.Unlock()
		go forward(out, in, frozen)
		go forward(in, out, frozen)
	}
}

// forward copies until the connection ends or is frozen.
func forward(to io.WriteCloser, from io.Reader, frozen *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if frozen.Load() {
			return // both ends stay open
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// TestSilentConnections freezes all open connections to the only engine, also
// in the middle of streams: answers are whole over new connections, and the
// engine is not suspected.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	engines := fastEngines(1)
	engines[0].TokenTime = 5 * time.Millisecond
	b := newBench(t, 0, engines...)
	f := newForwarder(t, b.document.Endpoints[0].URL)
	b.document.Endpoints = nil
	b.addEndpoint(catalog.Endpoint{Name: "engine-1", URL: f.url(), Models: []string{benchModel}})
	n := b.node(quickOptions())
	askMany(t, n.dispatch, 8, 8, 10*time.Second)
	f.freeze()
	go func() {
		time.Sleep(400 * time.Millisecond)
		f.freeze()
	}()
	for _, a := range askMany(t, n.dispatch, 32, 8, 10*time.Second) {
		assert.NilError(t, a.err)
		assert.Equal(t, a.text, right(newGeneration("", a.prompt, 24, 0)))
	}
	assert.Equal(t, len(n.events.of(event.EndpointEjected, "")), 0)

	naive := &naiveDispatcher{bench: b}
	askMany(t, naive, 8, 8, 10*time.Second)
	f.freeze()
	lost := 0
	for _, a := range askMany(t, naive, 8, 8, time.Second) {
		if a.err != nil {
			lost++
		}
	}
	assert.Assert(t, lost > 0, "the naive version got over silent connections")
}
