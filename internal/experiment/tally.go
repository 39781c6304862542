package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyslip.dev/daisyslip/internal/load"
)

// Range and precision of the histograms, in microseconds.
const (
	lowest    = 1
	highest   = int64(time.Hour / time.Microsecond)
	precision = 2
)

// tally adds up what callers saw in one phase.
type tally struct {
	phase Phase
	start time.Duration // since the experiment began

	mu       sync.Mutex // guards all below
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	answers  int64
	tokens   int64
	failures map[string]int64
	seconds  map[int]*second
}

// second adds up the requests that ended in one second.
type second struct {
	answers  int64
	failures int64
	first    *hdrhistogram.Histogram
}

func newTally(p Phase, start time.Duration) *tally {
	return &tally{
		phase: p, start: start, first: newHistogram(), gap: newHistogram(), total: newHistogram(),
		failures: make(map[string]int64), seconds: make(map[int]*second),
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, precision) }

// record adds a duration; one out of range counts as the nearest in range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// add adds one request; began is when the experiment did.
func (t *tally) add(seen load.Observation, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := int(seen.EndedAt.Sub(began) / time.Second)
	s := t.seconds[at]
	if s == nil {
		s = &second{first: newHistogram()}
		t.seconds[at] = s
	}
	if seen.Tokens > 0 {
		record(t.first, seen.FirstToken)
		record(t.gap, seen.LongestGap)
		record(s.first, seen.FirstToken)
	}
	t.tokens += seen.Tokens
	if seen.Failure != "" {
		t.failures[seen.Failure]++
		s.failures++
		return
	}
	t.answers++
	s.answers++
	record(t.total, seen.EndedAt.Sub(seen.StartedAt))
}
