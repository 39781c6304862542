package delivery

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/work"
)

// TestUnclearOutcome has the service run the call and lose the answer in each
// way: the caller is told that the outcome is unknown, and no retry runs it.
func TestUnclearOutcome(t *testing.T) {
	for name, faults := range map[string]standin.ServiceFaults{
		"connection dropped": {BreakAfter: true},
		"silence":            {HangAfter: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 2)
			n, other := b.node(quickOptions()), b.node(quickOptions())
			_, err := try(n.calls, newCall("warm", "warm-1", "on"), 5*time.Second)
			assert.NilError(t, err) // leaves an idle connection behind
			b.setServiceFaults(faults)
			for i, caller := range []work.CallRunner{n.calls, n.calls, other.calls} {
				_, err := try(caller, newCall(fmt.Sprint("r", i), "fan-7", "on"), 300*time.Millisecond)
				assert.Equal(t, failure.CodeOf(err), failure.OutcomeUnknown, "%v", err)
				assert.Assert(t, failure.As(err).Ran != failure.RanNo)
			}
			assert.Equal(t, b.runsOf("fan-7"), 1)
		})
	}
	t.Run("redirect", func(t *testing.T) {
		t.Parallel()
		b := newBench(t, 1)
		b.setServiceFaults(standin.ServiceFaults{RedirectAfter: true})
		answer, err := try(b.node(quickOptions()).calls, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusTemporaryRedirect)
		assert.Equal(t, b.runsOf("fan-7"), 1)
	})
	t.Run("naive retry", func(t *testing.T) {
		t.Parallel()
		b := newBench(t, 1)
		b.setServiceFaults(standin.ServiceFaults{BreakAfter: true})
		naive := &naiveRetry{naiveCaller{bench: b}}
		try(naive, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.Assert(t, b.runsOf("fan-7") > 1)
	})
	// A pooled connection is enough for a second run: the HTTP client sends
	// a request with an Idempotency-Key again by itself.
	t.Run("naive pooled connection", func(t *testing.T) {
		t.Parallel()
		b := newBench(t, 1)
		naive := &naiveSend{naiveCaller{bench: b}}
		_, err := try(naive, newCall("warm", "warm-1", "on"), 5*time.Second)
		assert.NilError(t, err)
		b.setServiceFaults(standin.ServiceFaults{BreakAfter: true})
		try(naive, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.Assert(t, b.runsOf("fan-7") > 1)
	})
	t.Run("naive redirect", func(t *testing.T) {
		t.Parallel()
		b := newBench(t, 1)
		b.setServiceFaults(standin.ServiceFaults{RedirectAfter: true})
		try(&naiveSend{naiveCaller{bench: b}}, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.Assert(t, b.runsOf("fan-7") > 1)
	})
}

// TestAnswerAfterCallerGone lets a call outlive its caller: the answer is
// stored once it is known, and given to a retry at another router.
func TestAnswerAfterCallerGone(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	n, other := b.node(quickOptions()), b.node(quickOptions())
	b.setServiceFaults(standin.ServiceFaults{DelayAfter: 300 * time.Millisecond})
	_, err := try(n.calls, newCall("first", "fan-7", "on"), 50*time.Millisecond)
	assert.Equal(t, failure.CodeOf(err), failure.OutcomeUnknown)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		answer, err := try(other.calls, newCall("again", "fan-7", "on"), time.Second)
		if err != nil || !answer.Replayed {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
	assert.Equal(t, b.runsOf("fan-7"), 1)
	assert.NilError(t, n.calls.Drain(t.Context()))
}

// TestKeyReused refuses another command under a used key.
func TestKeyReused(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	n := b.node(quickOptions())
	_, err := try(n.calls, newCall("first", "fan-7", "on"), 5*time.Second)
	assert.NilError(t, err)
	_, err = try(n.calls, newCall("second", "fan-7", "off"), 5*time.Second)
	assert.Equal(t, failure.CodeOf(err), failure.KeyReused)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	assert.Equal(t, b.runsOf("fan-7"), 1)
}

// TestNothingSent checks refusals that say that the call did not run, and
// that a retry under the same key then runs it once.
func TestNothingSent(t *testing.T) {
	cases := map[string]struct {
		fail, heal func(*bench, *node)
		code       failure.Code
	}{
		"store unreachable": {
			fail: func(_ *bench, n *node) { n.view.SetFaults(memory.Faults{Outage: true}) },
			heal: func(_ *bench, n *node) { n.view.SetFaults(memory.Faults{}) },
			code: failure.StoreUnavailable,
		},
		"requests to the store lost": {
			fail: func(_ *bench, n *node) { n.view.SetFaults(memory.Faults{LoseRequests: -1}) },
			heal: func(_ *bench, n *node) { n.view.SetFaults(memory.Faults{}) },
			code: failure.StoreUnavailable,
		},
		"replies of the store lost": {
			fail: func(_ *bench, n *node) { n.view.SetFaults(memory.Faults{LoseResponses: -1}) },
			heal: func(_ *bench, n *node) { n.view.SetFaults(memory.Faults{}) },
		},
		"all instances refuse": {
			fail: func(b *bench, _ *node) { b.setServiceFaults(standin.ServiceFaults{Refuse: true}) },
			heal: func(b *bench, _ *node) { b.setServiceFaults(standin.ServiceFaults{}) },
			code: failure.EndpointFailed,
		},
		"all instances leave": {
			fail: func(b *bench, _ *node) { b.setServiceFaults(standin.ServiceFaults{Leaving: true}) },
			heal: func(b *bench, _ *node) { b.setServiceFaults(standin.ServiceFaults{}) },
			code: failure.NoEndpoint,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 2)
			n := b.node(quickOptions())
			c.fail(b, n)
			_, err := try(n.calls, newCall("first", "fan-7", "on"), 3*time.Second)
			if c.code != "" {
				assert.Equal(t, failure.CodeOf(err), c.code, "%v", err)
			}
			if err != nil && failure.As(err).Ran == failure.RanNo {
				assert.Equal(t, b.runsOf("fan-7"), 0)
			}
			c.heal(b, n)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, err := try(n.calls, newCall("second", "fan-7", "on"), 5*time.Second); err != nil {
					return poll.Continue("%v", err)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second))
			assert.Equal(t, b.runsOf("fan-7"), 1)
		})
	}
}

// TestDeadInstance has one instance that refuses connections: the call runs
// once at the other.
func TestDeadInstance(t *testing.T) {
	t.Parallel()
	b := newBench(t, 2)
	n := b.node(quickOptions())
	_, err := try(n.calls, newCall("warm", "warm-1", "on"), 5*time.Second)
	assert.NilError(t, err)
	b.servers[0].Close()
	for i := range 8 {
		key := uuid.NewString()
		_, err := try(n.calls, newCall(fmt.Sprint("r", i), key, "on"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, b.runsOf(key), 1)
	}
}

// TestIdempotentCallsAreRetried has one of two instances fail in each way: a
// read is answered by the other.
func TestIdempotentCallsAreRetried(t *testing.T) {
	for name, faults := range map[string]standin.ServiceFaults{
		"refused": {Refuse: true}, "dropped": {BreakAfter: true}, "silent": {HangBefore: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 2)
			o := quickOptions()
			o.calls.AttemptTimeout = 100 * time.Millisecond
			n := b.node(o)
			b.services[0].SetFaults(faults)
			each(8, func(i int) {
				call := newCall(fmt.Sprint("r", i), "", "")
				call.Method, call.Idempotent, call.Header = http.MethodGet, true, nil
				answer, err := try(n.calls, call, 10*time.Second)
				assert.Check(t, err)
				assert.Check(t, err != nil || answer.Endpoint == "fans-2")
			})
		})
	}
}
