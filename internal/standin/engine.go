package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/engine"
)

// EngineSettings are the speed and the size of a stand-in engine.
type EngineSettings struct {
	Name   string
	Models []string
	// TokenTime is the time between two tokens of a stream on an idle engine.
	TokenTime time.Duration
	// PrefillTime is the time to process one prompt token that is not cached.
	PrefillTime time.Duration
	// Slots is the number of requests that run at once. Further requests wait.
	Slots int
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// BatchSlowdown is the growth of TokenTime when all slots are in use, as a
	// multiple of TokenTime: 1 doubles it.
	BatchSlowdown float64
	// ChecksFencing makes the engine refuse an order whose fencing number is
	// below the highest that it has accepted.
	ChecksFencing bool
}

// DefaultEngineSettings returns settings of an engine that is fast enough for
// tests.
func DefaultEngineSettings(name string, models ...string) EngineSettings {
	return EngineSettings{
		Name:          name,
		Models:        models,
		TokenTime:     time.Millisecond,
		PrefillTime:   5 * time.Microsecond,
		Slots:         64,
		CacheBlocks:   4096,
		BatchSlowdown: 1,
	}
}

// EngineFaults are the faults that an engine simulates. The zero value has none.
// Durations are in nanoseconds in JSON. A request keeps most of the faults that were
// set when it arrived. But a later change of SlowFactor or NoUsage applies to its
// remaining tokens, and a later change of WrongID to the last chunk of a stream or to
// a response that is not streamed. ClearAfterRequests is such a change.
type EngineFaults struct {
	// SlowFactor multiplies the prefill and token times. Values up to 1 have no
	// effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Refuse responds with status 503 without executing the request.
	Refuse bool `json:"refuse,omitempty"`
	// Hang accepts requests and never responds.
	Hang bool `json:"silent,omitempty"`
	// StallAfter stops a stream after this many tokens and keeps the connection
	// open.
	StallAfter int `json:"stall_after,omitempty"`
	// TruncateAfter ends the response after this many tokens, without the end
	// marker and without a connection error. -1 ends it before the first token.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// BreakAfter aborts the connection after this many tokens.
	BreakAfter int `json:"break_after,omitempty"`
	// PauseAfter is the number of tokens after which a stream pauses once, for
	// PauseFor, and then continues.
	PauseAfter int           `json:"pause_after,omitempty"`
	PauseFor   time.Duration `json:"pause_for,omitempty"`
	// SkipAfter is the number of tokens after which the next SkipTokens tokens
	// are left out of the stream. The usage counts them nevertheless.
	SkipAfter  int `json:"skip_after,omitempty"`
	SkipTokens int `json:"skip_tokens,omitempty"`
	// WrongID puts a wrong id on all chunks.
	WrongID bool `json:"wrong_id,omitempty"`
	// InsertForeignChunks inserts chunks with the id of another request between
	// the chunks of the response.
	InsertForeignChunks bool `json:"crossed,omitempty"`
	// ReplayEarlierChunks sends a chunk with the id of an earlier request before
	// each of the first three chunks.
	ReplayEarlierChunks bool `json:"late,omitempty"`
	// DuplicateChunks sends every chunk with a token twice.
	DuplicateChunks bool `json:"duplicate,omitempty"`
	// FirstTokenDelay delays the first token.
	FirstTokenDelay time.Duration `json:"first_delay,omitempty"`
	// NoUsage leaves the usage out of all chunks of a stream.
	NoUsage bool `json:"no_usage,omitempty"`
	// Leaving reports the engine as leaving in its load reports.
	Leaving bool `json:"leaving,omitempty"`
	// EventLossShare is the share of the cache events, from 0 to 1, that readers
	// never receive. EventDelay is the age from which they receive the others.
	EventLossShare float64       `json:"drop_events,omitempty"`
	EventDelay     time.Duration `json:"event_delay,omitempty"`
	// ClearAfterRequests removes all faults after this many requests. 0 keeps
	// them.
	ClearAfterRequests int `json:"requests,omitempty"`
}

// AttemptRecord is what an engine did for one attempt of a router. Attempts that
// meet the Refuse or the Hang fault have none.
type AttemptRecord struct {
	RequestID    string `json:"id"`
	Model        string `json:"model"`
	PromptTokens int    `json:"prompt"`
	CachedTokens int    `json:"cached"`
	// GeneratedTokens excludes ResumedTokens, which are the tokens of the final
	// message of a request that the engine continues.
	GeneratedTokens int       `json:"generated"`
	ResumedTokens   int       `json:"resumed"`
	StartedAt       time.Time `json:"started"`
	EndedAt         time.Time `json:"ended"`
	Completed       bool      `json:"finished"`
	Canceled        bool      `json:"canceled"`
	Priority        int       `json:"priority"`
}

// Engine is a stand-in for a model engine with continuous batching and a prefix
// cache. It is an http.Handler that serves the paths of package engine, and
// /standin/faults and /standin/records for tests.
type Engine struct {
	settings EngineSettings
	mux      *http.ServeMux
	slots    *slotQueue
	cache    *prefixCache
	orders   orderBook

	mu      sync.Mutex // guards all below
	faults  EngineFaults
	records []*AttemptRecord
	running int
	waiting int
}

// NewEngine returns an engine without faults.
func NewEngine(s EngineSettings) *Engine {
	e := &Engine{
		settings: s,
		mux:      http.NewServeMux(),
		slots:    newSlotQueue(s.Slots),
		cache:    newPrefixCache(s.CacheBlocks),
	}
	e.mux.HandleFunc("POST "+engine.PathChat, e.chat)
	e.mux.HandleFunc("GET "+engine.PathModels, e.models)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.load)
	e.mux.HandleFunc("GET "+engine.PathCacheEvents, e.cacheEvents)
	e.mux.HandleFunc("POST "+engine.PathOrders, e.order)
	e.mux.HandleFunc("PUT /standin/faults", e.putFaults)
	e.mux.HandleFunc("GET /standin/records", e.getRecords)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the engine's faults. It affects requests that arrive later,
// and running ones as EngineFaults says.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the current faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// faultsForRequest returns the faults that apply to a new request, and removes the
// engine's faults if ClearAfterRequests is used up.
func (e *Engine) faultsForRequest() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.ClearAfterRequests > 0 {
		if e.faults.ClearAfterRequests--; e.faults.ClearAfterRequests == 0 {
			e.faults = EngineFaults{}
		}
	}
	return f
}

// Records returns copies of the records of all attempts, in order of arrival.
func (e *Engine) Records() []AttemptRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]AttemptRecord, len(e.records))
	for i, r := range e.records {
		records[i] = *r
	}
	return records
}

// Orders returns the orders that the engine has accepted, in order, each id once.
func (e *Engine) Orders() []engine.Order { return e.orders.acceptedOrders() }

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if readJSON(w, r, &f) {
		e.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

func (e *Engine) getRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Records())
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	var list engine.ModelList
	for _, m := range e.settings.Models {
		list.Data = append(list.Data, engine.Model{ID: m})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := engine.Load{
		Running:    e.running,
		Waiting:    e.waiting,
		Slots:      e.settings.Slots,
		Leaving:    e.faults.Leaving || e.orders.isDraining(),
		ReportedAt: time.Now(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	var since int64
	fmt.Sscan(r.URL.Query().Get("since"), &since)
	f := e.Faults()
	writeJSON(w, http.StatusOK, e.cache.eventsSince(since, f.EventDelay, f.EventLossShare))
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	result := e.orders.accept(o, e.settings.ChecksFencing)
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

// chat serves one completion, as a stream or as a single response.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if !readJSON(w, r, &req) {
		return
	}
	faults := e.faultsForRequest()
	if faults.Refuse {
		writeJSON(w, http.StatusServiceUnavailable, engine.ErrorBody{Error: engine.ErrorDetail{Message: "engine refuses work", Code: "refused"}})
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	g := e.startAttempt(req, r.Header.Get(engine.RequestIDHeader))
	defer e.endAttempt(g)
	if !e.waitForSlot(r.Context(), g) {
		return
	}
	defer e.slots.release()
	e.prefill(r.Context(), g, faults)
	g.generate(r.Context(), w, faults)
}

// startAttempt adds the record of a new attempt, which waits for a slot.
func (e *Engine) startAttempt(req engine.ChatRequest, id string) *generation {
	g := newGeneration(e, req, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = append(e.records, g.record)
	e.waiting++
	return g
}

// waitForSlot waits for a slot. It returns false if the caller disconnects first.
func (e *Engine) waitForSlot(ctx context.Context, g *generation) bool {
	err := e.slots.acquire(ctx, g.request.Priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if err != nil {
		g.record.Canceled = true
		return false
	}
	e.running++
	g.admitted = true
	return true
}

// prefill sleeps for as long as the engine needs for the part of the prompt that is
// not cached, plus FirstTokenDelay, and stores the prompt's blocks in the cache.
func (e *Engine) prefill(ctx context.Context, g *generation, f EngineFaults) {
	cached := e.cache.lookupAndStore(g.prefixBlocks) * engine.BlockTokens
	cached = min(cached, g.promptTokens)
	e.mu.Lock()
	g.record.CachedTokens = cached
	e.mu.Unlock()
	sleep(ctx, applySlowFactor(time.Duration(g.promptTokens-cached)*e.settings.PrefillTime, f)+f.FirstTokenDelay)
}

// endAttempt completes the record of an attempt.
func (e *Engine) endAttempt(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.admitted {
		e.running--
	}
	g.record.EndedAt = time.Now()
}

// currentTokenTime returns the time between two tokens, which grows with the share
// of the slots in use.
func (e *Engine) currentTokenTime(f EngineFaults) time.Duration {
	e.mu.Lock()
	busyShare := float64(e.running) / float64(max(e.settings.Slots, 1))
	e.mu.Unlock()
	return applySlowFactor(time.Duration(float64(e.settings.TokenTime)*(1+e.settings.BatchSlowdown*busyShare)), f)
}

// applySlowFactor returns d multiplied by the SlowFactor fault.
func applySlowFactor(d time.Duration, f EngineFaults) time.Duration {
	if f.SlowFactor > 1 {
		return time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// marshal encodes v. It panics on an error, since all types passed to it can be
// encoded.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
