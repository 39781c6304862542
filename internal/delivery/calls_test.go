package delivery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/work"
)

// newCall returns a fan command.
func newCall(id, key, body string) *work.Call {
	return &work.Call{
		RequestInfo: work.RequestInfo{RequestID: id, Workspace: benchWorkspace, IdempotencyKey: key},
		Service:     benchService,
		Method:      http.MethodPost,
		Path:        "/bins/7",
		Header:      http.Header{"Idempotency-Key": {key}},
		Body:        []byte(body),
		Digest:      body,
	}
}

// try makes a call within a bound.
func try(c work.CallRunner, call *work.Call, within time.Duration) (*work.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return c.Call(ctx, call)
}

// runsOf counts the runs under a key over all instances.
func (b *bench) runsOf(key string) int {
	n := 0
	for _, s := range b.services {
		n += s.ExecutionCount(key)
	}
	return n
}

// ranFor reports whether an instance ran a request.
func (b *bench) ranFor(request string) bool {
	for _, s := range b.services {
		for _, run := range s.Executions() {
			if run.RequestID == request {
				return true
			}
		}
	}
	return false
}

func (b *bench) setServiceFaults(f standin.ServiceFaults) {
	for _, s := range b.services {
		s.SetFaults(f)
	}
}

// TestRetriesAtOnce sends one fan command many times at once at three
// routers, with a slow store between them.
func TestRetriesAtOnce(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	slow := memory.Faults{Delay: 5 * time.Millisecond}
	callers := make([]work.CallRunner, 3)
	naive := make([]work.CallRunner, 3)
	for i := range callers {
		n := b.node(patientOptions())
		n.view.SetFaults(slow)
		callers[i], naive[i] = n.calls, &naiveCheck{naiveCaller{bench: b, store: n.view}}
	}
	each(12, func(i int) {
		answer, err := try(callers[i%3], newCall(fmt.Sprint("r", i), "fan-7", "on"), 30*time.Second)
		assert.Check(t, err)
		assert.Check(t, err != nil || answer.Status == http.StatusOK)
	})
	assert.Equal(t, b.runsOf("fan-7"), 1)
	each(12, func(i int) { try(naive[i%3], newCall(fmt.Sprint("n", i), "naive-7", "on"), 5*time.Second) })
	assert.Assert(t, b.runsOf("naive-7") > 1)
}

// TestLostReplyOfClaim loses replies and requests of the insertion, with a
// store that remembers the operation and with one that has forgotten it.
func TestLostReplyOfClaim(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"reply": {LoseResponses: 1}, "two replies": {LoseResponses: 2}, "request": {LoseRequests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 1)
			n := b.node(quickOptions())
			n.view.SetFaults(faults)
			answer, err := try(n.calls, newCall("first", "fan-7", "on"), 5*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, answer.Status, http.StatusOK)
			assert.Equal(t, b.runsOf("fan-7"), 1)
		})
	}
	t.Run("forgotten operation", func(t *testing.T) {
		b := newBench(t, 1)
		n := b.node(quickOptions())
		store := newHookedStore(n.view)
		store.after(1, func() error { b.store.ForgetOpIDs(); return errLostReply })
		runner := b.runnerOver(n, store)
		_, err := try(runner, newCall("first", "fan-7", "on"), 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, b.runsOf("fan-7"), 1)
	})
	t.Run("naive", func(t *testing.T) {
		b := newBench(t, 1)
		n := b.node(quickOptions())
		n.view.SetFaults(memory.Faults{LoseResponses: 1})
		naive := &naiveInsert{naiveCaller{bench: b, store: n.view}}
		for range 2 {
			_, err := try(naive, newCall("first", "fan-7", "on"), time.Second)
			assert.Assert(t, err != nil)
		}
		assert.Equal(t, b.runsOf("fan-7"), 0, "the naive version never runs the command")
	})
}

// TestPausedAtEachStep pauses a router before and after each of its writes,
// retries at another router meanwhile, and lets the first go on.
func TestPausedAtEachStep(t *testing.T) {
	for _, commit := range []int{1, 2} {
		for _, where := range []string{"before", "after"} {
			t.Run(fmt.Sprintf("%s write %d", where, commit), func(t *testing.T) {
				t.Parallel()
				b := newBench(t, 1)
				first, second := b.node(quickOptions()), b.node(quickOptions())
				store := newHookedStore(first.view)
				paused, resume := make(chan struct{}), make(chan struct{})
				pause := func() error { close(paused); <-resume; return nil }
				if where == "before" {
					store.before(commit, pause)
				} else {
					store.after(commit, pause)
				}
				done := make(chan error, 1)
				go func() {
					_, err := try(b.runnerOver(first, store), newCall("first", "fan-7", "on"), 10*time.Second)
					done <- err
				}()
				<-paused
				_, retried := try(second.calls, newCall("second", "fan-7", "on"), 5*time.Second)
				assert.Assert(t, b.runsOf("fan-7") <= 1)
				close(resume)
				err := <-done
				assert.Equal(t, b.runsOf("fan-7"), 1)
				assert.Assert(t, err == nil || retried == nil, "nobody got the answer: %v, %v", err, retried)
				again, err := try(second.calls, newCall("third", "fan-7", "on"), 5*time.Second)
				assert.NilError(t, err)
				assert.Assert(t, again.Replayed)
			})
		}
	}
	t.Run("naive lease", func(t *testing.T) {
		t.Parallel()
		b := newBench(t, 1)
		first, second := b.node(quickOptions()), b.node(quickOptions())
		paused, resume, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		holder := &naiveLease{naiveCaller: naiveCaller{bench: b, store: first.view}, pause: func() { close(paused); <-resume }}
		go func() {
			_, err := try(holder, newCall("first", "fan-7", "on"), 10*time.Second)
			done <- err
		}()
		<-paused
		time.Sleep(2 * naiveLeaseTime)
		taker := &naiveLease{naiveCaller: naiveCaller{bench: b, store: second.view}, pause: func() {}}
		_, err := try(taker, newCall("second", "fan-7", "on"), 5*time.Second)
		assert.NilError(t, err)
		close(resume)
		assert.NilError(t, <-done)
		assert.Equal(t, b.runsOf("fan-7"), 2)
	})
}

// TestPausedBeyondDeadline pauses a router between its claim and its send for
// longer than its caller waits: the command is not sent late, and a retry runs.
func TestPausedBeyondDeadline(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1)
	n := b.node(quickOptions())
	store := newHookedStore(n.view)
	store.after(1, func() error { time.Sleep(150 * time.Millisecond); return nil })
	runner := b.runnerOver(n, store)
	_, err := try(runner, newCall("late", "fan-7", "on"), 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.NilError(t, runner.Drain(t.Context()))
	assert.Equal(t, b.runsOf("fan-7"), 0)
	_, err = try(n.calls, newCall("retry", "fan-7", "on"), 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.runsOf("fan-7"), 1)
}

// TestCallsUnderRandomFaults sends commands, each several times at two
// routers, while the store and the service fail at random.
func TestCallsUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkCalls(t, seed)
		})
	}
}

func checkCalls(t *testing.T, seed uint64) {
	random := newRandom(t, seed)
	b := newBench(t, 2)
	nodes := []*node{b.node(quickOptions()), b.node(quickOptions())}
	serviceFaults := []standin.ServiceFaults{
		{}, {}, {Refuse: true}, {BreakAfter: true}, {HangAfter: true}, {DelayAfter: 80 * time.Millisecond}, {DelayBefore: 80 * time.Millisecond},
	}
	storeFaults := []memory.Faults{{}, {}, {LoseResponses: 2}, {LoseRequests: 2}, {Outage: true}, {Delay: 20 * time.Millisecond}}
	said := make(map[failure.Ran]int)
	for k := range 16 {
		key := fmt.Sprint("key-", k)
		for _, s := range b.services {
			s.SetFaults(serviceFaults[random.IntN(len(serviceFaults))])
		}
		for _, n := range nodes {
			n.view.SetFaults(storeFaults[random.IntN(len(storeFaults))])
		}
		failures := make([]error, 4)
		each(len(failures), func(i int) {
			_, failures[i] = try(nodes[i%2].calls, newCall(fmt.Sprint(key, "-", i), key, "on"), 150*time.Millisecond)
		})
		for i, err := range failures {
			said[checkCall(t, b, key, fmt.Sprint(key, "-", i), err)]++
		}
	}
	t.Logf("callers were told: %v", said)
	for _, n := range nodes {
		n.view.SetFaults(memory.Faults{})
	}
	for k := range 16 {
		assert.Assert(t, b.runsOf(fmt.Sprint("key-", k)) <= 1)
	}
}

// checkCall compares what a caller was told with the service's records.
func checkCall(t *testing.T, b *bench, key, request string, err error) failure.Ran {
	t.Helper()
	assert.Assert(t, b.runsOf(key) <= 1, "%s ran %d times", key, b.runsOf(key))
	if err == nil {
		assert.Equal(t, b.runsOf(key), 1)
		return failure.RanYes
	}
	f := failure.As(err)
	assert.Assert(t, f != nil, err)
	if f.Ran == failure.RanNo {
		assert.Assert(t, !b.ranFor(request), "%s was told that it did not run: %v", request, err)
	}
	return f.Ran
}

var errLostReply = errors.New("reply lost")
