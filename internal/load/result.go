package load

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowest    = 1
	highest   = int64(10 * time.Minute / time.Microsecond)
	precision = 3
)

// Result is what the callers of one target saw. Its methods are safe for
// concurrent use.
type Result struct {
	Target Target

	mu       sync.Mutex // guards all below
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	answers  int64
	tokens   int64
	failures map[string]int64
	elapsed  time.Duration
}

func newResult(t Target) *Result {
	return &Result{
		Target:   t,
		first:    hdrhistogram.New(lowest, highest, precision),
		gap:      hdrhistogram.New(lowest, highest, precision),
		total:    hdrhistogram.New(lowest, highest, precision),
		failures: make(map[string]int64),
	}
}

// record adds a duration; one out of range counts as the nearest in range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (r *Result) token(first bool, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		record(r.first, since)
		return
	}
	record(r.gap, since)
}

func (r *Result) whole(total time.Duration, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.total, total)
	r.answers++
	r.tokens += tokens
}

func (r *Result) failed(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[why]++
}

func (r *Result) finish(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed = elapsed
}

// Quantiles are quantiles of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Sub returns the differences q - o.
func (q Quantiles) Sub(o Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - o.P50, P95: q.P95 - o.P95, P99: q.P99 - o.P99}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Summary is a result in figures.
type Summary struct {
	Target             Target           `json:"target"`
	Completed          int64            `json:"answers"`
	Tokens             int64            `json:"tokens"`
	Failures           map[string]int64 `json:"failures,omitempty"`
	CompletedPerSecond float64          `json:"answers_per_second"`
	FirstToken         Quantiles        `json:"first_token"`
	TokenGap           Quantiles        `json:"gap"`
	ResponseTime       Quantiles        `json:"total"`
}

// Summary returns the figures of the result.
func (r *Result) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Target:             r.Target,
		Completed:          r.answers,
		Tokens:             r.tokens,
		Failures:           r.failures,
		CompletedPerSecond: float64(r.answers) / r.elapsed.Seconds(),
		FirstToken:         quantiles(r.first),
		TokenGap:           quantiles(r.gap),
		ResponseTime:       quantiles(r.total),
	}
}

// MarshalJSON encodes the figures.
func (r *Result) MarshalJSON() ([]byte, error) { return json.Marshal(r.Summary()) }
