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

// Shape of the random faults.
const (
	faultSeed    = 11
	faultBudget  = 6000 // tokens, fewer than the callers ask for
	faultCallers = 16
	faultRun     = 12 * time.Second
	faultShort   = 6 * time.Second
	faultPause   = 250 * time.Millisecond
	// killPause lets peers write the bills that a killed router left with
	// them before the next router is killed.
	killPause = 4 * time.Second
)

// TestPromisesUnderRandomFaults kills and freezes routers, cuts them off from
// the platform, loses replies and breaks endpoints at random, all while
// callers go on. Whatever happens, callers get whole answers of their own, no
// command runs twice, "did not run" is true, and the budget holds.
func TestPromisesUnderRandomFaults(t *testing.T) {
	seed := seedOf(t)
	t.Logf("seed %d", seed)
	f := startFleet(t, 3, 2, faultBudget)
	s := &faultRunner{fleet: f, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), live: f.routers}
	run := faultRun
	if testing.Short() {
		run = faultShort
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	seen := make([]*witness, faultCallers)
	for i := range seen {
		seen[i] = newWitness(s, i)
		callers.Go(func() { seen[i].call(stop) })
	}
	for end := time.Now().Add(run); time.Now().Before(end); time.Sleep(faultPause) {
		s.fault()
	}
	s.heal()
	close(stop)
	callers.Wait()
	all := mergeWitnesses(seen)
	t.Logf("%d whole answers, %d commands, %d refusals that said they did not run", all.whole, len(all.commands), all.refused)
	all.checkAnswers(t)
	all.checkCommands(t, f)
	s.checkBudget(all)
}

// seedOf returns the seed of the environment, or the one that CI runs.
func seedOf(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("DAISYSLIP_SEED")
	if text == "" {
		return faultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

// faultRunner causes faults and keeps which routers run.
type faultRunner struct {
	fleet  *fleet
	seed   uint64
	random *rand.Rand

	mu       sync.Mutex // guards live and frozen
	live     []*router
	frozen   *router
	lastKill time.Time
	killed   int
}

// pick returns a router that runs, or is frozen.
func (s *faultRunner) pick(n int) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[n%len(s.live)]
}

// fault causes or heals one fault.
func (s *faultRunner) fault() {
	router := s.pick(s.random.IntN(100))
	engine := s.fleet.engines[s.random.IntN(len(s.fleet.engines))]
	switch s.random.IntN(10) {
	case 0:
		s.kill(router)
	case 1, 2:
		s.toggleFreeze(router)
	case 3:
		s.fleet.setFaults(s.fleet.platform, memory.Faults{Outage: true})
	case 4, 5:
		s.fleet.setFaults(s.fleet.platform, memory.Faults{})
	case 6:
		s.fleet.setFaults(s.fleet.platform, memory.Faults{LoseResponses: 3, Delay: 20 * time.Millisecond})
	case 7:
		s.fleet.setFaults(engine, s.engineFaults())
	case 8:
		s.fleet.setFaults(engine, standin.EngineFaults{})
	case 9:
		s.fleet.setFaults(s.fleet.service, standin.ServiceFaults{BreakAfter: s.random.IntN(2) == 0})
	}
}

// engineFaults returns one kind of broken answers.
func (s *faultRunner) engineFaults() standin.EngineFaults {
	kinds := []standin.EngineFaults{
		{BreakAfter: 3}, {TruncateAfter: 2}, {StallAfter: 4}, {WrongID: true}, {InsertForeignChunks: true}, {DuplicateChunks: true}, {Refuse: true}, {SlowFactor: 10},
	}
	return kinds[s.random.IntN(len(kinds))]
}

// kill ends a router at once and starts another in its place.
func (s *faultRunner) kill(r *router) {
	if r == s.frozen || time.Since(s.lastKill) < killPause {
		return
	}
	r.signal(syscall.SIGKILL)
	r.wait()
	s.lastKill = time.Now()
	s.killed++
	next := s.fleet.addRouter()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, old := range s.live {
		if old == r {
			s.live = append(append([]*router{next}, s.live[:i]...), s.live[i+1:]...)
			return
		}
	}
}

// toggleFreeze stops a router without ending it, or lets the stopped one run.
func (s *faultRunner) toggleFreeze(r *router) {
	if s.frozen != nil {
		s.frozen.signal(syscall.SIGCONT)
		s.frozen = nil
		return
	}
	r.signal(syscall.SIGSTOP)
	s.frozen = r
}

// heal ends all faults.
func (s *faultRunner) heal() {
	if s.frozen != nil {
		s.toggleFreeze(s.frozen)
	}
	s.fleet.setFaults(s.fleet.platform, memory.Faults{})
	s.fleet.setFaults(s.fleet.service, standin.ServiceFaults{})
	for _, engine := range s.fleet.engines {
		s.fleet.setFaults(engine, standin.EngineFaults{})
	}
	for _, r := range s.live {
		s.fleet.waitReady(r)
	}
}

// checkBudget stops all routers but one and checks that the budget adds up
// and that it covers what callers received.
func (s *faultRunner) checkBudget(all *witness) {
	t := s.fleet.t
	t.Helper()
	last := s.live[0]
	for _, r := range s.live[1:] {
		r.signal(syscall.SIGTERM)
		assert.Equal(t, r.wait(), 0)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b, err := s.fleet.client(last).Balance(t.Context(), account)
		if err != nil {
			return poll.Continue("%v", err)
		}
		if b.Settled+b.InDoubt < all.billable {
			return poll.Continue("callers received %d tokens in whole answers, settled %d, in doubt %d", all.billable, b.Settled, b.InDoubt)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
	b := s.fleet.balance(last)
	t.Logf("%d routers killed; %s", s.killed, fmt.Sprintf("%+v", b))
	assert.Equal(t, b.Paid, b.Unspent+b.Held+b.Settled+b.InDoubt)
	assert.Assert(t, b.Unspent >= 0 && b.Held >= 0 && b.InDoubt >= 0, "%+v", b)
	assert.Assert(t, b.Settled <= b.Paid, "%+v", b)
	assert.Assert(t, all.received <= b.Paid, "callers received %d tokens, paid %d", all.received, b.Paid)
}
