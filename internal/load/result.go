package load

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their precision, in decimal digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result collects what the callers of one target observed. Its methods are safe for
// concurrent use.
type Result struct {
	Target Target

	mu           sync.Mutex // guards all below
	firstToken   *hdrhistogram.Histogram
	tokenGap     *hdrhistogram.Histogram
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
		tokenGap:     hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		responseTime: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		failures:     make(map[string]int64),
	}
}

// recordDuration adds d to h. A duration out of range counts as the nearest one in
// range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// addToken adds the time to the first token or, if first is false, a gap between two
// tokens.
func (r *Result) addToken(first bool, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		recordDuration(r.firstToken, gap)
		return
	}
	recordDuration(r.tokenGap, gap)
}

// addCompleted counts a complete response.
func (r *Result) addCompleted(responseTime time.Duration, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.responseTime, responseTime)
	r.completed++
	r.tokens += tokens
}

// addFailure counts a failed request by the text of its failure.
func (r *Result) addFailure(failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[failure]++
}

// setElapsed sets the duration of the load, from which Summary computes rates.
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

// Sub returns the difference q - o of each quantile.
func (q Quantiles) Sub(o Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - o.P50, P95: q.P95 - o.P95, P99: q.P99 - o.P99}
}

// quantiles returns the quantiles of a histogram of microseconds, in milliseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	milliseconds := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99)}
}

// Summary contains the figures of a Result. Tokens counts those of complete responses,
// and Failures counts failed requests by the text of their failure.
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

// Summary returns the figures of the result. The rate is valid once Run has returned.
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
		TokenGap:           quantiles(r.tokenGap),
		ResponseTime:       quantiles(r.responseTime),
	}
}

// MarshalJSON encodes the summary of the result.
func (r *Result) MarshalJSON() ([]byte, error) { return json.Marshal(r.Summary()) }
