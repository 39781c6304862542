package delivery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/standin"
)

// newCall returns a fan command with an idempotency key.
func newCall(requestID, key, body string) *requests.Call {
	return &requests.Call{
		RequestInfo: requests.RequestInfo{RequestID: requestID, Workspace: testWorkspace, IdempotencyKey: key},
		Service:     testService,
		Method:      http.MethodPost,
		Path:        "/bins/7",
		Header:      http.Header{"Idempotency-Key": {key}},
		Body:        []byte(body),
		Digest:      body,
	}
}

// callWithin runs a call whose caller waits for at most timeout.
func callWithin(runner requests.CallRunner, call *requests.Call, timeout time.Duration) (*requests.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return runner.Call(ctx, call)
}

// executionsOf returns the number of executions under an idempotency key, over all
// instances of the service.
func (b *testbed) executionsOf(key string) int {
	executions := 0
	for _, s := range b.services {
		executions += s.ExecutionCount(key)
	}
	return executions
}

// executedRequest reports whether an instance executed the request.
func (b *testbed) executedRequest(requestID string) bool {
	for _, s := range b.services {
		for _, execution := range s.Executions() {
			if execution.RequestID == requestID {
				return true
			}
		}
	}
	return false
}

// setServiceFaults replaces the faults of all instances of the service.
func (b *testbed) setServiceFaults(f standin.ServiceFaults) {
	for _, s := range b.services {
		s.SetFaults(f)
	}
}

// TestCallToSilentServiceIsRefusedInTime guards against unknown outcomes of calls
// that were never sent. The only instance accepts connections and gives no load
// report: the caller must be told before its deadline that nothing was executed.
func TestCallToSilentServiceIsRefusedInTime(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 0)
	b.addEndpoint(catalog.Endpoint{Name: "silent", Service: testService, URL: b.addServer(httptest.NewServer(
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })))})
	router := b.startRouter(longTimeoutOptions())
	_, err := callWithin(router.calls, newCall("request", "fan-7", "on"), 8*time.Second)
	assert.Equal(t, failure.CodeOf(err), failure.StaleView)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
}

// TestConcurrentRetriesExecuteOnce sends the same fan command twelve times at once to
// three routers that share a slow store. It must execute once. The naive version,
// which checks for an earlier execution first, must execute it more than once.
func TestConcurrentRetriesExecuteOnce(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 1)
	slow := memory.Faults{Delay: 5 * time.Millisecond}
	runners := make([]requests.CallRunner, 3)
	naiveRunners := make([]requests.CallRunner, 3)
	for i := range runners {
		router := b.startRouter(longTimeoutOptions())
		router.storeClient.SetFaults(slow)
		runners[i], naiveRunners[i] = router.calls, &naiveCheck{naiveCaller{testbed: b, store: router.storeClient}}
	}
	runConcurrently(12, func(i int) {
		response, err := callWithin(runners[i%3], newCall(fmt.Sprint("r", i), "fan-7", "on"), 30*time.Second)
		assert.Check(t, err)
		assert.Check(t, err != nil || response.Status == http.StatusOK)
	})
	assert.Equal(t, b.executionsOf("fan-7"), 1)
	runConcurrently(12, func(i int) {
		callWithin(naiveRunners[i%3], newCall(fmt.Sprint("n", i), "naive-7", "on"), 5*time.Second)
	})
	assert.Assert(t, b.executionsOf("naive-7") > 1)
}

// TestLostReplyToClaimExecutesOnce loses requests and responses of the commit that
// inserts the claim of a call. The call must execute once, also if the store has
// already forgotten the operation's id when the commit is retried. The naive version,
// which takes a lost response for a failed insertion, never executes the call.
func TestLostReplyToClaimExecutesOnce(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"reply": {LoseResponses: 1}, "two replies": {LoseResponses: 2}, "request": {LoseRequests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 1)
			router := b.startRouter(shortTimeoutOptions())
			router.storeClient.SetFaults(faults)
			response, err := callWithin(router.calls, newCall("first", "fan-7", "on"), 5*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
			assert.Equal(t, b.executionsOf("fan-7"), 1)
		})
	}
	t.Run("forgotten operation", func(t *testing.T) {
		b := newTestbed(t, 1)
		router := b.startRouter(shortTimeoutOptions())
		store := newHookedStore(router.storeClient)
		store.after(1, func() error { b.store.ForgetOpIDs(); return errLostResponse })
		runner := b.callRunnerWithStore(router, store)
		_, err := callWithin(runner, newCall("first", "fan-7", "on"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, b.executionsOf("fan-7"), 1)
	})
	t.Run("naive", func(t *testing.T) {
		b := newTestbed(t, 1)
		router := b.startRouter(shortTimeoutOptions())
		router.storeClient.SetFaults(memory.Faults{LoseResponses: 1})
		naive := &naiveInsert{naiveCaller{testbed: b, store: router.storeClient}}
		for range 2 {
			_, err := callWithin(naive, newCall("first", "fan-7", "on"), time.Second)
			assert.Assert(t, err != nil)
		}
		assert.Equal(t, b.executionsOf("fan-7"), 0, "the naive version executed the command")
	})
}

// TestRouterPausedAroundEachWrite pauses a router before or after each of its writes,
// retries the call at another router, and resumes the first router. The call must
// execute once, at least one of the two callers must get the response, and a later
// retry must get the stored response. The naive version, which relies on a lease with
// an expiry time, executes the call twice.
func TestRouterPausedAroundEachWrite(t *testing.T) {
	for _, commit := range []int{1, 2} {
		for _, where := range []string{"before", "after"} {
			t.Run(fmt.Sprintf("%s write %d", where, commit), func(t *testing.T) {
				t.Parallel()
				b := newTestbed(t, 1)
				first, second := b.startRouter(shortTimeoutOptions()), b.startRouter(shortTimeoutOptions())
				store := newHookedStore(first.storeClient)
				paused, resume := make(chan struct{}), make(chan struct{})
				pause := func() error { close(paused); <-resume; return nil }
				if where == "before" {
					store.before(commit, pause)
				} else {
					store.after(commit, pause)
				}
				done := make(chan error, 1)
				go func() {
					_, err := callWithin(b.callRunnerWithStore(first, store), newCall("first", "fan-7", "on"), 10*time.Second)
					done <- err
				}()
				<-paused
				_, retryErr := callWithin(second.calls, newCall("second", "fan-7", "on"), 5*time.Second)
				assert.Assert(t, b.executionsOf("fan-7") <= 1)
				close(resume)
				err := <-done
				assert.Equal(t, b.executionsOf("fan-7"), 1)
				assert.Assert(t, err == nil || retryErr == nil, "no caller got the response: %v, %v", err, retryErr)
				replay, err := callWithin(second.calls, newCall("third", "fan-7", "on"), 5*time.Second)
				assert.NilError(t, err)
				assert.Assert(t, replay.Replayed)
			})
		}
	}
	t.Run("naive lease", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t, 1)
		first, second := b.startRouter(shortTimeoutOptions()), b.startRouter(shortTimeoutOptions())
		paused, resume, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		holder := &naiveLease{naiveCaller: naiveCaller{testbed: b, store: first.storeClient}, pause: func() { close(paused); <-resume }}
		go func() {
			_, err := callWithin(holder, newCall("first", "fan-7", "on"), 10*time.Second)
			done <- err
		}()
		<-paused
		time.Sleep(2 * naiveLeaseDuration)
		successor := &naiveLease{naiveCaller: naiveCaller{testbed: b, store: second.storeClient}, pause: func() {}}
		_, err := callWithin(successor, newCall("second", "fan-7", "on"), 5*time.Second)
		assert.NilError(t, err)
		close(resume)
		assert.NilError(t, <-done)
		assert.Equal(t, b.executionsOf("fan-7"), 2)
	})
}

// TestCallPausedBeyondDeadlineIsNotSent pauses a router between claiming and sending a
// call until the caller's deadline has passed. The call must not be sent, and a retry
// must execute.
func TestCallPausedBeyondDeadlineIsNotSent(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 1)
	router := b.startRouter(shortTimeoutOptions())
	store := newHookedStore(router.storeClient)
	store.after(1, func() error { time.Sleep(150 * time.Millisecond); return nil })
	runner := b.callRunnerWithStore(router, store)
	_, err := callWithin(runner, newCall("late", "fan-7", "on"), 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.NilError(t, runner.Drain(t.Context()))
	assert.Equal(t, b.executionsOf("fan-7"), 0)
	_, err = callWithin(router.calls, newCall("retry", "fan-7", "on"), 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.executionsOf("fan-7"), 1)
}

// TestCallsUnderRandomFaults sends each command several times to two routers while the
// store and the service fail at random. A command must execute at most once, and
// every response must agree with the service's records.
func TestCallsUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkCallsUnderFaults(t, seed)
		})
	}
}

// checkCallsUnderFaults runs TestCallsUnderRandomFaults for one seed.
func checkCallsUnderFaults(t *testing.T, seed uint64) {
	random := newRandom(t, seed)
	b := newTestbed(t, 2)
	routers := []*testRouter{b.startRouter(shortTimeoutOptions()), b.startRouter(shortTimeoutOptions())}
	serviceFaults := []standin.ServiceFaults{
		{}, {}, {Refuse: true}, {BreakAfter: true}, {HangAfter: true}, {DelayAfter: 80 * time.Millisecond}, {DelayBefore: 80 * time.Millisecond},
	}
	storeFaults := []memory.Faults{{}, {}, {LoseResponses: 2}, {LoseRequests: 2}, {Outage: true}, {Delay: 20 * time.Millisecond}}
	reported := make(map[failure.Ran]int)
	for k := range 16 {
		key := fmt.Sprint("key-", k)
		for _, s := range b.services {
			s.SetFaults(serviceFaults[random.IntN(len(serviceFaults))])
		}
		for _, router := range routers {
			router.storeClient.SetFaults(storeFaults[random.IntN(len(storeFaults))])
		}
		errs := make([]error, 4)
		runConcurrently(len(errs), func(i int) {
			_, errs[i] = callWithin(routers[i%2].calls, newCall(fmt.Sprint(key, "-", i), key, "on"), 150*time.Millisecond)
		})
		for i, err := range errs {
			reported[checkReportedExecution(t, b, key, fmt.Sprint(key, "-", i), err)]++
		}
	}
	t.Logf("reported executions: %v", reported)
	for _, router := range routers {
		router.storeClient.SetFaults(memory.Faults{})
	}
	for k := range 16 {
		assert.Assert(t, b.executionsOf(fmt.Sprint("key-", k)) <= 1)
	}
}

// checkReportedExecution compares the error that a caller got, or nil for a response,
// with the service's records. It returns what the caller was told about the execution.
func checkReportedExecution(t *testing.T, b *testbed, key, requestID string, err error) failure.Ran {
	t.Helper()
	assert.Assert(t, b.executionsOf(key) <= 1, "%s executed %d times", key, b.executionsOf(key))
	if err == nil {
		assert.Equal(t, b.executionsOf(key), 1)
		return failure.RanYes
	}
	f := failure.As(err)
	assert.Assert(t, f != nil, err)
	if f.Ran == failure.RanNo {
		assert.Assert(t, !b.executedRequest(requestID), "%s was reported as not executed: %v", requestID, err)
	}
	return f.Ran
}

// errLostResponse makes a hook lose the response to a commit.
var errLostResponse = errors.New("response lost")
