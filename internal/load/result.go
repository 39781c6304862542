package load

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result is what the callers of one target saw. Its methods are safe for
// concurrent use.
type Result struct {
	Target Target

	mu           sync.Mutex // guards all below
	firstToken   *hdrhistogram.Histogram
	gap          *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram
	completed    int64
	tokens       int64
	failures     map[string]int64
	elapsed      time.Duration
}

func newResult(t Target) *Result {
	return &Result{
		Target:       t,
		firstToken:   hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		gap:          hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		responseTime: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		failures:     make(map[string]int64),
	}
}

// record adds a duration; one out of range counts as the nearest in range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func (r *Result) addToken(first bool, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		recordDuration(r.firstToken, gap)
		return
	}
	recordDuration(r.gap, gap)
}

func (r *Result) addCompleted(responseTime time.Duration, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.responseTime, responseTime)
	r.completed++
	r.tokens += tokens
}

func (r *Result) addFailure(failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[failure]++
}

func (r *Result) setElapsed(elapsed time.Duration) {
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
	milliseconds := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99)}
}

// Summary is a result in figures.
type Summary struct {
	Target             Target           `json:"target"`
	Completed          int64            `json:"answers"`
	Tokens             int64            `json:"tokens"`
	Failures           map[string]int64 `json:"failures,omitempty"`
	CompletedPerSecond float64          `json:"answers_per_second"`
	FirstToken         Quantiles        `json:"first_token"`
	Gap                Quantiles        `json:"gap"`
	ResponseTime       Quantiles        `json:"total"`
}

// Summary returns the figures of the result.
func (r *Result) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Target:             r.Target,
		Completed:          r.completed,
		Tokens:             r.tokens,
		Failures:           r.failures,
		CompletedPerSecond: float64(r.completed) / r.elapsed.Seconds(),
		FirstToken:         quantiles(r.firstToken),
		Gap:                quantiles(r.gap),
		ResponseTime:       quantiles(r.responseTime),
	}
}

// MarshalJSON encodes the figures.
func (r *Result) MarshalJSON() ([]byte, error) { return json.Marshal(r.Summary()) }
