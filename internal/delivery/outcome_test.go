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
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/standin"
)

// TestUnknownOutcomeIsNotRetried lets the service execute a call and lose the response
// in different ways. The caller must be told that the outcome is unknown, and neither
// a retry at the same nor one at another router may execute the call again. A redirect
// is a response and must not be followed. The naive versions execute the call more
// than once.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	for name, faults := range map[string]standin.ServiceFaults{
		"connection dropped": {BreakAfter: true},
		"silence":            {HangAfter: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 2)
			router, otherRouter := b.startRouter(shortTimeoutOptions()), b.startRouter(shortTimeoutOptions())
			_, err := callWithin(router.calls, newCall("warm", "warm-1", "on"), 5*time.Second)
			assert.NilError(t, err) // the call leaves an idle connection in the pool
			b.setServiceFaults(faults)
			for i, runner := range []requests.CallRunner{router.calls, router.calls, otherRouter.calls} {
				_, err := callWithin(runner, newCall(fmt.Sprint("r", i), "fan-7", "on"), 300*time.Millisecond)
				assert.Equal(t, failure.CodeOf(err), failure.OutcomeUnknown, "%v", err)
				assert.Assert(t, failure.As(err).Ran != failure.RanNo)
			}
			assert.Equal(t, b.executionsOf("fan-7"), 1)
		})
	}
	t.Run("redirect", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t, 1)
		b.setServiceFaults(standin.ServiceFaults{RedirectAfter: true})
		response, err := callWithin(b.startRouter(shortTimeoutOptions()).calls, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusTemporaryRedirect)
		assert.Equal(t, b.executionsOf("fan-7"), 1)
	})
	t.Run("naive retry", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t, 1)
		b.setServiceFaults(standin.ServiceFaults{BreakAfter: true})
		naive := &naiveRetry{naiveCaller{testbed: b}}
		callWithin(naive, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.Assert(t, b.executionsOf("fan-7") > 1)
	})
	// A pooled connection is enough for a second execution: the HTTP client itself
	// retries a request that has an Idempotency-Key header.
	t.Run("naive pooled connection", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t, 1)
		naive := &naiveSend{naiveCaller{testbed: b}}
		_, err := callWithin(naive, newCall("warm", "warm-1", "on"), 5*time.Second)
		assert.NilError(t, err)
		b.setServiceFaults(standin.ServiceFaults{BreakAfter: true})
		callWithin(naive, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.Assert(t, b.executionsOf("fan-7") > 1)
	})
	t.Run("naive redirect", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t, 1)
		b.setServiceFaults(standin.ServiceFaults{RedirectAfter: true})
		callWithin(&naiveSend{naiveCaller{testbed: b}}, newCall("r", "fan-7", "on"), 5*time.Second)
		assert.Assert(t, b.executionsOf("fan-7") > 1)
	})
}

// TestResponseIsStoredAfterCallerDisconnects lets a call take longer than its caller
// waits. The response must be stored once it arrives, and a retry at another router
// must get it.
func TestResponseIsStoredAfterCallerDisconnects(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 1)
	router, otherRouter := b.startRouter(shortTimeoutOptions()), b.startRouter(shortTimeoutOptions())
	b.setServiceFaults(standin.ServiceFaults{DelayAfter: 300 * time.Millisecond})
	_, err := callWithin(router.calls, newCall("first", "fan-7", "on"), 50*time.Millisecond)
	assert.Equal(t, failure.CodeOf(err), failure.OutcomeUnknown)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := callWithin(otherRouter.calls, newCall("again", "fan-7", "on"), time.Second)
		if err != nil || !response.Replayed {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
	assert.Equal(t, b.executionsOf("fan-7"), 1)
	assert.NilError(t, router.calls.Drain(t.Context()))
}

// TestReusedKeyIsRefused sends a different command under an idempotency key that is
// already in use. It must be refused as not executed.
func TestReusedKeyIsRefused(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 1)
	router := b.startRouter(shortTimeoutOptions())
	_, err := callWithin(router.calls, newCall("first", "fan-7", "on"), 5*time.Second)
	assert.NilError(t, err)
	_, err = callWithin(router.calls, newCall("second", "fan-7", "off"), 5*time.Second)
	assert.Equal(t, failure.CodeOf(err), failure.KeyReused)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	assert.Equal(t, b.executionsOf("fan-7"), 1)
}

// TestRefusedCallCanBeRetried makes the store or all instances fail, so that a call may
// be refused. If it is reported as not executed, no instance may have executed it. Once
// the fault is cleared, a retry under the same key must succeed, and the call must have
// executed exactly once.
func TestRefusedCallCanBeRetried(t *testing.T) {
	cases := map[string]struct {
		injectFault, clearFault func(*testbed, *testRouter)
		code                    failure.Code
	}{
		"store unreachable": {
			injectFault: func(_ *testbed, router *testRouter) { router.storeClient.SetFaults(memory.Faults{Outage: true}) },
			clearFault:  func(_ *testbed, router *testRouter) { router.storeClient.SetFaults(memory.Faults{}) },
			code:        failure.StoreUnavailable,
		},
		"requests to the store lost": {
			injectFault: func(_ *testbed, router *testRouter) { router.storeClient.SetFaults(memory.Faults{LoseRequests: -1}) },
			clearFault:  func(_ *testbed, router *testRouter) { router.storeClient.SetFaults(memory.Faults{}) },
			code:        failure.StoreUnavailable,
		},
		"replies of the store lost": {
			injectFault: func(_ *testbed, router *testRouter) { router.storeClient.SetFaults(memory.Faults{LoseResponses: -1}) },
			clearFault:  func(_ *testbed, router *testRouter) { router.storeClient.SetFaults(memory.Faults{}) },
		},
		"all instances refuse": {
			injectFault: func(b *testbed, _ *testRouter) { b.setServiceFaults(standin.ServiceFaults{Refuse: true}) },
			clearFault:  func(b *testbed, _ *testRouter) { b.setServiceFaults(standin.ServiceFaults{}) },
			code:        failure.EndpointFailed,
		},
		"all instances leave": {
			injectFault: func(b *testbed, _ *testRouter) { b.setServiceFaults(standin.ServiceFaults{Leaving: true}) },
			clearFault:  func(b *testbed, _ *testRouter) { b.setServiceFaults(standin.ServiceFaults{}) },
			code:        failure.NoEndpoint,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 2)
			router := b.startRouter(shortTimeoutOptions())
			c.injectFault(b, router)
			_, err := callWithin(router.calls, newCall("first", "fan-7", "on"), 3*time.Second)
			if c.code != "" {
				assert.Equal(t, failure.CodeOf(err), c.code, "%v", err)
			}
			if err != nil && failure.As(err).Ran == failure.RanNo {
				assert.Equal(t, b.executionsOf("fan-7"), 0)
			}
			c.clearFault(b, router)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, err := callWithin(router.calls, newCall("second", "fan-7", "on"), 5*time.Second); err != nil {
					return poll.Continue("%v", err)
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second))
			assert.Equal(t, b.executionsOf("fan-7"), 1)
		})
	}
}

// TestCallsAvoidDeadInstance stops one of two instances, so that it refuses
// connections. Each call must execute once at the other.
func TestCallsAvoidDeadInstance(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 2)
	router := b.startRouter(shortTimeoutOptions())
	_, err := callWithin(router.calls, newCall("warm", "warm-1", "on"), 5*time.Second)
	assert.NilError(t, err)
	b.servers[0].Close()
	for i := range 8 {
		key := uuid.NewString()
		_, err := callWithin(router.calls, newCall(fmt.Sprint("r", i), key, "on"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, b.executionsOf(key), 1)
	}
}

// TestIdempotentCallsAreRetried makes one of two instances fail in different ways. An
// idempotent call must get its response from the other.
func TestIdempotentCallsAreRetried(t *testing.T) {
	for name, faults := range map[string]standin.ServiceFaults{
		"refused": {Refuse: true}, "dropped": {BreakAfter: true}, "silent": {HangBefore: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 2)
			o := shortTimeoutOptions()
			o.calls.AttemptTimeout = 100 * time.Millisecond
			router := b.startRouter(o)
			b.services[0].SetFaults(faults)
			runConcurrently(8, func(i int) {
				call := newCall(fmt.Sprint("r", i), "", "")
				call.Method, call.Idempotent, call.Header = http.MethodGet, true, nil
				response, err := callWithin(router.calls, call, 10*time.Second)
				assert.Check(t, err)
				assert.Check(t, err != nil || response.Endpoint == "fans-2")
			})
		})
	}
}
