package quarantine

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/exchange"
)

// router is one Quarantine with a fake clock.
type router struct {
	*Quarantine
	clock      *clock.Fake
	mayTry     bool
	published  []Report
	subjects   []string // of published reports
	clearances []Clearance
	stored     int
}

func newRouter() *router {
	r := &router{clock: clock.NewFake(time.Unix(1000, 0)), mayTry: true}
	r.Quarantine = New(Options{
		Settings: DefaultSettings(), Clock: r.clock, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		PublishReport: func(subject string, report Report) {
			r.published, r.subjects = append(r.published, report), append(r.subjects, subject)
		},
		PublishClearance: func(c Clearance) { r.clearances = append(r.clearances, c) },
		Quarantined:      func() { r.stored++ },
		MayTry:           func(string) bool { return r.mayTry },
		Jitter:           func(d time.Duration) time.Duration { return d / 2 },
	})
	return r
}

// shared returns segments with the given ids.
func shared(ids ...string) []exchange.Segment {
	var segments []exchange.Segment
	for _, id := range ids {
		segments = append(segments, exchange.Segment{ID: id, Tokens: 10})
	}
	return segments
}

// crash reports that an endpoint ended under a request with these segments, a second
// after the step before, and lets the time pass after which a verdict takes effect.
func (r *router) crash(endpoint string, ids ...string) {
	r.clock.Advance(time.Second)
	r.RecordCrash("request at "+endpoint, Report{Pool: "pool", Endpoint: endpoint, Started: true, Segments: ids}, r.clock.Now())
	r.clock.Advance(objectionTime)
}

// refuses reports whether a request with these segments is refused.
func (r *router) refuses(ids ...string) bool {
	_, refused := r.Check(Request{Pool: "pool", Segments: shared(ids...)})
	return refused
}

// TestCallerCannotHaveSegmentsOfOthersRefused guards against a caller who adds another
// workspace's segment to requests that crash endpoints.
func TestCallerCannotHaveSegmentsOfOthersRefused(t *testing.T) {
	r := newRouter()
	for i := range 4 {
		r.crash(fmt.Sprint("i-", i), "theirs", "bad")
	}
	assert.Assert(t, r.refuses("theirs", "bad"))
	assert.Assert(t, !r.refuses("theirs"))
	assert.Assert(t, !r.refuses("theirs", "other"))
	r.RecordServed("pool", shared("theirs", "other"))
	assert.Assert(t, r.refuses("bad"))
	assert.Assert(t, !r.refuses("theirs"))
	_, refusedElsewhere := r.Check(Request{Pool: "other pool", Segments: shared("bad")})
	assert.Assert(t, !refusedElsewhere)
}

// TestRefusalTellsEvidenceAndTime guards against refusals that invite repeats, or do not
// tell on which evidence they are made.
func TestRefusalTellsEvidenceAndTime(t *testing.T) {
	r := newRouter()
	for i := range 3 {
		r.crash(fmt.Sprint("i-", i), "bad")
	}
	refusal, refused := r.Check(Request{Pool: "pool", Segments: shared("first", "bad")})
	assert.Assert(t, refused)
	assert.Equal(t, refusal.RetryAfter, DefaultSettings().Hold-objectionTime)
	assert.Equal(t, refusal.Reason, "pool/bad: 3 endpoints ended at the start of their responses, among them i-0 3.5s ago, i-1 2s ago, i-2 500ms ago")
	assert.Equal(t, r.stored, 1)
	assert.Equal(t, len(r.published), 3)
}

// TestOneRequestIsLetThroughAfterHold guards against a quarantine that never ends, and
// against one after whose end endpoints crash again and again.
func TestOneRequestIsLetThroughAfterHold(t *testing.T) {
	r := newRouter()
	for i := range 3 {
		r.crash(fmt.Sprint("i-", i), "bad")
	}
	hold := DefaultSettings().Hold
	for try := range 8 {
		r.clock.Advance(hold - 2*objectionTime)
		assert.Assert(t, r.refuses("bad"), "try %d", try)
		r.clock.Advance(2 * objectionTime)
		r.mayTry = false
		assert.Assert(t, r.refuses("bad"), "only the chosen router tries")
		r.mayTry = true
		assert.Assert(t, !r.refuses("bad"), "try %d", try)
		assert.Assert(t, r.refuses("bad"), "only one request is let through")
		r.crash(fmt.Sprint("i-try-", try), "bad")
		hold = min(2*hold, DefaultSettings().MaxHold)
	}
	r.clock.Advance(hold)
	assert.Assert(t, !r.refuses("bad"))
	r.clock.Advance(time.Second)
	r.RecordServed("pool", shared("bad"))
	assert.Assert(t, !r.refuses("bad"))
	assert.Equal(t, r.count(), 0)
	assert.DeepEqual(t, r.clearances, []Clearance{{Pool: "pool", Segment: "bad"}})
}

// TestRequestWithSuspectedSegmentIsNotRepeated guards against a router that carries a
// request from one crashed endpoint to the next.
func TestRequestWithSuspectedSegmentIsNotRepeated(t *testing.T) {
	r := newRouter()
	r.crash("i-1", "first", "bad")
	assert.Assert(t, !r.Suspected(Request{Pool: "pool", Segments: shared("bad")}, "i-1"), "other requests at the same endpoint may be repeated")
	assert.Assert(t, r.Suspected(Request{Pool: "pool", Segments: shared("first", "bad")}, "i-2"))
	r.RecordServed("pool", shared("first"))
	assert.Assert(t, !r.Suspected(Request{Pool: "pool", Segments: shared("first")}, "i-2"))
}

// TestEvidenceIsBounded guards against memory that grows with the number of segments or
// reports, and against reports that cannot be.
func TestEvidenceIsBounded(t *testing.T) {
	r := newRouter()
	var many []string
	for i := range 20 * maxSegments {
		many = append(many, fmt.Sprint(strings.Repeat("long", 100), i))
	}
	for i := range 1_000_000 / len(many) {
		many[0] = fmt.Sprint(strings.Repeat("long", 100), "-", i)
		r.RecordServed("pool", shared(many...))
	}
	for i := range 3 * maxServed {
		r.RecordServed("pool", shared(fmt.Sprint("served-", i)))
	}
	assert.Assert(t, len(r.served)+len(r.servedBefore) <= maxServed)
	for i := range 2 * maxCrashes {
		r.RecordCrash("request", Report{Pool: "pool", Endpoint: fmt.Sprint("i-", i), Started: true, Segments: many[i : i+2*maxSegments]}, r.clock.Now())
	}
	for range 3 * maxReports {
		r.RecordCrash("request", Report{Pool: "pool", Endpoint: "i-one", Segments: many[:2]}, r.clock.Now())
	}
	assert.Equal(t, len(r.crashes), maxCrashes)
	assert.Equal(t, len(r.crashes[maxCrashes-1].reports), maxReports)
	for _, report := range r.published {
		assert.Assert(t, len(report.Segments) <= maxSegments)
	}

	r = newRouter()
	for i, report := range []Report{
		{}, {Pool: "pool", Endpoint: "i-1"}, {Pool: "pool", Segments: []string{"bad"}}, {Endpoint: "i-1", Segments: []string{"bad"}},
		{Pool: "pool", Endpoint: "i-1", Segments: []string{""}}, {Pool: "pool", Endpoint: "i-1", Segments: many[:1]}, {Pool: "pool", Endpoint: "i-1", Segments: many},
	} {
		r.ReceiveReport(report, r.clock.Now())
		assert.Equal(t, len(r.crashes), 0, "report %d", i)
	}
	r.ReceiveClearance(Clearance{Pool: "pool", Segment: many[0], AgeMS: -1 << 63}, r.clock.Now())
}

// TestReportsOfOneRequestDoNotReplaceEachOther guards against routers that start later
// and learn only the last of the endpoints that one request has ended.
func TestReportsOfOneRequestDoNotReplaceEachOther(t *testing.T) {
	r := newRouter()
	for _, started := range []int64{1, 2} {
		for _, endpoint := range []string{"i-1", "i-2"} {
			r.RecordCrash("request", Report{Pool: "pool", Endpoint: endpoint, StartedMs: started, Started: true, Segments: []string{"bad"}}, r.clock.Now())
		}
	}
	slices.Sort(r.subjects)
	assert.Equal(t, len(slices.Compact(r.subjects)), 4)
}
