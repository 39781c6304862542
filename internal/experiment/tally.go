package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyslip.dev/daisyslip/internal/load"
)

// Range and precision of the histograms, in microseconds.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// tally adds up what callers saw in one phase.
type tally struct {
	phase       Phase
	startOffset time.Duration // since the experiment began

	mu           sync.Mutex // guards all below
	firstToken   *hdrhistogram.Histogram
	longestGap   *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram
	completed    int64
	tokens       int64
	failures     map[string]int64
	seconds      map[int]*secondTally
}

// second adds up the requests that ended in one second.
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

// record adds a duration; one out of range counts as the nearest in range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// add adds one request; began is when the experiment did.
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
