package pace_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/pace"
)

// testbed is a controller with the active pool "app" in simulated time.
type testbed struct {
	*pace.Controller
	clock *clock.Fake
	log   bytes.Buffer
	set   *metrics.Set
}

func newTestbed() *testbed {
	b := &testbed{clock: clock.NewFake(start), set: metrics.NewSet()}
	b.Controller = pace.New(b.clock, slog.New(slog.NewTextHandler(&b.log, nil)), b.set)
	b.SetActive([]string{"app"})
	return b
}

// endpoint returns the entry of an endpoint in the pool "app".
func endpoint(id string, startedMs, sequence int64) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, Pool: "app", Slots: 8, StartedMs: startedMs, Sequence: sequence}
}

// TestOnlyLaterStartsBeginLow guards against a restarted router that holds back the whole
// fleet of endpoints, against started endpoints at full share, and against endpoints that
// begin again because their rows vanished for a time or arrive late.
func TestOnlyLaterStartsBeginLow(t *testing.T) {
	b := newTestbed()
	check := func(id string, want float64, what string) {
		assert.Check(t, b.Factor(id) == want, "%s: %v", what, b.Factor(id))
	}
	first := []endpoints.Endpoint{endpoint("a", 100, 7), endpoint("b", 0, 7)}
	b.Replace(first)
	check("a", 1, "in the first list")
	check("unknown", 1, "not in a list")
	b.Set(endpoint("c", 900, 1))
	check("c", pace.MinFactor, "appeared later")
	b.Replace(append(first, endpoint("d", 900, 1)))
	check("d", pace.MinFactor, "appeared in a later list")
	check("a", 1, "still listed")
	b.Remove("a")
	b.Set(endpoint("a", 100, 8))
	check("a", 1, "same start, its row vanished for a time")
	b.Set(endpoint("a", 50, 9))
	check("a", 1, "late entry of an earlier start")
	b.Set(endpoint("a", 950, 1))
	check("a", pace.MinFactor, "started again")
	b.Set(endpoint("b", 0, 8))
	check("b", 1, "next heartbeat without a start time")
	b.Set(endpoint("b", 0, 1))
	check("b", pace.MinFactor, "sequence began again")
	b.clock.Advance(pace.RampTime + time.Second)
	b.Prune()
	check("a", 1, "after the ramp")
	assert.Check(t, !b.AnyLow())
	b.Started("a", b.clock.Now())
	check("a", pace.MinFactor, "returned from an evacuation")
	b.Ejected("c", b.clock.Now().Add(time.Minute))
	b.clock.Advance(time.Minute)
	check("c", pace.MinFactor, "at the end of its ejection")
}

// TestInactivePoolsHaveFactorOne guards against other choices in pools for which pace is
// not active.
func TestInactivePoolsHaveFactorOne(t *testing.T) {
	b := newTestbed()
	b.SetActive(nil)
	b.Replace([]endpoints.Endpoint{endpoint("a", 100, 1)})
	evidence := func() {
		b.Set(endpoint("new", b.clock.Now().UnixMilli(), 1))
		b.Started("a", b.clock.Now())
		b.Observe("a", pace.Sample{Failed: true})
		b.Ejected("a", b.clock.Now())
	}
	evidence()
	assert.Check(t, !b.AnyLow())
	b.MarkActive("no-such-pool")
	b.MarkActive("app")
	evidence()
	assert.Equal(t, b.Factor("a"), pace.MinFactor)
	b.SetActive([]string{"app"})
	b.SetActive(nil)
	assert.Equal(t, b.Factor("a"), pace.MinFactor, "a pool with slowness stays active")

	b = newTestbed()
	b.Replace([]endpoints.Endpoint{endpoint("a", 100, 1)})
	b.Started("a", b.clock.Now())
	b.SetActive(nil)
	assert.Check(t, b.Factor("a") == 1 && !b.AnyLow())
	var none *pace.Controller // placement.pace is off
	none.Replace(nil)
	none.Observe("a", pace.Sample{})
	none.Prune()
	assert.Equal(t, none.Factor("a"), 1.0)
}

// TestPoolMeanSeparatesStreams guards against taking responses that are sent whole, whose
// first byte comes late, for slow ones, and against a mean that follows a slow endpoint.
func TestPoolMeanSeparatesStreams(t *testing.T) {
	b := newTestbed()
	b.Replace([]endpoints.Endpoint{endpoint("a", 100, 1), endpoint("slow", 100, 1)})
	for i := range 200 {
		b.clock.Advance(100 * time.Millisecond)
		b.Observe("a", pace.Sample{FirstByte: 50 * time.Millisecond, Streamed: true})
		b.Observe("a", pace.Sample{FirstByte: 2 * time.Second})
		if i%10 == 0 {
			b.Observe("slow", pace.Sample{FirstByte: 400 * time.Millisecond, Streamed: true})
		}
	}
	assert.Equal(t, b.Factor("a"), 1.0)
	assert.Check(t, b.Factor("slow") < 0.5, "%v", b.Factor("slow"))
}

// TestControllerIsBounded guards against memory and log lines that grow with the number
// of endpoints that ever were, and of responses, and against garbage for each candidate.
func TestControllerIsBounded(t *testing.T) {
	b := newTestbed()
	b.Replace(nil)
	for i := range 10_050 {
		b.Set(endpoint(fmt.Sprint("i-", i), 1, 1))
	}
	assert.Equal(t, b.Factor("i-10049"), 1.0)
	assert.Equal(t, strings.Count(b.log.String(), "not kept"), 1)
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.Factor("i-1"); b.Factor("i-10049") }), 0.0)
	b.Replace(nil)
	b.clock.Advance(6 * time.Minute)
	b.Prune()
	assert.Check(t, !b.AnyLow())
	b.log.Reset()
	b.Set(endpoint("later", 1, 1))
	assert.Equal(t, b.Factor("later"), pace.MinFactor)
	for range 1000 {
		b.clock.Advance(100 * time.Millisecond)
		b.Observe("later", pace.Sample{Refused: true})
		b.Prune()
	}
	b.clock.Advance(pace.RampTime + pace.RecoveryTime)
	b.Prune()
	assert.Equal(t, strings.Count(b.log.String(), "\n"), 2, b.log.String())
	var text bytes.Buffer
	b.set.WritePrometheus(&text)
	assert.Check(t, !strings.Contains(text.String(), "later"), text.String())
}

// BenchmarkFactor measures Factor among 1,900 endpoints, a tenth of which have a low
// factor.
func BenchmarkFactor(bench *testing.B) {
	b := newTestbed()
	var list []endpoints.Endpoint
	for i := range 1900 {
		list = append(list, endpoint(fmt.Sprint("i-", i), 1, 1))
	}
	b.Replace(list)
	for _, e := range list[:190] {
		b.Started(e.ID, start)
	}
	bench.ReportAllocs()
	for i := 0; bench.Loop(); i++ {
		b.Factor(list[i%len(list)].ID)
	}
}
