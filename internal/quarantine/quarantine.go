// Package quarantine finds requests and segments of prompts that crash endpoints, and
// decides which requests are refused because of them.
//
// When an endpoint ends, each router reports the requests whose responses it lost there
// before the first event. The reports of all routers together tell which segments were
// present at how many ends. A segment is cleared of all earlier ends by a response that
// got past its beginning. A segment that was present at MinCrashes ends since it was
// last cleared is quarantined, and explains these ends, so that they count against no
// other segment. Segments that always occurred together in these requests are
// quarantined together: only requests with all of them are refused.
//
// A request is recognized by its fingerprint, with and without a prompt. The ends at which
// it was lost since a response to it was last complete count against it. Of equal evidence
// it explains ends rather than its segments, so that one request has no part refused that
// others share.
//
// A quarantine ends when a request with the segments is served. After a hold time, which
// grows with each further end, one router of the fleet lets one request through.
package quarantine

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/exchange"
)

// Settings configure a Quarantine.
type Settings struct {
	// MinCrashes is the number of ends of endpoints after which a segment is
	// quarantined.
	MinCrashes int64 `json:"min_crashes"`
	// Hold is how long after the last end no request with a quarantined segment is
	// sent. It doubles with each request that was let through and ended an endpoint,
	// up to MaxHold.
	Hold    time.Duration `json:"hold"`
	MaxHold time.Duration `json:"max_hold"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{MinCrashes: 3, Hold: 2 * time.Minute, MaxHold: time.Hour}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Positive(path+".min_crashes", s.MinCrashes)
	l.Duration(path+".hold", s.Hold, time.Second, 24*time.Hour)
	l.Duration(path+".max_hold", s.MaxHold, s.Hold, 24*time.Hour)
}

// Bounds on what is kept. The oldest items are dropped.
const (
	// Retention is how long the end of an endpoint is kept.
	Retention = 6 * time.Hour
	// maxCrashes bounds the ends that are kept, and maxLost the requests that were lost at
	// one.
	maxCrashes = 256
	maxLost    = 64
	// maxSegmentCrashes bounds the ends of which reports of segments are kept, and
	// maxReports the reports of one.
	maxSegmentCrashes = 128
	maxReports        = 16
	// maxQuarantined bounds the sets of segments and the requests that are quarantined at
	// the same time.
	maxQuarantined = 64
	// maxCompleted bounds the requests whose last complete response is remembered.
	maxCompleted = 32 << 10
	// maxSegments bounds the segments of a request that are considered, and
	// maxSegmentBytes the length of an id; a longer one is replaced by its hash.
	maxSegments     = 128
	maxSegmentBytes = 24
	// maxDue bounds the observations that wait to be published.
	maxDue = 1024
	// maxServed bounds the segments whose last response is remembered.
	maxServed = 32 << 10
)

// Report tells of one attempt whose response broke at an endpoint that has ended.
type Report struct {
	Pool string `cbor:"1,keyasint"`
	// Endpoint and StartedMs identify one start of an endpoint.
	Endpoint  string `cbor:"2,keyasint"`
	StartedMs int64  `cbor:"3,keyasint"`
	// Started is set if the head of the response was received. If there are such
	// reports of an end, the others do not count.
	Started bool `cbor:"4,keyasint"`
	// SentBeforeMS is how long before the end the request was sent to the endpoint, in
	// milliseconds.
	SentBeforeMS int64 `cbor:"5,keyasint"`
	// AgeMS is how long before the publication of the report the endpoint ended, in
	// milliseconds.
	AgeMS int64 `cbor:"6,keyasint"`
	// Segments are the ids of the segments that other prompts can have in common with
	// the one of the request. There are none if the response broke after its first event.
	Segments []string `cbor:"7,keyasint"`
	// Fingerprint is that of the request; zero in reports of older routers.
	Fingerprint Fingerprint `cbor:"8,keyasint"`
	// Advanced is set if events of the response were received, so that the request is
	// less likely to have ended the endpoint.
	Advanced bool `cbor:"9,keyasint,omitempty"`
}

// Clearance tells that a response to a prompt with the segment got past its beginning, or
// that a response to a request with the fingerprint was complete.
type Clearance struct {
	Pool    string `cbor:"1,keyasint"`
	Segment string `cbor:"2,keyasint"`
	// AgeMS is the time since that response, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
	// Fingerprint is zero if the clearance is that of a segment; otherwise the segment
	// is empty.
	Fingerprint Fingerprint `cbor:"4,keyasint"`
}

// Subject returns the name of what is cleared.
func (c Clearance) Subject() string {
	if c.Fingerprint != (Fingerprint{}) {
		return c.Fingerprint.subject()
	}
	return c.Pool + "/" + c.Segment
}

// Request is what is considered of a request.
type Request struct {
	Pool string
	// Segments are those that other prompts can have in common with its own.
	Segments []exchange.Segment
	// Fingerprint is zero if it is not known.
	Fingerprint Fingerprint
}

// Options are what a Quarantine uses. The functions must not block.
type Options struct {
	Settings Settings
	Clock    clock.Clock
	Log      *slog.Logger
	Metrics  *metrics.Set
	// PublishReport and PublishClearance send an observation of this router to the
	// others. The subject tells reports apart: one request can end several endpoints.
	PublishReport    func(subject string, r Report)
	PublishClearance func(c Clearance)
	// Quarantined is called when segments are quarantined after a report of this
	// router, so that what led to it can be stored.
	Quarantined func()
	// Jitter returns a random duration below d.
	Jitter func(d time.Duration) time.Duration
	// MayTry reports whether this router is the one of the fleet that lets a request
	// through after the hold time. The subject names the segments.
	MayTry func(subject string) bool
}

// segment identifies a segment in a pool.
type segment struct{ pool, id string }

// crash is one end of an endpoint.
type crash struct {
	endpoint  string
	startedMs int64
	at        time.Time
	reports   []report
	own       bool          // this router made one of the reports
	lost      []Fingerprint // of requests that were lost, each once
	// simultaneous is the number of other ends at the same time.
	simultaneous int
}

// report is what one router lost at an end.
type report struct {
	started  bool
	sentAt   time.Time
	segments []segment
}

// presence is the presence of a segment at an end that counts against it.
type presence struct {
	*crash
	started bool      // a response to a request with it had started
	sentAt  time.Time // when the newest request with it was sent
	// advanced is set for a request if events of all its responses were received.
	advanced bool
}

// quarantined is a set of segments with which no request is sent, or a request.
type quarantined struct {
	subject     string // for logs and as a key
	segments    []segment
	fingerprint Fingerprint // zero for segments
	crashes     []*crash    // in order of their times
	// Requests are refused from the time from. After until, one may be let through.
	from, until time.Time
}

// tried is what this router let through of what is quarantined.
type tried struct {
	last  time.Time
	times int
}

// isRequest reports whether it is a request and no set of segments.
func (x *quarantined) isRequest() bool { return x.fingerprint != (Fingerprint{}) }

// duePublication is an observation that is published at a time if it is still of use.
type duePublication struct {
	at      time.Time
	request string // of a report
	report  Report
	lostAt  time.Time // of a report
	crash   *crash    // of a report
	cleared segment   // of a clearance
	// completed is that of a clearance of a request.
	completed Fingerprint
}

// Quarantine holds the evidence and the quarantined segments. It is safe for concurrent
// use.
type Quarantine struct {
	options Options
	wake    chan struct{}
	stats   stats

	mu      sync.Mutex // guards all below; never held over a call of Options
	crashes []*crash   // in order of their arrival
	// served holds when a response was last observed here or at another router, in
	// two generations: the older one is dropped when the newer one is full.
	served, servedBefore map[segment]time.Time
	announced            map[segment]time.Time  // time of the response of the last clearance, own or received
	suspects             map[segment][]presence // ends that count against a segment
	// completed holds complete responses of this router, and lost the evidence on
	// requests that were lost at one of the crashes.
	completed   completions
	lost        map[Fingerprint]*lostRequest
	quarantined []*quarantined
	explained   map[*crash]bool  // by what is quarantined
	tried       map[string]tried // by subject
	refused     map[string]int64 // requests that were refused, by subject
	due         []duePublication
}

// stats are the counters of a Quarantine.
type stats struct{ reports, clearances, refusals, tries *metrics.Counter }

// New returns a Quarantine without evidence.
func New(o Options) *Quarantine {
	q := &Quarantine{
		options: o, wake: make(chan struct{}, 1), served: make(map[segment]time.Time), announced: make(map[segment]time.Time),
		tried: make(map[string]tried), refused: make(map[string]int64), lost: make(map[Fingerprint]*lostRequest),
		stats: stats{
			reports: o.Metrics.NewCounter("daisyslip_quarantine_reports_total"), clearances: o.Metrics.NewCounter("daisyslip_quarantine_clearances_total"),
			refusals: o.Metrics.NewCounter("daisyslip_quarantine_refusals_total"), tries: o.Metrics.NewCounter("daisyslip_quarantine_tries_total"),
		},
	}
	o.Metrics.NewGauge("daisyslip_quarantined_segments", func() float64 { return float64(q.count() - q.countRequests()) })
	o.Metrics.NewGauge("daisyslip_quarantined_requests", func() float64 { return float64(q.countRequests()) })
	return q
}

// count returns the number of quarantined sets of segments and requests.
func (q *Quarantine) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.quarantined)
}

// countRequests returns the number of quarantined requests.
func (q *Quarantine) countRequests() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, x := range q.quarantined {
		if x.isRequest() {
			n++
		}
	}
	return n
}

// segmentsOf returns the segments of a prompt that count.
func segmentsOf(pool string, shared []exchange.Segment) []segment {
	segments := make([]segment, 0, min(len(shared), maxSegments))
	for _, s := range shared[:min(len(shared), maxSegments)] {
		segments = append(segments, segment{pool, boundedID(s.ID)})
	}
	return segments
}

// boundedID returns id, or its hash if it is too long.
func boundedID(id string) string {
	if len(id) <= maxSegmentBytes {
		return id
	}
	return fmt.Sprintf("#%016x", xxhash.Sum64String(id))
}

// Refusal tells why a request is refused.
type Refusal struct {
	// Reason names the segments and the ends that count against them.
	Reason string
	// RetryAfter is the time until a request may be let through.
	RetryAfter time.Duration
}

// Check reports whether a request is refused.
func (q *Quarantine) Check(r Request) (Refusal, bool) {
	q.mu.Lock()
	now := q.options.Clock.Now()
	found := q.findLocked(r, now)
	if found == nil {
		q.mu.Unlock()
		return Refusal{}, false
	}
	hold := q.heldUntilLocked(found)
	refusal := Refusal{Reason: found.describe(now), RetryAfter: max(hold.Sub(now), minRetryAfter)}
	subject, held := found.subject, now.Before(hold)
	q.mu.Unlock()
	if !held && !q.options.MayTry(subject) {
		held, refusal.RetryAfter = true, q.options.Settings.Hold // another router may let one through
	}
	if held {
		q.countRefusal(subject)
		return refusal, true
	}
	q.mu.Lock()
	t := q.tried[subject]
	if t.times > 0 && t.last.Add(q.options.Settings.Hold).After(now) {
		q.mu.Unlock()
		q.countRefusal(subject)
		return refusal, true // another request was let through at the same moment
	}
	q.tried[subject] = tried{last: now, times: t.times + 1}
	q.mu.Unlock()
	q.stats.tries.Inc()
	q.options.Log.Info("request let through quarantine", "subject", subject, "evidence", refusal.Reason)
	return Refusal{}, false
}

// countRefusal counts a refused request.
func (q *Quarantine) countRefusal(subject string) {
	q.stats.refusals.Inc()
	q.mu.Lock()
	defer q.mu.Unlock()
	if slices.ContainsFunc(q.quarantined, func(x *quarantined) bool { return x.subject == subject }) {
		q.refused[subject]++
	}
}

// heldUntilLocked returns until when no request is let through.
func (q *Quarantine) heldUntilLocked(x *quarantined) time.Time {
	t := q.tried[x.subject]
	switch {
	case t.times == 0:
		return x.until
	case t.times >= maxTries && x.isRequest():
		return latest(x.until, t.last.Add(Retention))
	}
	return latest(x.until, t.last.Add(q.options.Settings.Hold)) // the result of the last try is not known yet
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// minRetryAfter is the least time that a refusal tells.
const minRetryAfter = time.Second

// findLocked returns quarantined segments that are all in the prompt, or the quarantined
// request; nil if there are none.
func (q *Quarantine) findLocked(r Request, now time.Time) *quarantined {
	if len(q.quarantined) == 0 {
		return nil
	}
	segments := segmentsOf(r.Pool, r.Segments)
	for _, x := range q.quarantined {
		found := x.isRequest() && x.fingerprint == r.Fingerprint ||
			!x.isRequest() && !slices.ContainsFunc(x.segments, func(s segment) bool { return !slices.Contains(segments, s) })
		if found && !now.Before(x.from) {
			return x
		}
	}
	return nil
}

// describe tells the evidence against what is quarantined.
func (x *quarantined) describe(now time.Time) string {
	var ends []string
	for _, c := range x.crashes[max(len(x.crashes)-maxDescribed, 0):] {
		ends = append(ends, fmt.Sprintf("%s %s ago", c.endpoint, now.Sub(c.at).Round(time.Millisecond)))
	}
	when := "at the start of their responses"
	if x.isRequest() {
		when = "before their responses were complete"
	}
	return fmt.Sprintf("%s: %d endpoints ended %s, among them %s", x.subject, len(x.crashes), when, strings.Join(ends, ", "))
}

// maxDescribed bounds the ends in a reason.
const maxDescribed = 5

// Suspected reports whether the end of another endpoint than the given one counts
// against the request or one of its segments. Such a request is not repeated after its
// response broke off.
func (q *Quarantine) Suspected(r Request, endpoint string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspectedLocked(r.Fingerprint, endpoint) || len(q.suspects) > 0 && slices.ContainsFunc(segmentsOf(r.Pool, r.Segments), func(s segment) bool {
		return slices.ContainsFunc(q.suspects[s], func(p presence) bool { return p.endpoint != endpoint })
	})
}
