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
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/standin"
)

// generateMany runs the given number of generations, at most concurrency at a time,
// each with a deadline after timeout. It returns their results in order.
func generateMany(t *testing.T, g requests.Generator, requests, concurrency int, timeout time.Duration) []generationResult {
	t.Helper()
	results := make([]generationResult, requests)
	var next atomic.Int64
	runConcurrently(concurrency, func(int) {
		for i := int(next.Add(1)) - 1; i < requests; i = int(next.Add(1)) - 1 {
			prompt := fmt.Sprintf("Bin %d today?", i)
			request := newGeneration(fmt.Sprint("request-", i), prompt, 24, timeout)
			results[i] = generate(t.Context(), g, request)
			results[i].prompt = prompt
		}
	})
	return results
}

// totalAttempts returns the sum of the attempts of all requests.
func totalAttempts(results []generationResult) int {
	total := 0
	for _, result := range results {
		total += result.outcome.Attempts
	}
	return total
}

// TestFailuresDoNotAmplifyLoad breaks every stream at every engine. The retry budget
// must keep attempts within 1.1 per request, where the naive dispatcher makes at
// least three.
func TestFailuresDoNotAmplifyLoad(t *testing.T) {
	t.Parallel()
	const requests = 200
	b := newTestbed(t, 0, fastEngines(3)...)
	b.setEngineFaults(3, standin.EngineFaults{BreakAfter: 2})
	o := shortTimeoutOptions()
	o.balancer.RetryFloor = 10
	results := generateMany(t, b.startRouter(o).dispatcher, requests, 8, 10*time.Second)
	assert.Assert(t, totalAttempts(results) <= requests*11/10, "%d attempts", totalAttempts(results))
	naive := generateMany(t, &naiveDispatcher{testbed: b}, requests, 8, 10*time.Second)
	assert.Assert(t, totalAttempts(naive) >= 3*requests, "%d attempts", totalAttempts(naive))
}

// TestSlowEngineIsEjected slows down one of four engines, without making it fail. It
// must be ejected, so that only probes are sent to it, and reinstated once it is as
// fast as the others again.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	engines := fastEngines(4)
	for i := range engines {
		engines[i].TokenTime = 10 * time.Millisecond
	}
	b := newTestbed(t, 0, engines...)
	o := shortTimeoutOptions()
	o.balancer.EjectTime = 50 * time.Millisecond
	router := b.startRouter(o)
	generateMany(t, router.dispatcher, 40, 8, 20*time.Second)
	b.setEngineFaults(1, standin.EngineFaults{SlowFactor: 10})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		generateMany(t, router.dispatcher, 8, 8, 20*time.Second)
		for _, e := range router.events.ofKind(event.EndpointEjected, "") {
			if e.Endpoint == "engine-1" {
				return poll.Success()
			}
		}
		return poll.Continue("engine-1 is not ejected")
	}, poll.WithTimeout(30*time.Second))
	before := len(b.engines[0].Records())
	for _, result := range generateMany(t, router.dispatcher, 24, 8, 20*time.Second) {
		assert.NilError(t, result.err)
		assert.Assert(t, result.outcome.Endpoint != "engine-1")
	}
	for _, record := range b.engines[0].Records()[before:] {
		assert.Assert(t, record.RequestID[:6] == "probe-", "%s executed at an ejected engine", record.RequestID)
	}
	b.setEngineFaults(1, standin.EngineFaults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(router.events.ofKind(event.EndpointReinstated, "")) > 0 {
			return poll.Success()
		}
		return poll.Continue("engine-1 is not reinstated")
	}, poll.WithTimeout(30*time.Second))
}

// TestSlowStreamsResumeAtAnotherEngine slows down an engine in the middle of its
// streams. Streams that would miss their deadline there must resume at the other
// engine and be on time. The naive dispatcher stays at the slow engine, and some of
// its responses must be late.
func TestSlowStreamsResumeAtAnotherEngine(t *testing.T) {
	t.Parallel()
	engines := fastEngines(2)
	for i := range engines {
		engines[i].TokenTime = 10 * time.Millisecond
	}
	b := newTestbed(t, 0, engines...)
	router := b.startRouter(shortTimeoutOptions())
	generateMany(t, router.dispatcher, 16, 4, 20*time.Second)
	for _, g := range []requests.Generator{router.dispatcher, &naiveDispatcher{testbed: b}} {
		b.setEngineFaults(1, standin.EngineFaults{})
		go func() {
			b.waitForStream(0)
			b.setEngineFaults(1, standin.EngineFaults{SlowFactor: 1000})
		}()
		lateResponses := 0
		for _, result := range generateMany(t, g, 8, 8, 6*time.Second) {
			if result.err != nil {
				lateResponses++
				continue
			}
			assert.Equal(t, result.text, expectedText(newGeneration("", result.prompt, 24, 0)))
		}
		_, isNaive := g.(*naiveDispatcher)
		assert.Equal(t, lateResponses > 0, isNaive, "%d responses were late", lateResponses)
	}
}

// TestAtMostHalfOfPoolIsEjected lets every engine refuse. At most half of them may be
// ejected, and requests must succeed as soon as the engines accept them again.
func TestAtMostHalfOfPoolIsEjected(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 0, fastEngines(4)...)
	b.setEngineFaults(4, standin.EngineFaults{Refuse: true})
	o := longTimeoutOptions()
	o.balancer.EjectTime = time.Hour
	router := b.startRouter(o)
	for _, result := range generateMany(t, router.dispatcher, 40, 4, 10*time.Second) {
		assert.Equal(t, failure.As(result.err).Ran, failure.RanNo)
		assert.Assert(t, failure.As(result.err).RetryAfter > 0)
	}
	assert.Assert(t, len(router.events.ofKind(event.EndpointEjected, "")) <= 2)
	b.setEngineFaults(4, standin.EngineFaults{})
	for _, result := range generateMany(t, router.dispatcher, 8, 4, 10*time.Second) {
		assert.NilError(t, result.err)
	}
}

// TestLeavingEngineGetsNoNewRequests lets an engine report that it is leaving. After
// twice the maximum age of a load report it must get no new requests, while its
// streams in flight complete there.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	engines := fastEngines(2)
	engines[0].TokenTime = 5 * time.Millisecond
	b := newTestbed(t, 0, engines...)
	o := longTimeoutOptions()
	o.balancer.MaxViewAge = 100 * time.Millisecond
	router := b.startRouter(o)
	inFlight := make(chan []generationResult, 1)
	go func() { inFlight <- generateMany(t, router.dispatcher, 8, 8, 20*time.Second) }()
	b.waitForStream(0)
	b.setEngineFaults(1, standin.EngineFaults{Leaving: true})
	time.Sleep(2 * o.balancer.MaxViewAge)
	before := len(b.engines[0].Records())
	for _, result := range generateMany(t, router.dispatcher, 24, 4, 20*time.Second) {
		assert.NilError(t, result.err)
		assert.Equal(t, result.outcome.Endpoint, "engine-2")
	}
	assert.Equal(t, len(b.engines[0].Records()), before)
	for _, result := range <-inFlight {
		assert.NilError(t, result.err)
		assert.Equal(t, result.outcome.Attempts, 1)
	}
}

// TestEngineWithoutLoadReportsGetsNoRequests adds an engine that serves completions
// but fails every query for its load. Requests must go to the other engine. Once that
// engine is leaving, requests must be refused with StaleView, as not executed.
func TestEngineWithoutLoadReportsGetsNoRequests(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 0, fastEngines(1)...)
	engine := standin.NewEngine(fastEngines(1)[0])
	b.addEndpoint(catalog.Endpoint{Name: "mute", Models: []string{testModel}, URL: b.addServer(httptest.NewServer(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				http.Error(w, "no load report", http.StatusInternalServerError)
				return
			}
			engine.ServeHTTP(w, r)
		})))})
	router := b.startRouter(shortTimeoutOptions())
	for _, result := range generateMany(t, router.dispatcher, 12, 4, 10*time.Second) {
		assert.NilError(t, result.err)
		assert.Equal(t, result.outcome.Endpoint, "engine-1")
	}
	b.setEngineFaults(1, standin.EngineFaults{Leaving: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		result := generateMany(t, router.dispatcher, 1, 1, time.Second)[0]
		if failure.CodeOf(result.err) != failure.StaleView {
			return poll.Continue("%v", result.err)
		}
		assert.Equal(t, failure.As(result.err).Ran, failure.RanNo)
		return poll.Success()
	})
	assert.Equal(t, len(engine.Records()), 0)
}

// tcpProxy forwards TCP connections to a server. Connections frozen by freeze stay
// open and forward nothing more; connections opened later work.
type tcpProxy struct {
	listener net.Listener
	target   string     // host and port of the server
	mu       sync.Mutex // guards frozen
	// frozen is shared by all connections accepted since the last freeze. It is
	// set to true by the next one.
	frozen *atomic.Bool
}

// newTCPProxy starts a proxy for the server at the URL target.
func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	parsed, err := url.Parse(target)
	assert.NilError(t, err)
	p := &tcpProxy{listener: listener, target: parsed.Host, frozen: new(atomic.Bool)}
	t.Cleanup(func() { listener.Close() })
	go p.accept()
	return p
}

func (p *tcpProxy) url() string { return "http://" + p.listener.Addr().String() }

// freeze stops all forwarding on the connections that are open now.
func (p *tcpProxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen.Store(true)
	p.frozen = new(atomic.Bool)
}

// accept forwards accepted connections until the listener is closed.
func (p *tcpProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		frozen := p.frozen
		p.mu.Unlock()
		go copyUntilFrozen(out, in, frozen)
		go copyUntilFrozen(in, out, frozen)
	}
}

// copyUntilFrozen copies data until the connection ends or is frozen.
func copyUntilFrozen(to io.WriteCloser, from io.Reader, frozen *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if frozen.Load() {
			return // both connections stay open
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

// TestSilentConnectionsAreReplaced freezes all open connections to the only engine,
// before requests and in the middle of streams. Responses must be complete over new
// connections, and the engine must not be ejected. The naive dispatcher must fail.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	engines := fastEngines(1)
	engines[0].TokenTime = 5 * time.Millisecond
	b := newTestbed(t, 0, engines...)
	proxy := newTCPProxy(t, b.document.Endpoints[0].URL)
	b.document.Endpoints = nil
	b.addEndpoint(catalog.Endpoint{Name: "engine-1", URL: proxy.url(), Models: []string{testModel}})
	router := b.startRouter(shortTimeoutOptions())
	generateMany(t, router.dispatcher, 8, 8, 10*time.Second)
	proxy.freeze()
	go func() {
		time.Sleep(400 * time.Millisecond)
		proxy.freeze()
	}()
	for _, result := range generateMany(t, router.dispatcher, 32, 8, 10*time.Second) {
		assert.NilError(t, result.err)
		assert.Equal(t, result.text, expectedText(newGeneration("", result.prompt, 24, 0)))
	}
	assert.Equal(t, len(router.events.ofKind(event.EndpointEjected, "")), 0)

	naive := &naiveDispatcher{testbed: b}
	generateMany(t, naive, 8, 8, 10*time.Second)
	proxy.freeze()
	failures := 0
	for _, result := range generateMany(t, naive, 8, 8, time.Second) {
		if result.err != nil {
			failures++
		}
	}
	assert.Assert(t, failures > 0, "no request of the naive version failed on silent connections")
}
