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

// EngineSettings describe the speed and size of a stand-in engine.
type EngineSettings struct {
	Name   string
	Models []string
	// TokenTime is the time between two tokens of a stream when the engine
	// is empty.
	TokenTime time.Duration
	// PrefillTime is the time to read one prompt token that is not cached.
	PrefillTime time.Duration
	// Slots is the number of streams that run at once; more wait.
	Slots int
	// CacheBlocks bounds the prompt blocks kept in the prefix cache.
	CacheBlocks int
	// BatchSlowdown is how many times TokenTime grows when all slots run.
	BatchSlowdown float64
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
}

// DefaultEngineSettings returns an engine that is fast enough for tests.
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

// EngineFaults are the faults of an engine. The zero value is healthy.
type EngineFaults struct {
	// SlowFactor multiplies all times; 0 and 1 are full speed.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Refuse answers 503 before anything runs.
	Refuse bool `json:"refuse,omitempty"`
	// Silent accepts requests and never answers them.
	Hang bool `json:"silent,omitempty"`
	// StallAfter stops a stream without closing it after this many tokens.
	StallAfter int `json:"stall_after,omitempty"`
	// TruncateAfter ends a stream cleanly, without its end marker, after this
	// many tokens; -1 ends it before the first.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// BreakAfter breaks the connection after this many tokens.
	BreakAfter int `json:"break_after,omitempty"`
	// PauseAfter stops a stream for PauseFor after this many tokens and then
	// goes on, in nanoseconds in JSON.
	PauseAfter int           `json:"pause_after,omitempty"`
	PauseFor   time.Duration `json:"pause_for,omitempty"`
	// SkipAfter passes this many tokens and leaves the next SkipTokens out of
	// the stream, though they are counted.
	SkipAfter  int `json:"skip_after,omitempty"`
	SkipTokens int `json:"skip_tokens,omitempty"`
	// WrongID tags all pieces with another request's id.
	WrongID bool `json:"wrong_id,omitempty"`
	// Crossed puts a piece of another request's answer between the pieces.
	InsertForeignChunks bool `json:"crossed,omitempty"`
	// Late sends the pieces of an earlier request's answer, with its id,
	// before the pieces of this one.
	ReplayEarlierChunks bool `json:"late,omitempty"`
	// Duplicate sends every piece twice.
	DuplicateChunks bool `json:"duplicate,omitempty"`
	// FirstDelay delays the first piece, in nanoseconds in JSON.
	FirstTokenDelay time.Duration `json:"first_delay,omitempty"`
	// NoUsage leaves the usage out of all chunks.
	NoUsage bool `json:"no_usage,omitempty"`
	// Leaving reports the engine as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// DropEvents loses this share of the cache events, and EventDelay
	// delays the others.
	EventLossShare float64       `json:"drop_events,omitempty"`
	EventDelay     time.Duration `json:"event_delay,omitempty"`
	// Requests ends the faults after this many requests; 0 is no end.
	ClearAfterRequests int `json:"requests,omitempty"`
}

// EngineRecord is what an engine did for one attempt.
type AttemptRecord struct {
	RequestID       string    `json:"id"`
	Model           string    `json:"model"`
	PromptTokens    int       `json:"prompt"`
	CachedTokens    int       `json:"cached"`
	GeneratedTokens int       `json:"generated"`
	ResumedTokens   int       `json:"resumed"`
	StartedAt       time.Time `json:"started"`
	EndedAt         time.Time `json:"ended"`
	Completed       bool      `json:"finished"`
	Canceled        bool      `json:"canceled"`
	Priority        int       `json:"priority"`
}

// Engine is a stand-in for a model engine with continuous batching and a
// prefix cache.
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

// NewEngine returns a stand-in engine.
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

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the engine's faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeFaults returns the faults of a new request.
func (e *Engine) takeFaults() EngineFaults {
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

// Records returns copies of what the engine did, in order of arrival.
func (e *Engine) Records() []AttemptRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]AttemptRecord, len(e.records))
	for i, r := range e.records {
		records[i] = *r
	}
	return records
}

// Orders returns the orders that the engine has carried out, in order.
func (e *Engine) Orders() []engine.Order { return e.orders.done() }

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

// chat serves one completion, streaming or whole.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if !readJSON(w, r, &req) {
		return
	}
	faults := e.takeFaults()
	if faults.Refuse {
		writeJSON(w, http.StatusServiceUnavailable, engine.ErrorBody{Error: engine.ErrorDetail{Message: "engine refuses work", Code: "refused"}})
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	g := e.begin(req, r.Header.Get(engine.RequestIDHeader))
	defer e.end(g)
	if !e.admit(r.Context(), g) {
		return
	}
	defer e.slots.release()
	e.prefill(r.Context(), g, faults)
	g.run(r.Context(), w, faults)
}

// begin records a new attempt.
func (e *Engine) begin(req engine.ChatRequest, id string) *generation {
	g := newGeneration(e, req, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = append(e.records, g.record)
	e.waiting++
	return g
}

// admit waits for a slot; it returns false if the caller went away.
func (e *Engine) admit(ctx context.Context, g *generation) bool {
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

// prefill takes the time to read the part of the prompt that is not cached.
func (e *Engine) prefill(ctx context.Context, g *generation, f EngineFaults) {
	cached := e.cache.use(g.blocks) * engine.BlockTokens
	cached = min(cached, g.promptTokens)
	e.mu.Lock()
	g.record.CachedTokens = cached
	e.mu.Unlock()
	pause(ctx, scale(time.Duration(g.promptTokens-cached)*e.settings.PrefillTime, f)+f.FirstTokenDelay)
}

// end closes the record of an attempt.
func (e *Engine) end(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.admitted {
		e.running--
	}
	g.record.EndedAt = time.Now()
}

// tokenTime is the present time between tokens, which grows with the batch.
func (e *Engine) tokenTime(f EngineFaults) time.Duration {
	e.mu.Lock()
	share := float64(e.running) / float64(max(e.settings.Slots, 1))
	e.mu.Unlock()
	return scale(time.Duration(float64(e.settings.TokenTime)*(1+e.settings.BatchSlowdown*share)), f)
}

// scale applies the slow-down fault to a duration.
func scale(d time.Duration, f EngineFaults) time.Duration {
	if f.SlowFactor > 1 {
		return time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// pause sleeps for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
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

// marshal encodes v, which always can be.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
