// Package delivery tests the path of work from a router to the endpoints over
// real sockets: dispatch, routing, admission and calls, against naive versions
// under the same failures.
package delivery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/admission"
	"daisyslip.dev/daisyslip/internal/calls"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/dispatch"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/work"
)

// Names of the bench.
const (
	benchModel     = "grain-7b"
	benchService   = "fans"
	benchWorkspace = "coop"
)

// bench is a set of endpoints behind sockets.
type bench struct {
	t        testing.TB
	engines  []*standin.Engine
	services []*standin.Service
	servers  []*httptest.Server // of the engines and then the services
	document catalog.Document
	index    *catalog.Index
	store    *memory.Store
	// client is the plain HTTP client of the naive versions. It is the
	// bench's own, since tests that run at once would share idle connections.
	client *http.Client
}

// Catalog implements route.Configuration.
func (b *bench) Catalog() *catalog.Index { return b.index }

// newBench starts engines with the given settings and plain services.
func newBench(t testing.TB, services int, engines ...standin.EngineSettings) *bench {
	b := &bench{t: t, store: memory.NewStore(clock.Real{}), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(b.client.CloseIdleConnections)
	b.document = catalog.Document{
		Revision:   1,
		Workspaces: []catalog.Workspace{{Name: benchWorkspace}},
		Pools: []catalog.Pool{
			{Name: "engines", Kind: catalog.PoolModel},
			{Name: "services", Kind: catalog.PoolService},
		},
	}
	for _, s := range engines {
		e := standin.NewEngine(s)
		b.engines = append(b.engines, e)
		b.addEndpoint(catalog.Endpoint{Name: s.Name, URL: b.serve(httptest.NewServer(e)), Models: s.Models})
	}
	for i := range services {
		s := standin.NewService(benchService, true)
		b.services = append(b.services, s)
		b.addEndpoint(catalog.Endpoint{
			Name: fmt.Sprintf("fans-%d", i+1), URL: b.serve(httptest.NewServer(s)), Service: benchService,
		})
	}
	return b
}

// serve closes a server at the end of the test, also if requests hang on it.
func (b *bench) serve(s *httptest.Server) string {
	b.servers = append(b.servers, s)
	b.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

func (b *bench) addEndpoint(e catalog.Endpoint) {
	b.document.Endpoints = append(b.document.Endpoints, e)
	index, err := catalog.NewIndex(b.document)
	assert.NilError(b.t, err)
	b.index = index
}

// fastEngines returns the settings of n engines.
func fastEngines(n int) []standin.EngineSettings {
	engines := make([]standin.EngineSettings, n)
	for i := range engines {
		engines[i] = standin.DefaultEngineSettings(fmt.Sprintf("engine-%d", i+1), benchModel)
		engines[i].TokenTime = 200 * time.Microsecond
	}
	return engines
}

// options are the settings of a router under test.
type options struct {
	route     route.Settings
	dispatch  dispatch.Settings
	admission admission.Settings
	calls     calls.Settings
	chooser   route.Chooser
	// unbounded leaves the admission queues without bounds.
	unbounded bool
	// routers share the bench.
	routers int
}

// quickOptions have short time-outs and room for retries.
func quickOptions() options {
	o := options{
		route:     route.DefaultSettings(),
		dispatch:  dispatch.DefaultSettings(),
		admission: admission.DefaultSettings(),
		calls:     calls.DefaultSettings(),
	}
	o.route.RetryFloor = 1000
	o.route.PollInterval = 20 * time.Millisecond
	o.dispatch.FirstTokenTimeout = dispatch.AdaptiveTimeout{Factor: 20, Floor: 100 * time.Millisecond, Ceiling: 300 * time.Millisecond}
	o.dispatch.GapTimeout = dispatch.AdaptiveTimeout{Factor: 50, Floor: 100 * time.Millisecond, Ceiling: 300 * time.Millisecond}
	o.dispatch.MaxChunkTokens = 1
	// On a busy machine a healthy engine may miss the short bounds too.
	o.dispatch.MaxAttempts = 100
	o.calls.Once.ResponseWait = 200 * time.Millisecond
	o.calls.Once.ResponsePollInterval = 5 * time.Millisecond
	o.calls.Once.ClaimTimeout = 200 * time.Millisecond
	return o
}

// patientOptions are quickOptions with bounds that no healthy engine misses,
// for tests of other things.
func patientOptions() options {
	o := quickOptions()
	bound := dispatch.AdaptiveTimeout{Factor: 1000, Floor: 20 * time.Second, Ceiling: 20 * time.Second}
	o.dispatch.FirstTokenTimeout, o.dispatch.GapTimeout = bound, bound
	o.calls.Once.ResponseWait = 20 * time.Second
	o.calls.Once.ClaimTimeout = 20 * time.Second
	return o
}

// awaitStream waits until an engine is in the middle of an answer.
func (b *bench) awaitStream(engine int) {
	for {
		for _, r := range b.engines[engine].Records() {
			if r.GeneratedTokens >= 2 && !r.Completed && !r.Canceled {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// node is one router over the bench.
type node struct {
	router   *route.Router
	dispatch *dispatch.Dispatcher
	calls    *calls.Runner
	records  *once.Records
	view     *memory.View
	events   *recorder
}

// nodeCount numbers the routers under test.
var nodeCount atomic.Int64

// node starts a router.
func (b *bench) node(o options) *node {
	set, events := metrics.NewSet(), &recorder{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	queues := admission.NewQueues(o.admission, clock.Real{}, set)
	onSlots := queues.SetSlots
	if o.unbounded {
		onSlots = nil
	}
	router := route.NewRouter(o.route, route.Dependencies{
		Config: b, Events: events, Metrics: set, Clock: clock.Real{}, Log: log, OnSlots: onSlots, Chooser: o.chooser,
		Routers: func() int { return o.routers },
	})
	n := &node{router: router, events: events, view: b.store.View()}
	n.records = once.NewRecords(o.calls.Once, n.view, clock.Real{}, fmt.Sprintf("node-%d", nodeCount.Add(1)))
	n.dispatch = dispatch.New(o.dispatch, dispatch.Dependencies{Router: router, Queues: queues, Events: events, Metrics: set})
	n.calls = calls.New(o.calls, calls.Dependencies{Router: router, Records: n.records, Events: events, Metrics: set, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx) }()
	b.t.Cleanup(func() {
		cancel()
		<-done
		router.Close()
		n.dispatch.Close()
		n.calls.Close()
	})
	return n
}

// recorder keeps events for checks.
type recorder struct {
	mu     sync.Mutex // guards events
	events []event.Event
}

// Record implements event.Recorder.
func (r *recorder) Record(e event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// of returns the events of a kind; an empty request is any.
func (r *recorder) of(kind event.Kind, request string) []event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event.Event
	for _, e := range r.events {
		if e.Kind == kind && (request == "" || e.Request == request) {
			found = append(found, e)
		}
	}
	return found
}

// newRandom returns a generator whose seed the test prints.
func newRandom(t testing.TB, seed uint64) *rand.Rand {
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, seed))
}

// userMessage returns a prompt of one message.
func userMessage(text string) []engine.Message {
	content, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return []engine.Message{{Role: "user", Content: content}}
}

// newGeneration returns a generation over a prompt.
func newGeneration(id, prompt string, maxTokens int64, within time.Duration) *work.Generation {
	messages := userMessage(prompt)
	raw, err := json.Marshal(messages)
	if err != nil {
		panic(err)
	}
	return &work.Generation{
		RequestInfo: work.RequestInfo{
			RequestID: id, Workspace: benchWorkspace, Deadline: time.Now().Add(within), Priority: work.PriorityNormal,
		},
		Model:        benchModel,
		Messages:     raw,
		MaxTokens:    maxTokens,
		PrefixBlocks: engine.PrefixBlocks(benchModel, engine.PromptBytes(messages), engine.BlockBytes, engine.MaxBlocks),
	}
}

// answered is what a caller received.
type answered struct {
	prompt  string
	text    string
	tokens  int64
	outcome work.Outcome
	err     error
}

// ask runs a generation and keeps what the caller receives.
func ask(ctx context.Context, g work.Generator, request *work.Generation) answered {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var a answered
	var text strings.Builder
	a.outcome, a.err = g.Generate(ctx, request, func(p work.Piece) error {
		text.WriteString(p.Text)
		a.tokens += p.Tokens
		return nil
	})
	a.text = text.String()
	return a
}

// right is the whole answer to a generation.
func right(g *work.Generation) string {
	var messages []engine.Message
	if err := json.Unmarshal(g.Messages, &messages); err != nil {
		panic(err)
	}
	return standin.ResponseText(messages, int(g.MaxTokens))
}

// promptTokens is what the engines count for a prompt of one message.
func promptTokens(prompt string) int64 { return int64(len(strings.Fields(prompt))) + 4 }

// ranAnywhere reports whether an engine has a record of any attempt of the
// request.
func (b *bench) ranAnywhere(n *node, request string) bool {
	attempts := make(map[string]bool)
	for _, e := range n.events.of(event.AttemptStarted, request) {
		attempts[e.Attempt] = true
	}
	for _, e := range b.engines {
		for _, record := range e.Records() {
			if attempts[record.RequestID] {
				return true
			}
		}
	}
	return false
}

// setFaults gives faults to the first n engines.
func (b *bench) setFaults(n int, f standin.EngineFaults) {
	for _, e := range b.engines[:n] {
		e.SetFaults(f)
	}
}

// each runs f for n indexes at once.
func each(n int, f func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { f(i) })
	}
	group.Wait()
}

// assertWhole checks that a caller got the whole answer and its bill.
func assertWhole(t testing.TB, g *work.Generation, prompt string, a answered) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.Equal(t, a.text, right(g))
	assert.Equal(t, a.outcome.Usage.CompletionTokens, int64(len(strings.Fields(a.text))))
	assert.Equal(t, a.outcome.Usage.PromptTokens, promptTokens(prompt))
	assert.Equal(t, a.tokens, a.outcome.Usage.CompletionTokens)
}

// kill breaks the connections of the i-th engine.
func (b *bench) kill(i int) { b.servers[i].CloseClientConnections() }
