package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/gossip"
)

// fingerprintOf returns the fingerprint of a body.
func fingerprintOf(body string) Fingerprint {
	return FingerprintOf("app.example", "POST", "/a", "coop", []byte(body))
}

// lose reports that an endpoint ended under requests with these bodies and without
// segments, a second after the step before, and lets the time pass after which a verdict
// takes effect.
func (r *router) lose(endpoint string, bodies ...string) {
	r.clock.Advance(time.Second)
	for _, body := range bodies {
		r.RecordCrash("request at "+endpoint, Report{Pool: "pool", Endpoint: endpoint, Fingerprint: fingerprintOf(body)}, r.clock.Now())
	}
	r.clock.Advance(objectionTime)
}

// refusesBody reports whether a request with this body is refused.
func (r *router) refusesBody(body string) bool {
	_, refused := r.Check(Request{Pool: "pool", Fingerprint: fingerprintOf(body)})
	return refused
}

// TestFingerprintsTellRequestsApart guards against the refusal of requests that differ
// from a crashing one, and against repeats that are not recognized.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	same := FingerprintOf("app.example", "POST", "/a?b=c", "coop", []byte("body"))
	assert.Equal(t, same, FingerprintOf("App.Example:8080", "POST", "/a?b=c", "coop", []byte("body")))
	assert.Equal(t, FingerprintOf("[::1]:80", "GET", "/", "", nil), FingerprintOf("::1", "GET", "/", "", nil))
	assert.Equal(t, len(same.String()), 32)
	for i, other := range []Fingerprint{
		{}, FingerprintOf("other.example", "POST", "/a?b=c", "coop", []byte("body")), FingerprintOf("app.example", "PUT", "/a?b=c", "coop", []byte("body")),
		FingerprintOf("app.example", "POST", "/a?b=d", "coop", []byte("body")), FingerprintOf("app.example", "POST", "/a?b=c", "", []byte("body")),
		FingerprintOf("app.example", "POST", "/a?b=c", "coop", nil), FingerprintOf("app.example", "POST", "/a?b=", "ccoop", []byte("body")),
		FingerprintOf("app.example", "POST", "/a?b=c", "coo", []byte("pbody")),
	} {
		assert.Assert(t, other != same, "request %d", i)
	}
}

// TestRequestWithoutSegmentsIsRefused guards against requests without a prompt that crash
// one endpoint after the other.
func TestRequestWithoutSegmentsIsRefused(t *testing.T) {
	r := newRouter()
	for i := range 3 {
		assert.Assert(t, !r.refusesBody("bad"), "%d ends", i)
		r.lose(fmt.Sprint("i-", i), "bad", fmt.Sprint("sound-", i))
	}
	assert.Assert(t, r.refusesBody("bad"))
	assert.Assert(t, !r.refusesBody("sound-1"))
	assert.Equal(t, r.countRequests(), 1)
	assert.Equal(t, len(r.published), 6)
}

// TestCrashingRequestLeavesSharedSegmentOpen guards against one caller whose request has
// a segment refused that others share.
func TestCrashingRequestLeavesSharedSegmentOpen(t *testing.T) {
	r := newRouter()
	lose := func(endpoint, body string) {
		r.clock.Advance(time.Second)
		r.RecordCrash("request at "+endpoint, Report{Pool: "pool", Endpoint: endpoint, Started: true, Segments: []string{"shared"}, Fingerprint: fingerprintOf(body)}, r.clock.Now())
		r.clock.Advance(objectionTime)
	}
	for i := range 4 {
		lose(fmt.Sprint("i-", i), "bad")
	}
	assert.Assert(t, r.refusesBody("bad"))
	assert.Assert(t, !r.refuses("shared"))
	lose("i-4", "other")
	assert.Assert(t, r.refuses("shared"), "the segment explains more ends than any request")
	assert.Assert(t, !r.refusesBody("bad"))
}

// TestCompleteResponseClearsRequest guards against the refusal of a request that is
// served, and against evidence that is lost as an endpoint begins to crash on it.
func TestCompleteResponseClearsRequest(t *testing.T) {
	r := newRouter()
	r.RecordComplete(fingerprintOf("a"))
	r.lose("i-0", "a")
	r.lose("i-1", "a")
	r.RecordComplete(fingerprintOf("a"))
	assert.DeepEqual(t, r.clearances, []Clearance{{Fingerprint: fingerprintOf("a")}})
	r.lose("i-2", "a")
	r.lose("i-3", "a")
	assert.Assert(t, !r.refusesBody("a"))
	r.lose("i-4", "a")
	assert.Assert(t, r.refusesBody("a"))
	r.ReceiveClearance(Clearance{Fingerprint: fingerprintOf("a")}, r.clock.Now())
	assert.Assert(t, !r.refusesBody("a"))
}

// TestSimultaneousEndsCountOnceForServedRequest guards against the refusal of a popular
// request that was in flight at all endpoints of a failure domain.
func TestSimultaneousEndsCountOnceForServedRequest(t *testing.T) {
	r := newRouter()
	r.RecordComplete(fingerprintOf("popular"))
	r.clock.Advance(time.Second)
	for i := range 6 {
		r.RecordCrash("request", Report{Pool: "pool", Endpoint: fmt.Sprint("i-", i), SentBeforeMS: 50, Fingerprint: fingerprintOf("popular")}, r.clock.Now())
	}
	r.clock.Advance(objectionTime)
	assert.Assert(t, !r.refusesBody("popular"))
}

// TestStreamThatAdvancedIsNotRefused guards against the refusal of a stream that was
// resumed at each endpoint that another request ended.
func TestStreamThatAdvancedIsNotRefused(t *testing.T) {
	for i := range 20 { // the order of the fingerprints must not matter
		r := newRouter()
		sound, bad := fmt.Sprint("sound ", i), fmt.Sprint("bad ", i)
		for j := range 3 {
			r.clock.Advance(time.Second)
			r.RecordCrash("stream", Report{Pool: "pool", Endpoint: fmt.Sprint("i-", j), Fingerprint: fingerprintOf(sound), Advanced: true}, r.clock.Now())
			r.RecordCrash("request", Report{Pool: "pool", Endpoint: fmt.Sprint("i-", j), Fingerprint: fingerprintOf(bad)}, r.clock.Now())
		}
		r.clock.Advance(objectionTime)
		assert.Assert(t, r.refusesBody(bad))
		assert.Assert(t, !r.refusesBody(sound))
	}
}

// TestOtherRoutersLearnOfCompleteResponse guards against the refusal of a popular request
// that was in flight at all endpoints of a failure domain, at routers that never served it.
func TestOtherRoutersLearnOfCompleteResponse(t *testing.T) {
	r, other := newRouter(), newRouter()
	r.RecordComplete(fingerprintOf("popular"))
	r.clock.Advance(time.Second)
	for i := range 3 {
		for _, at := range []*router{r, other} {
			at.ReceiveReport(Report{Pool: "pool", Endpoint: fmt.Sprint("i-", i), SentBeforeMS: 50, Fingerprint: fingerprintOf("popular")}, r.clock.Now())
		}
	}
	r.clock.Advance(maxClearanceDelay)
	r.publishDue()
	assert.Equal(t, len(r.clearances), 1)
	other.ReceiveClearance(r.clearances[0], r.clock.Now())
	assert.Assert(t, !r.refusesBody("popular"))
	assert.Equal(t, other.count(), 0)
}

// TestRequestInBurstsIsRefused guards against a request that is sent to several endpoints
// at the same time again and again, so that its ends do not come in turn, and against a new
// popular one that is refused for long after the loss of a failure domain.
func TestRequestInBurstsIsRefused(t *testing.T) {
	r := newRouter()
	burst := func(n int) {
		for i := range n {
			r.RecordCrash("request", Report{Pool: "pool", Endpoint: fmt.Sprint("i-", n, i), SentBeforeMS: 100, Fingerprint: fingerprintOf("bad")}, r.clock.Now())
		}
		r.clock.Advance(objectionTime)
	}
	burst(4)
	assert.Assert(t, r.refusesBody("bad"))
	r.clock.Advance(togetherHold)
	assert.Assert(t, !r.refusesBody("bad"), "one is let through")
	assert.Assert(t, r.refusesBody("bad"))
	burst(1)
	r.clock.Advance(2 * togetherHold)
	assert.Assert(t, r.refusesBody("bad"))
	r.RecordComplete(fingerprintOf("bad"))
	assert.Assert(t, !r.refusesBody("bad"))
}

// TestSuspectedRequestIsNotRepeated guards against a router that carries a request from one
// crashed endpoint to the next, and against sound requests that are not repeated since
// another request has ended an endpoint.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	r := newRouter()
	suspected := func(body, endpoint string) bool {
		return r.Suspected(Request{Pool: "pool", Fingerprint: fingerprintOf(body)}, endpoint)
	}
	r.lose("i-1", "bad", "sound")
	assert.Assert(t, !suspected("bad", "i-1"))
	assert.Assert(t, suspected("bad", "i-2"))
	assert.Assert(t, suspected("sound", "i-2"))
	r.lose("i-2", "bad")
	r.lose("i-3", "bad")
	assert.Assert(t, suspected("bad", "i-4"))
	assert.Assert(t, !suspected("sound", "i-4"), "the end is explained")
}

// TestFewTriesOfRequest guards against a request that crashes an endpoint after each hold
// time.
func TestFewTriesOfRequest(t *testing.T) {
	r := newRouter()
	for i := range 3 {
		r.lose(fmt.Sprint("i-", i), "bad")
	}
	hold, tries := DefaultSettings().Hold, 0
	for elapsed := time.Duration(0); elapsed < Retention-time.Hour; elapsed += hold {
		r.clock.Advance(hold)
		if !r.refusesBody("bad") {
			tries++
			r.lose(fmt.Sprint("i-try-", tries), "bad")
		}
	}
	assert.Equal(t, tries, maxTries)
}

// TestFewTriesWithoutResult guards against a request that is let through after each hold
// time although nobody learns what becomes of it.
func TestFewTriesWithoutResult(t *testing.T) {
	r := newRouter()
	for i := range 3 {
		r.lose(fmt.Sprint("i-", i), "bad")
	}
	tries := 0
	for range 20 {
		r.clock.Advance(DefaultSettings().Hold)
		if !r.refusesBody("bad") {
			tries++
		}
	}
	assert.Equal(t, tries, maxTries)
}

// TestEvidenceOnRequestsIsBounded guards against memory that grows with the bodies that
// callers send.
func TestEvidenceOnRequestsIsBounded(t *testing.T) {
	r := newRouter()
	for i := range 3 * maxCompleted {
		r.RecordComplete(fingerprintOf(fmt.Sprint(i)))
	}
	assert.Assert(t, len(r.completed.newer)+len(r.completed.older) <= maxCompleted)
	for i := range maxCrashes + 20 {
		var bodies []string
		for j := range maxLost + 20 {
			bodies = append(bodies, fmt.Sprint(i, " ", j))
		}
		r.lose(fmt.Sprint("i-", i), append(bodies, "bad")...)
	}
	assert.Equal(t, len(r.crashes), maxCrashes)
	assert.Assert(t, len(r.lost) <= maxCrashes*maxLost)
	assert.Assert(t, len(r.quarantined) <= maxQuarantined)
	r.clock.Advance(Retention + time.Hour)
	r.lose("i-last", "last")
	assert.Equal(t, len(r.lost), 1)
	assert.Equal(t, len(r.crashes), 1)
}

// TestFullEndKeepsRepeatedRequest guards against the loss of the evidence against a
// request among many others that were lost at the same endpoints.
func TestFullEndKeepsRepeatedRequest(t *testing.T) {
	r := newRouter()
	r.lose("i-0", "bad")
	for i := range 2 {
		var bodies []string
		for j := range maxLost + 20 {
			bodies = append(bodies, fmt.Sprint(i, " ", j))
		}
		r.lose(fmt.Sprint("i-full-", i), append(bodies, "bad")...)
	}
	assert.Assert(t, r.refusesBody("bad"))
}

// BenchmarkEvaluation measures the evaluation after one report when all evidence is full:
// half of the ends are those of requests that crash, and the reports have segments.
func BenchmarkEvaluation(b *testing.B) {
	r := newRouter()
	for i := range maxCrashes {
		r.clock.Advance(time.Second)
		for j := range 32 {
			body := fmt.Sprint(i, " ", j)
			if j == 0 && i%2 == 0 {
				body = fmt.Sprint("bad ", i%20)
			}
			r.ReceiveReport(Report{
				Pool: "pool", Endpoint: fmt.Sprint("i-", i), Started: true, Segments: []string{fmt.Sprint("first-", i%2), fmt.Sprint("subject-", i*32+j)},
				Fingerprint: fingerprintOf(body),
			}, r.clock.Now())
		}
	}
	for _, segments := range []bool{false, true} {
		b.Run(fmt.Sprint("segments=", segments), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.mu.Lock()
				r.evaluateLocked(r.clock.Now(), segments)
				r.mu.Unlock()
			}
		})
	}
}

// TestReportsOfOlderRoutersAreRead guards against evidence that is lost between routers of
// different versions.
func TestReportsOfOlderRoutersAreRead(t *testing.T) {
	type olderReport struct {
		Pool     string   `cbor:"1,keyasint"`
		Endpoint string   `cbor:"2,keyasint"`
		Started  bool     `cbor:"4,keyasint"`
		Segments []string `cbor:"7,keyasint"`
	}
	older := olderReport{Pool: "pool", Endpoint: "i-1", Started: true, Segments: []string{"bad"}}
	var read Report
	assert.NilError(t, gossip.Decode(gossip.Encode(older), &read))
	assert.DeepEqual(t, read, Report{Pool: "pool", Endpoint: "i-1", Started: true, Segments: []string{"bad"}})
	read.Fingerprint = fingerprintOf("bad")
	var again Report
	assert.NilError(t, gossip.Decode(gossip.Encode(read), &again))
	assert.DeepEqual(t, again, read)
	var readByOlder olderReport
	assert.NilError(t, gossip.Decode(gossip.Encode(read), &readByOlder))
	assert.DeepEqual(t, readByOlder, older)
}

// BenchmarkFingerprint measures the fingerprint of a request with a long prompt.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 18000)
	for b.Loop() {
		FingerprintOf("app.example", "POST", "/a", "coop", body)
	}
}

// TestOtherEndsDoNotHideRequest guards against a request that needs more ends, and against the
// refusal of all requests with its segment, while endpoints end without it.
func TestOtherEndsDoNotHideRequest(t *testing.T) {
	for _, pool := range []string{"other pool", "pool"} {
		r := newRouter()
		for i := range 3 {
			r.RecordCrash("other", Report{Pool: pool, Endpoint: fmt.Sprint("o-", i), Fingerprint: fingerprintOf(fmt.Sprint("other-", i))}, r.clock.Now())
			r.clock.Advance(500 * time.Millisecond)
			r.RecordCrash("bad", Report{Pool: "pool", Endpoint: fmt.Sprint("i-", i), Started: true, Segments: []string{"theirs"}, Fingerprint: fingerprintOf("bad")}, r.clock.Now())
			r.clock.Advance(500 * time.Millisecond)
		}
		r.clock.Advance(objectionTime)
		assert.Assert(t, r.refusesBody("bad"), pool)
		assert.Assert(t, !r.refuses("theirs"), pool)
	}
}
