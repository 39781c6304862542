// Package delivery tests how a router delivers requests to endpoints over real
// sockets: dispatch, routing, admission and calls. Many tests also run a naive
// implementation under the same failures, to show that the failures are effective.
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
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/calls"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/dispatch"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Names used by all tests.
const (
	testModel     = "grain-7b"
	testService   = "fans"
	testWorkspace = "coop"
)

// testbed is a set of stand-in engines and services that listen on local sockets,
// with the configuration and the store that the routers under test share.
type testbed struct {
	t        testing.TB
	engines  []*standin.Engine
	services []*standin.Service
	servers  []*httptest.Server // the engines' servers, then the services'
	document catalog.Document
	index    *catalog.Index
	store    *memory.Store
	// client is the HTTP client of the naive implementations. Each testbed has
	// its own, because parallel tests would otherwise share idle connections.
	client *http.Client
}

// Catalog implements balancer.Configuration.
func (b *testbed) Catalog() *catalog.Index { return b.index }

// newTestbed starts engines with the given settings and a number of services.
func newTestbed(t testing.TB, services int, engines ...standin.EngineSettings) *testbed {
	b := &testbed{t: t, store: memory.NewStore(clock.Real{}), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(b.client.CloseIdleConnections)
	b.document = catalog.Document{
		Revision:   1,
		Workspaces: []catalog.Workspace{{Name: testWorkspace}},
		Pools: []catalog.Pool{
			{Name: "engines", Kind: catalog.PoolModel},
			{Name: "services", Kind: catalog.PoolService},
		},
	}
	for _, s := range engines {
		e := standin.NewEngine(s)
		b.engines = append(b.engines, e)
		b.addEndpoint(catalog.Endpoint{Name: s.Name, URL: b.addServer(httptest.NewServer(e)), Models: s.Models})
	}
	for i := range services {
		s := standin.NewService(testService, true)
		b.services = append(b.services, s)
		b.addEndpoint(catalog.Endpoint{
			Name: fmt.Sprintf("fans-%d", i+1), URL: b.addServer(httptest.NewServer(s)), Service: testService,
		})
	}
	return b
}

// addServer adds a running server and returns its URL. The server is closed at the
// end of the test, even if requests to it have not ended.
func (b *testbed) addServer(s *httptest.Server) string {
	b.servers = append(b.servers, s)
	b.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// addEndpoint adds an endpoint to the configuration. It must be called before a
// router is started.
func (b *testbed) addEndpoint(e catalog.Endpoint) {
	b.document.Endpoints = append(b.document.Endpoints, e)
	index, err := catalog.NewIndex(b.document)
	assert.NilError(b.t, err)
	b.index = index
}

// fastEngines returns the settings of n engines that generate a token every 200 µs.
func fastEngines(n int) []standin.EngineSettings {
	engines := make([]standin.EngineSettings, n)
	for i := range engines {
		engines[i] = standin.DefaultEngineSettings(fmt.Sprintf("engine-%d", i+1), testModel)
		engines[i].TokenTime = 200 * time.Microsecond
	}
	return engines
}

// options are the settings of a router under test.
type options struct {
	balancer  balancer.Settings
	dispatch  dispatch.Settings
	admission admission.Settings
	calls     calls.Settings
	chooser   balancer.Chooser
	// unboundedQueues disables the limits on requests in flight that the router
	// derives from the engines' slots.
	unboundedQueues bool
	// routerCount is the number of routers that share the endpoints.
	routerCount int
}

// shortTimeoutOptions returns options with short timeouts and a large retry budget,
// for tests of endpoints that fail.
func shortTimeoutOptions() options {
	o := options{
		balancer:  balancer.DefaultSettings(),
		dispatch:  dispatch.DefaultSettings(),
		admission: admission.DefaultSettings(),
		calls:     calls.DefaultSettings(),
	}
	o.balancer.RetryFloor = 1000
	o.balancer.PollInterval = 20 * time.Millisecond
	o.dispatch.FirstTokenTimeout = dispatch.AdaptiveTimeout{Factor: 20, Floor: 100 * time.Millisecond, Ceiling: 300 * time.Millisecond}
	o.dispatch.GapTimeout = dispatch.AdaptiveTimeout{Factor: 50, Floor: 100 * time.Millisecond, Ceiling: 300 * time.Millisecond}
	o.dispatch.MaxChunkTokens = 1
	// On a busy machine, a healthy engine may exceed the short timeouts too.
	o.dispatch.MaxAttempts = 100
	o.calls.Once.ResponseWait = 200 * time.Millisecond
	o.calls.Once.ResponsePollInterval = 5 * time.Millisecond
	o.calls.Once.ClaimTimeout = 200 * time.Millisecond
	return o
}

// longTimeoutOptions returns shortTimeoutOptions with timeouts that no healthy engine
// exceeds, for tests that do not test timeouts.
func longTimeoutOptions() options {
	o := shortTimeoutOptions()
	timeout := dispatch.AdaptiveTimeout{Factor: 1000, Floor: 20 * time.Second, Ceiling: 20 * time.Second}
	o.dispatch.FirstTokenTimeout, o.dispatch.GapTimeout = timeout, timeout
	o.calls.Once.ResponseWait = 20 * time.Second
	o.calls.Once.ClaimTimeout = 20 * time.Second
	return o
}

// waitForStream waits until the engine with the given index is in the middle of a
// response.
func (b *testbed) waitForStream(engine int) {
	for {
		for _, r := range b.engines[engine].Records() {
			if r.GeneratedTokens >= 2 && !r.Completed && !r.Canceled {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// testRouter is one router under test with its components.
type testRouter struct {
	balancer    *balancer.Balancer
	dispatcher  *dispatch.Dispatcher
	calls       *calls.Runner
	records     *once.Records
	storeClient *memory.Client
	events      *eventRecorder
}

// startedRouters numbers the routers under test; each needs a different name for its
// records of calls.
var startedRouters atomic.Int64

// startRouter starts a router over the testbed's endpoints. It stops at the end of
// the test.
func (b *testbed) startRouter(o options) *testRouter {
	metricSet, events := metrics.NewSet(), &eventRecorder{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	queues := admission.NewQueues(o.admission, clock.Real{}, metricSet)
	onSlots := queues.SetSlots
	if o.unboundedQueues {
		onSlots = nil
	}
	endpointBalancer := balancer.New(o.balancer, balancer.Dependencies{
		Config: b, Events: events, Metrics: metricSet, Clock: clock.Real{}, Log: log, OnSlots: onSlots, Chooser: o.chooser,
		Routers: func() int { return o.routerCount },
	})
	started := &testRouter{balancer: endpointBalancer, events: events, storeClient: b.store.NewClient()}
	started.records = once.NewRecords(o.calls.Once, started.storeClient, clock.Real{}, fmt.Sprintf("node-%d", startedRouters.Add(1)))
	started.dispatcher = dispatch.New(o.dispatch, dispatch.Dependencies{Balancer: endpointBalancer, Queues: queues, Events: events, Metrics: metricSet})
	started.calls = calls.New(o.calls, calls.Dependencies{Balancer: endpointBalancer, Records: started.records, Events: events, Metrics: metricSet, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- endpointBalancer.Run(ctx) }()
	b.t.Cleanup(func() {
		cancel()
		<-done
		endpointBalancer.Close()
	})
	return started
}

// eventRecorder retains recorded events for checks.
type eventRecorder struct {
	mu     sync.Mutex // guards events
	events []event.Event
}

// Record implements event.Recorder.
func (r *eventRecorder) Record(e event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// ofKind returns the events of the kind that belong to the request, or to any request
// if requestID is empty.
func (r *eventRecorder) ofKind(kind event.Kind, requestID string) []event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event.Event
	for _, e := range r.events {
		if e.Kind == kind && (requestID == "" || e.Request == requestID) {
			found = append(found, e)
		}
	}
	return found
}

// newRandom returns a random generator and logs its seed.
func newRandom(t testing.TB, seed uint64) *rand.Rand {
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, seed))
}

// userMessage returns a prompt that consists of one user message.
func userMessage(text string) []engine.Message {
	content, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return []engine.Message{{Role: "user", Content: content}}
}

// newGeneration returns a request to generate a response to the prompt. Its deadline
// is timeout from now.
func newGeneration(requestID, prompt string, maxTokens int64, timeout time.Duration) *requests.Generation {
	messages := userMessage(prompt)
	raw, err := json.Marshal(messages)
	if err != nil {
		panic(err)
	}
	return &requests.Generation{
		RequestInfo: requests.RequestInfo{
			RequestID: requestID, Workspace: testWorkspace, Deadline: time.Now().Add(timeout), Priority: requests.PriorityNormal,
		},
		Model:        testModel,
		Messages:     raw,
		MaxTokens:    maxTokens,
		PrefixBlocks: engine.PrefixBlocks(testModel, engine.PromptBytes(messages), engine.BlockBytes, engine.MaxBlocks),
	}
}

// generationResult is what a caller received for a generation.
type generationResult struct {
	prompt  string // set only by generateMany
	text    string // of all pieces
	tokens  int64  // of all pieces
	outcome requests.Outcome
	err     error
}

// generate runs a generation until its deadline and returns what the caller received.
func generate(ctx context.Context, g requests.Generator, request *requests.Generation) generationResult {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var result generationResult
	var text strings.Builder
	result.outcome, result.err = g.Generate(ctx, request, func(p requests.Piece) error {
		text.WriteString(p.Text)
		result.tokens += p.Tokens
		return nil
	})
	result.text = text.String()
	return result
}

// expectedText returns the complete response that the stand-in engines give to a
// generation.
func expectedText(g *requests.Generation) string {
	var messages []engine.Message
	if err := json.Unmarshal(g.Messages, &messages); err != nil {
		panic(err)
	}
	return standin.ResponseText(messages, int(g.MaxTokens))
}

// countPromptTokens returns the number of tokens that the stand-in engines count for
// a prompt of one message.
func countPromptTokens(prompt string) int64 { return int64(len(strings.Fields(prompt))) + 4 }

// executedAnywhere reports whether an engine has a record of any attempt that the
// router started for the request.
func (b *testbed) executedAnywhere(router *testRouter, requestID string) bool {
	attempts := make(map[string]bool)
	for _, e := range router.events.ofKind(event.AttemptStarted, requestID) {
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

// setEngineFaults replaces the faults of the first n engines.
func (b *testbed) setEngineFaults(n int, f standin.EngineFaults) {
	for _, e := range b.engines[:n] {
		e.SetFaults(f)
	}
}

// runConcurrently calls f for the indexes 0 to n-1 concurrently and waits for all.
func runConcurrently(n int, f func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { f(i) })
	}
	group.Wait()
}

// assertComplete checks that a caller got the complete response to its request and
// that the usage counts its tokens.
func assertComplete(t testing.TB, g *requests.Generation, prompt string, result generationResult) {
	t.Helper()
	assert.NilError(t, result.err)
	assert.Equal(t, result.text, expectedText(g))
	assert.Equal(t, result.outcome.Usage.CompletionTokens, int64(len(strings.Fields(result.text))))
	assert.Equal(t, result.outcome.Usage.PromptTokens, countPromptTokens(prompt))
	assert.Equal(t, result.tokens, result.outcome.Usage.CompletionTokens)
}

// closeConnections closes the connections to the engine with index i.
func (b *testbed) closeConnections(i int) { b.servers[i].CloseClientConnections() }
