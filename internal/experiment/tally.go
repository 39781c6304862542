package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyslip.dev/daisyslip/internal/load"
)

// Range of the histograms, in microseconds, and their precision, in decimal digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// tally collects what callers observed in one phase. Its methods are safe for
// concurrent use.
type tally struct {
	phase       Phase
	startOffset time.Duration // from the start of the experiment

	mu           sync.Mutex // guards all below
	firstToken   *hdrhistogram.Histogram
	longestGap   *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram
	completed    int64
	tokens       int64
	failures     map[string]int64
	seconds      map[int]*secondTally
}

// secondTally collects the requests that ended in one second. The tally's mu guards it.
type secondTally struct {
	completed  int64
	failures   int64
	firstToken *hdrhistogram.Histogram
}

func newTally(p Phase, startOffset time.Duration) *tally {
	return &tally{
		phase: p, startOffset: startOffset, firstToken: newHistogram(), longestGap: newHistogram(), responseTime: newHistogram(),
		failures: make(map[string]int64), seconds: make(map[int]*secondTally),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

// recordDuration adds d to h. A duration out of range counts as the nearest one in
// range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// add adds the observation of one request. Failed requests count for the times to the
// tokens that they received, but not for responseTime.
func (t *tally) add(observation load.Observation, experimentStart time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	second := int(observation.EndedAt.Sub(experimentStart) / time.Second)
	s := t.seconds[second]
	if s == nil {
		s = &secondTally{firstToken: newHistogram()}
		t.seconds[second] = s
	}
	if observation.Tokens > 0 {
		recordDuration(t.firstToken, observation.FirstToken)
		recordDuration(t.longestGap, observation.LongestGap)
		recordDuration(s.firstToken, observation.FirstToken)
	}
	t.tokens += observation.Tokens
	if observation.Failure != "" {
		t.failures[observation.Failure]++
		s.failures++
		return
	}
	t.completed++
	s.completed++
	recordDuration(t.responseTime, observation.EndedAt.Sub(observation.StartedAt))
}
