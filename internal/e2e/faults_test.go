package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Parameters of the random-fault test.
const (
	defaultFaultSeed       = 11
	faultTestTokens        = 6000 // budget, fewer than the callers request
	faultTestCallers       = 16
	faultTestDuration      = 12 * time.Second
	faultTestShortDuration = 6 * time.Second // with go test -short
	faultInterval          = 250 * time.Millisecond
	// minKillInterval lets the peers of a killed router write the bills that
	// it has replicated to them before the next router is killed.
	minKillInterval = 4 * time.Second
)

// TestGuaranteesUnderRandomFaults checks the guarantees to callers under random
// faults. While callers send requests, it kills and suspends routers, causes
// platform outages, loses the platform's responses and makes endpoints fail. Every
// complete response must be the right one for its request, no command may execute
// twice, a command reported as not executed must not have executed, and the budget
// must add up and cover the tokens that callers received.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	seed := testSeed(t)
	t.Logf("seed %d", seed)
	f := startFleet(t, 3, 2, faultTestTokens)
	injector := &faultInjector{fleet: f, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), live: f.routers}
	duration := faultTestDuration
	if testing.Short() {
		duration = faultTestShortDuration
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	recorders := make([]*recordingCaller, faultTestCallers)
	for i := range recorders {
		recorders[i] = newRecordingCaller(injector, i)
		callers.Go(func() { recorders[i].run(stop) })
	}
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(faultInterval) {
		injector.injectFault()
	}
	injector.clearFaults()
	close(stop)
	callers.Wait()
	merged := mergeRecordings(recorders)
	t.Logf("%d complete responses, %d commands, %d responses that reported no execution", merged.completed, len(merged.commands), merged.notExecuted)
	merged.checkResponses(t)
	merged.checkCommands(t, f)
	injector.checkBudget(merged)
}

// testSeed returns the seed in the environment variable DAISYSLIP_SEED, or the
// default that CI uses.
func testSeed(t *testing.T) uint64 {
	t.Helper()
	value := os.Getenv("DAISYSLIP_SEED")
	if value == "" {
		return defaultFaultSeed
	}
	seed, err := strconv.ParseUint(value, 10, 64)
	assert.NilError(t, err)
	return seed
}

// faultInjector causes random faults in a fleet and tracks its live routers.
type faultInjector struct {
	fleet  *fleet
	seed   uint64
	random *rand.Rand

	mu        sync.Mutex // guards live against reads by the callers
	live      []*router  // routers that run or are suspended
	frozen    *router    // the router suspended with SIGSTOP, or nil
	lastKill  time.Time
	killCount int
}

// pickRouter returns live router n, modulo their number. The router may be
// suspended.
func (fi *faultInjector) pickRouter(n int) *router {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.live[n%len(fi.live)]
}

// injectFault causes or clears one random fault.
func (fi *faultInjector) injectFault() {
	router := fi.pickRouter(fi.random.IntN(100))
	engine := fi.fleet.engineURLs[fi.random.IntN(len(fi.fleet.engineURLs))]
	switch fi.random.IntN(10) {
	case 0:
		fi.killAndReplace(router)
	case 1, 2:
		fi.toggleFreeze(router)
	case 3:
		fi.fleet.setFaults(fi.fleet.platformURL, memory.Faults{Outage: true})
	case 4, 5:
		fi.fleet.setFaults(fi.fleet.platformURL, memory.Faults{})
	case 6:
		fi.fleet.setFaults(fi.fleet.platformURL, memory.Faults{LoseResponses: 3, Delay: 20 * time.Millisecond})
	case 7:
		fi.fleet.setFaults(engine, fi.randomEngineFaults())
	case 8:
		fi.fleet.setFaults(engine, standin.EngineFaults{})
	case 9:
		fi.fleet.setFaults(fi.fleet.serviceURL, standin.ServiceFaults{BreakAfter: fi.random.IntN(2) == 0})
	}
}

// randomEngineFaults returns the faults that make an engine refuse, be slow or send
// faulty responses in one random way.
func (fi *faultInjector) randomEngineFaults() standin.EngineFaults {
	kinds := []standin.EngineFaults{
		{BreakAfter: 3}, {TruncateAfter: 2}, {StallAfter: 4}, {WrongID: true}, {InsertForeignChunks: true}, {DuplicateChunks: true}, {Refuse: true}, {SlowFactor: 10},
	}
	return kinds[fi.random.IntN(len(kinds))]
}

// killAndReplace kills a router with SIGKILL and starts a new one in its place. It
// does nothing if the router is suspended or the last kill was less than
// minKillInterval ago.
func (fi *faultInjector) killAndReplace(r *router) {
	if r == fi.frozen || time.Since(fi.lastKill) < minKillInterval {
		return
	}
	r.signal(syscall.SIGKILL)
	r.wait()
	fi.lastKill = time.Now()
	fi.killCount++
	replacement := fi.fleet.addRouter()
	fi.mu.Lock()
	defer fi.mu.Unlock()
	for i, old := range fi.live {
		if old == r {
			fi.live = append(append([]*router{replacement}, fi.live[:i]...), fi.live[i+1:]...)
			return
		}
	}
}

// toggleFreeze resumes the suspended router if there is one, and otherwise suspends
// the process of router r.
func (fi *faultInjector) toggleFreeze(r *router) {
	if fi.frozen != nil {
		fi.frozen.signal(syscall.SIGCONT)
		fi.frozen = nil
		return
	}
	r.signal(syscall.SIGSTOP)
	fi.frozen = r
}

// clearFaults ends all faults and waits until all live routers are ready.
func (fi *faultInjector) clearFaults() {
	if fi.frozen != nil {
		fi.toggleFreeze(fi.frozen)
	}
	fi.fleet.setFaults(fi.fleet.platformURL, memory.Faults{})
	fi.fleet.setFaults(fi.fleet.serviceURL, standin.ServiceFaults{})
	for _, engine := range fi.fleet.engineURLs {
		fi.fleet.setFaults(engine, standin.EngineFaults{})
	}
	for _, r := range fi.live {
		fi.fleet.waitReady(r)
	}
}

// checkBudget stops all routers but one, so that their grants are returned, and
// checks that the budget adds up and covers the tokens that callers received.
func (fi *faultInjector) checkBudget(merged *recordingCaller) {
	t := fi.fleet.t
	t.Helper()
	remaining := fi.live[0]
	for _, r := range fi.live[1:] {
		r.signal(syscall.SIGTERM)
		assert.Equal(t, r.wait(), 0)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b, err := fi.fleet.client(remaining).Balance(t.Context(), account)
		if err != nil {
			return poll.Continue("%v", err)
		}
		if b.Settled+b.InDoubt < merged.billableTokens {
			return poll.Continue("callers received %d tokens in complete responses, settled %d, in doubt %d", merged.billableTokens, b.Settled, b.InDoubt)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
	b := fi.fleet.balance(remaining)
	t.Logf("%d routers killed; %s", fi.killCount, fmt.Sprintf("%+v", b))
	assert.Equal(t, b.Paid, b.Unspent+b.Held+b.Settled+b.InDoubt)
	assert.Assert(t, b.Unspent >= 0 && b.Held >= 0 && b.InDoubt >= 0, "%+v", b)
	assert.Assert(t, b.Settled <= b.Paid, "%+v", b)
	assert.Assert(t, merged.receivedTokens <= b.Paid, "callers received %d tokens, paid %d", merged.receivedTokens, b.Paid)
}
