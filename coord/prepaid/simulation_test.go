package prepaid_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// storeLink is the store as one process reaches it. Calls of a partitioned process
// get no response. Commits can also lose their responses, and may be applied all
// the same.
type storeLink struct {
	rowstore.Store
	random            *lockedRand
	lateCommits       *sync.WaitGroup
	dead, partitioned atomic.Bool
	// away is set during an outage of the store, and refusesAfter is the time, in nanoseconds,
	// after which it then refuses a call; all links share them.
	away         *atomic.Bool
	refusesAfter *atomic.Int64
	// lossPerMille is the number of commits in 1,000 whose response is lost. Half
	// of these are applied at once, the others up to maxCommitDelay later.
	lossPerMille   atomic.Int64
	maxCommitDelay time.Duration
	// partitionTurn admits one commit at a time if it is set, like a partition of the
	// users' store. All links share it.
	partitionTurn chan struct{}
	freezer       *freezer
}

// lockedRand is a seeded source of random numbers for all goroutines of a scenario.
type lockedRand struct {
	mu  sync.Mutex
	src *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{src: rand.New(rand.NewPCG(seed, 0))} }

// int64n returns a number from 0 to n-1.
func (r *lockedRand) int64n(n int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.Int64N(n)
}

// uniform returns a number from 0 to 1, excluding 1.
func (r *lockedRand) uniform() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.Float64()
}

// exponential returns an exponentially distributed duration.
func (r *lockedRand) exponential(mean time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.src.ExpFloat64() * float64(mean))
}

// durationBetween returns a duration from a to b, excluding b.
func (r *lockedRand) durationBetween(a, b time.Duration) time.Duration {
	return a + time.Duration(r.int64n(int64(b-a)))
}

// logNormal returns a log-normally distributed size with a mean and a spread, but
// at most limit.
func (r *lockedRand) logNormal(mean, spread, limit float64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(math.Min(mean*math.Exp(spread*r.src.NormFloat64()-spread*spread/2), limit))
}

// storeDelay is the duration of one call to the store.
const storeDelay = 4 * time.Millisecond

func (l *storeLink) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	defer l.freezer.await()
	endTurn, err := l.takeTurn(ctx)
	if err != nil {
		return rowstore.Result{}, err
	}
	defer endTurn()
	if err := l.roundTrip(ctx); err != nil {
		return rowstore.Result{}, err
	}
	if l.random.int64n(1000) >= l.lossPerMille.Load() {
		return l.Store.Commit(ctx, tx)
	}
	if l.random.int64n(2) == 0 {
		_, _ = l.Store.Commit(ctx, tx) // the caller does not learn the outcome
		return rowstore.Result{}, fmt.Errorf("response lost: %w", rowstore.ErrUnknown)
	}
	l.lateCommits.Go(func() {
		time.Sleep(time.Duration(l.random.int64n(int64(l.maxCommitDelay))))
		if l.away.Load() {
			return
		}
		_, _ = l.Store.Commit(context.Background(), tx) // the caller no longer waits
	})
	return rowstore.Result{}, fmt.Errorf("response lost, commit delayed: %w", rowstore.ErrUnknown)
}

func (l *storeLink) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	defer l.freezer.await()
	if err := l.roundTrip(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return l.Store.Read(ctx, table, part)
}

func (l *storeLink) Changes(ctx context.Context, table string, since int64, wait time.Duration) (rowstore.Snapshot, error) {
	defer l.freezer.await()
	if err := l.roundTrip(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return l.Store.Changes(ctx, table, since, wait)
}

// takeTurn waits until no other commit is being made, if there is one partition only. It
// returns a function that lets the next one be made.
func (l *storeLink) takeTurn(ctx context.Context) (end func(), err error) {
	if l.partitionTurn == nil || l.partitioned.Load() {
		return func() {}, nil
	}
	select {
	case l.partitionTurn <- struct{}{}:
		return func() { <-l.partitionTurn }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the partition: %w", rowstore.ErrUnavailable)
	}
}

// roundTrip takes the time of a call. It fails if the process is dead, and after
// the caller's timeout if it is partitioned.
func (l *storeLink) roundTrip(ctx context.Context) error {
	l.freezer.await()
	time.Sleep(storeDelay)
	if l.dead.Load() {
		return fmt.Errorf("process is dead: %w", rowstore.ErrUnavailable)
	}
	if l.away.Load() {
		time.Sleep(time.Duration(l.refusesAfter.Load()))
		return fmt.Errorf("store is away: %w", rowstore.ErrUnavailable)
	}
	if !l.partitioned.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return fmt.Errorf("no response: %w", rowstore.ErrUnknown)
}

// peerDelay is the duration of one message between routers, in one direction.
const peerDelay = time.Millisecond

// peerLink is the bus as one process reaches it. Requests of a process that is cut off
// from its peers, or to one that is, get no response.
type peerLink struct {
	bus.Bus
	s    *simulation
	self *router
	cut  atomic.Bool
	// island numbers the group of processes that reach each other.
	island atomic.Int64
	// cutEnded is when the last cut ended, in Unix nanoseconds.
	cutEnded atomic.Int64
	dead     *atomic.Bool
	loses    *atomic.Int64 // requests in 1,000 whose response is lost
	delay    atomic.Int64  // of requests to this process, in addition to peerDelay
}

func (l *peerLink) Request(ctx context.Context, to bus.ID, kind bus.Kind, body []byte) ([]byte, error) {
	defer l.self.link.freezer.await()
	l.self.link.freezer.await()
	time.Sleep(peerDelay)
	other := l.s.routerByID(to)
	if l.dead.Load() || other == nil || other.link.dead.Load() {
		return nil, failure.New(failure.PeerUnavailable, string(kind), to.String(), "process is dead").WithRan(failure.RanUnknown)
	}
	lost := func() ([]byte, error) {
		<-ctx.Done()
		return nil, failure.Wrap(failure.PeerUnavailable, string(kind), to.String(), ctx.Err()).WithRan(failure.RanUnknown)
	}
	separated := func() bool {
		return l.cut.Load() || other.peers.cut.Load() || l.island.Load() != other.peers.island.Load()
	}
	if separated() {
		return lost()
	}
	time.Sleep(time.Duration(other.peers.delay.Load()))
	if !other.link.freezer.awaitOr(ctx) {
		return lost()
	}
	response, err := l.Bus.Request(context.WithoutCancel(ctx), to, kind, body)
	time.Sleep(peerDelay)
	if separated() || other.link.dead.Load() || l.s.random.int64n(1000) < l.loses.Load() {
		return lost()
	}
	return response, err
}

// endCut ends a cut of a process from its peers.
func (l *peerLink) endCut() {
	l.cutEnded.Store(time.Now().UnixNano())
	l.cut.Store(false)
}

// fleetView is the list of routers as one process knows it. A dead process stays
// listed until the next one on its VM starts.
type fleetView struct {
	s *simulation

	mu             sync.Mutex // guards suspectedUntil
	suspectedUntil map[bus.ID]time.Time
}

func (f *fleetView) Available() ([]prepaid.Member, int64) {
	f.s.mu.Lock()
	members := append(append([]prepaid.Member(nil), f.s.members...), f.s.lost...)
	f.s.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	version := fnv.New64a()
	available := members[:0]
	for _, m := range members {
		if time.Now().Before(f.suspectedUntil[m.ID]) {
			continue
		}
		available = append(available, m)
		fmt.Fprint(version, m.ID)
	}
	return available, int64(version.Sum64())
}

func (f *fleetView) Suspect(id bus.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectedUntil[id] = time.Now().Add(time.Second)
}

// router is a process with a pool.
type router struct {
	*prepaid.Pool
	peers *peerLink
	id    bus.ID
	link  *storeLink
	stop  context.CancelFunc
	done  chan struct{}
	// lifetime ends with the process, which aborts the requests that it serves.
	lifetime context.Context
	vm       string
	// incarnation is part of the names of its grants. used is, by workspace, what
	// callers received or may still receive.
	incarnation string
	used        map[string]int64
}

// simulation is a fleet of routers that serve requests of workspaces and draw their
// grants from one store.
type simulation struct {
	t      *testing.T
	store  *memory.Store
	random *lockedRand
	// restarts counts the processes that will start again, lateCommits the commits
	// that links are delaying.
	restarts, lateCommits sync.WaitGroup
	// storeAway is set during an outage of the store.
	storeAway         atomic.Bool
	storeRefusesAfter atomic.Int64
	// sparesWitnesses excludes faults from injectRandomFaults; see losesWitnesses.
	sparesWitnesses atomic.Bool
	// lossWeight is how many of the faults of injectRandomFaults lose or isolate a machine.
	lossWeight int64
	// settings apply to routers started from now on, and freezes is set if they may freeze.
	settings prepaid.Settings
	freezes  bool

	mu      sync.Mutex       // guards all fields below
	routers []*router        // nil while down
	members []prepaid.Member // by VM, the last process that started there
	// replaced counts the machines that were lost in each place, and lost are the members
	// that ran there; they stay listed.
	replaced map[int]int
	lost     []prepaid.Member
	network  *bus.Network
	// partitionTurn is that of all links.
	partitionTurn chan struct{}
	starts        int
	allRouters    []*router
	limits        map[string]int64
	// By workspace: consumed is what callers have received, and reserved what they
	// may still receive.
	consumed, reserved map[string]int64
	revision           int64
	due, served        map[string]int
	servedLate         int
	refusals           map[string]int
	failed             bool // an invariant was violated; later violations are not reported
}

func newSimulation(t *testing.T, routers int, seed uint64, configure ...func(s *simulation)) *simulation {
	s := &simulation{
		t: t, store: memory.New(), random: newLockedRand(seed), settings: prepaid.DefaultSettings(),
		routers: make([]*router, routers), network: bus.NewNetwork(), limits: map[string]int64{},
		consumed: map[string]int64{}, reserved: map[string]int64{}, replaced: map[int]int{},
		due: map[string]int{}, served: map[string]int{}, refusals: map[string]int{},
	}
	for _, f := range configure {
		f(s)
	}
	for vm := range routers {
		s.start(vm)
	}
	return s
}

// start starts a process on a VM.
func (s *simulation) start(vm int) {
	s.mu.Lock()
	s.starts++
	l := &storeLink{freezer: &freezer{}, Store: s.store, random: s.random, lateCommits: &s.lateCommits, maxCommitDelay: 3 * time.Second, partitionTurn: s.partitionTurn, away: &s.storeAway, refusesAfter: &s.storeRefusesAfter}
	lifetime, stop := context.WithCancel(context.Background())
	name := fmt.Sprint("vm-", vm)
	if n := s.replaced[vm]; n > 0 {
		name += fmt.Sprint("-", n)
	}
	r := &router{
		link: l, lifetime: lifetime, stop: stop, done: make(chan struct{}), vm: name,
		incarnation: fmt.Sprint("i-", s.starts), used: map[string]int64{},
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var processClock clock.Clock = clock.Real{}
	if s.freezes {
		processClock = freezableClock{freezer: l.freezer}
	}
	holder := prepaid.NewHolder(prepaid.Options{
		Settings: s.settings, Store: l, VM: r.vm, Incarnation: r.incarnation, Clock: processClock, Log: log, Limit: s.limit,
	})
	r.id = bus.ID{VM: r.vm, Incarnation: r.incarnation}
	if vm == len(s.members) {
		s.members = append(s.members, prepaid.Member{Domain: fmt.Sprint("zone-", vm%3), Weight: 1})
	}
	s.members[vm].ID = r.id
	r.peers = &peerLink{Bus: s.network.Join(bus.Peer{ID: r.id}), s: s, self: r, dead: &l.dead, loses: &l.lossPerMille}
	r.Pool = prepaid.NewPool(prepaid.PoolOptions{
		Holder: holder, Self: s.members[vm], Bus: r.peers, Fleet: &fleetView{s: s, suspectedUntil: map[bus.ID]time.Time{}}, Clock: processClock, Log: log,
	})
	go func() { defer close(r.done); r.Run(lifetime) }()
	s.routers[vm] = r
	s.allRouters = append(s.allRouters, r)
	workspaces := make([]string, 0, len(s.limits))
	for workspace := range s.limits {
		workspaces = append(workspaces, workspace)
	}
	s.mu.Unlock()
	r.SetWorkspaces(workspaces)
}

// router returns the process on a VM, or nil while it is down.
func (s *simulation) router(vm int) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[vm]
}

// routerByID returns a process that was started, or nil.
func (s *simulation) routerByID(id bus.ID) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.allRouters {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *simulation) limit(workspace string) (prepaid.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, ok := s.limits[workspace]
	return prepaid.Limit{Tokens: tokens, Revision: s.revision}, ok
}

// setLimit changes a workspace's limit and informs all running routers.
func (s *simulation) setLimit(workspace string, tokens int64) {
	s.mu.Lock()
	s.revision++
	s.limits[workspace] = tokens
	routers := append([]*router(nil), s.routers...)
	var workspaces []string
	for w := range s.limits {
		workspaces = append(workspaces, w)
	}
	s.mu.Unlock()
	for _, r := range routers {
		if r != nil {
			r.LimitsChanged()
			r.SetWorkspaces(workspaces)
		}
	}
}

// kill ends the process on a VM without notice and starts a new one after downtime.
func (s *simulation) kill(vm int, downtime time.Duration) {
	s.mu.Lock()
	r := s.routers[vm]
	s.routers[vm] = nil
	s.mu.Unlock()
	if r == nil {
		return
	}
	r.link.dead.Store(true)
	r.stop()
	s.restarts.Go(func() {
		time.Sleep(downtime)
		s.start(vm)
	})
}

// lose ends the machine of a router for good, without notice, and starts a process on
// another one after downtime.
func (s *simulation) lose(vm int, downtime time.Duration) {
	s.mu.Lock()
	if s.routers[vm] != nil {
		s.replaced[vm]++
		s.lost = append(s.lost, s.members[vm])
	}
	s.mu.Unlock()
	s.kill(vm, downtime)
}

// sendRecall writes a recall request for a random workspace, for all headroom or a
// part.
func (s *simulation) sendRecall() {
	s.sendRecallOf(fmt.Sprint("coop-", s.random.int64n(3)), s.random.int64n(2) == 0)
}

// sendRecallOf writes a recall request for a workspace.
func (s *simulation) sendRecallOf(workspace string, all bool) {
	_, now := s.readRows("prepaid_wanted", "")
	value := fmt.Sprintf(`{"store_ms":%d,"all":%t}`, now.Milliseconds(), all)
	_, err := s.store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "prepaid_wanted", Name: workspace}, Value: []byte(value)}}})
	assert.NilError(s.t, err)
}

// stopGracefully closes the holder on a VM before its process ends and a new one
// starts.
func (s *simulation) stopGracefully(vm int) {
	s.mu.Lock()
	r := s.routers[vm]
	s.routers[vm] = nil
	s.mu.Unlock()
	if r == nil {
		return
	}
	s.restarts.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = r.Close(ctx) // fails if the store is unreachable; the grant then stays open
		r.link.dead.Store(true)
		r.stop()
		time.Sleep(200 * time.Millisecond)
		s.start(vm)
	})
}

// forEachRouter calls f for each router that is up.
func (s *simulation) forEachRouter(f func(vm int, r *router)) {
	s.mu.Lock()
	routers := append([]*router(nil), s.routers...)
	s.mu.Unlock()
	for vm, r := range routers {
		if r != nil {
			f(vm, r)
		}
	}
}

// partitionAll partitions all routers from the store, or ends the partition.
func (s *simulation) partitionAll(partitioned bool) {
	s.forEachRouter(func(_ int, r *router) { r.link.partitioned.Store(partitioned) })
}

// shutdown ends all processes.
func (s *simulation) shutdown() {
	s.restarts.Wait()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for _, r := range s.allRouters {
		r.link.dead.Store(true)
		r.stop()
		<-r.done
		_ = r.Close(expired) // tokens that it cannot return do not matter at the end
	}
	s.lateCommits.Wait() // all processes have ended, so no commit is added
}

// workload is the load of one workspace.
type workload struct {
	workspace string
	// requestsPerSecond is the mean rate of requests. weights returns how they are
	// distributed over the routers at a time since the start; if it is nil, all
	// routers have equal weights.
	requestsPerSecond float64
	weights           func(now time.Duration) []float64
}

// requestSize returns the size of a request in tokens: of its prompt, reserved, and
// used. As on the platform's sites, half of the requests have long prompts and
// short responses, the other half short prompts and long responses.
func (r *lockedRand) requestSize() (prompt, maxTokens, used int64) {
	if r.int64n(2) == 0 {
		prompt = r.logNormal(2520, 0.4, 6290) + r.logNormal(3780, 0.7, 11_300) + r.logNormal(2890, 1, 39_600)
		used = 5 * r.logNormal(10, 1.4, 42)
	} else {
		prompt = r.logNormal(119, 0.4, 298) + r.logNormal(79, 0.7, 238) + r.logNormal(628, 1, 3310)
		used = 5 * r.logNormal(58, 0.7, 191)
	}
	return prompt, prompt + 2*used, prompt + used
}

// meanRequestTokens is the mean number of tokens that a request uses.
const meanRequestTokens = 5000

// latencyObjective is the time within which a reservation must succeed for its
// request to count as served in time.
const latencyObjective = 450 * time.Millisecond

// generateLoad sends requests of a workspace for a duration.
func (s *simulation) generateLoad(load workload, duration time.Duration, requests *sync.WaitGroup) {
	start := time.Now()
	for {
		time.Sleep(s.random.exponential(time.Duration(float64(time.Second) / load.requestsPerSecond)))
		now := time.Since(start)
		if now > duration {
			return
		}
		weights := make([]float64, len(s.routers))
		for i := range weights {
			weights[i] = 1
		}
		if load.weights != nil {
			weights = load.weights(now)
		}
		requests.Go(func() { s.sendRequest(load.workspace, weights) })
	}
}

// pickRouter picks a random router that is up, by weight, or nil if there is none.
func (s *simulation) pickRouter(weights []float64) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for i, w := range weights {
		if s.routers[i] != nil {
			sum += w
		}
	}
	remaining := s.random.uniform() * sum
	for i, w := range weights {
		if s.routers[i] == nil {
			continue
		}
		if remaining -= w; remaining < 0 {
			return s.routers[i]
		}
	}
	return nil
}

// countIfDue reports whether a request of at most maxTokens fits into 97% of the
// limit, and counts it as due if so: the fleet is expected to serve it.
func (s *simulation) countIfDue(workspace string, maxTokens int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := float64(s.consumed[workspace]+s.reserved[workspace]+maxTokens) <= 0.97*float64(s.limits[workspace])
	if due {
		s.due[workspace]++
	}
	return due
}

// sendRequest sends a caller's request, which is retried once after a refusal
// unless the total is exhausted.
func (s *simulation) sendRequest(workspace string, weights []float64) {
	prompt, maxTokens, used := s.random.requestSize()
	started := time.Now()
	due := s.countIfDue(workspace, maxTokens)
	for attempt := range 2 {
		r := s.pickRouter(weights)
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(r.lifetime, 5*time.Second)
		reservation, err := r.Reserve(ctx, workspace, maxTokens)
		cancel()
		if err == nil {
			elapsed := time.Since(started)
			s.serveRequest(r, reservation, workspace, prompt, maxTokens, used)
			s.mu.Lock()
			switch {
			case due && elapsed <= latencyObjective:
				s.served[workspace]++
			case due:
				s.servedLate++
			}
			s.mu.Unlock()
			return
		}
		backoff := 40 * time.Millisecond
		switch {
		case errors.Is(err, prepaid.ErrExhausted):
			attempt = 1
		case errors.Is(err, prepaid.ErrBusy):
			backoff = time.Second
		}
		if attempt == 1 || r.lifetime.Err() != nil {
			if due {
				s.mu.Lock()
				s.refusals[errorReason(err)]++
				s.mu.Unlock()
			}
			return
		}
		time.Sleep(backoff)
	}
}

// errorReason returns the text of the exported error that err wraps.
func errorReason(err error) string {
	for _, e := range []error{prepaid.ErrExhausted, prepaid.ErrBusy, prepaid.ErrUnavailable, prepaid.ErrClosed} {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	return err.Error()
}

// serveRequest lets a request consume its tokens. If the router dies first, all
// reserved tokens count as consumed.
func (s *simulation) serveRequest(r *router, reservation *prepaid.Reservation, workspace string, prompt, maxTokens, used int64) {
	s.mu.Lock()
	s.reserved[workspace] += maxTokens
	lender := s.lenderLocked(reservation)
	lender.used[workspace] += maxTokens
	s.checkInvariantsLocked(workspace)
	s.mu.Unlock()
	duration := time.Duration(float64(100*time.Millisecond) + float64(used-prompt)*float64(2*time.Millisecond))
	consumed := used
	select {
	case <-time.After(duration):
		// Settled after counting, since settled tokens may be reserved again at once.
		defer reservation.Settle(used)
	case <-r.lifetime.Done():
		consumed = maxTokens // how much was used is unknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved[workspace] -= maxTokens
	s.consumed[workspace] += consumed
	lender.used[workspace] += consumed - maxTokens
	s.checkInvariantsLocked(workspace)
}

// lenderLocked returns the process in whose grant a reservation was made.
func (s *simulation) lenderLocked(reservation *prepaid.Reservation) *router {
	for _, r := range s.allRouters {
		if r.id == reservation.Lender() {
			return r
		}
	}
	s.t.Errorf("reservation of unknown lender %s", reservation.Lender())
	return nil
}

// checkInvariantsLocked checks what must hold at any moment: a total is not
// exceeded; each grant covers what its holder used, and so do its activated and
// unlocked tokens as a successor would count them; and the total still includes
// what was used of closed grants.
func (s *simulation) checkInvariantsLocked(workspace string) {
	if s.failed {
		return
	}
	fail := func(format string, args ...any) {
		s.failed = true
		s.t.Errorf(workspace+": "+format, args...)
	}
	if s.consumed[workspace]+s.reserved[workspace] > s.limits[workspace] {
		fail("consumed %d, reserved %d, limit %d", s.consumed[workspace], s.reserved[workspace], s.limits[workspace])
	}
	rows, now := s.readRows("prepaid", workspace)
	if era := s.store.Era(); era > 1 {
		// The rows of the copy do not show what was used since. Once confirmed, the total
		// includes it.
		if total := rows["total"]; total.Era == era && total.Granted < s.consumed[workspace]+s.reserved[workspace] {
			fail("total of %d confirmed, consumed %d, reserved %d", total.Granted, s.consumed[workspace], s.reserved[workspace])
		}
		return
	}
	closedTotal, usedOfClosed := rows["total"].Granted, int64(0)
	for _, r := range s.allRouters {
		row, found := rows["grant/"+r.vm+"/"+r.incarnation]
		if !found {
			usedOfClosed += r.used[workspace]
			continue
		}
		closedTotal -= row.Granted
		maxUsed := row.Granted
		heartbeats, _ := s.readRows("prepaid_heartbeats", r.vm)
		if h := heartbeats["last"]; h.Incarnation == r.incarnation {
			maxUsed = row.Cleared + s.settings.Unlocked(now-time.Duration(h.StoreMs)*time.Millisecond, row.Granted-row.Cleared, row.UnlockRate) + 1
		}
		if r.used[workspace] > maxUsed {
			fail("%s used %d, but a successor counts %d, granted %d, activated %d", r.incarnation, r.used[workspace], maxUsed, row.Granted, row.Cleared)
		}
	}
	if usedOfClosed > closedTotal {
		fail("closed grants used %d, the total has %d", usedOfClosed, closedTotal)
	}
}

// ledgerRow has the fields of the rows of all tables that the checks need. Fields
// without a tag have their names in JSON; Cleared is that of the activated tokens.
type ledgerRow struct {
	Granted, Cleared int64
	Era              int64
	Incarnation      string
	StoreMs          int64   `json:"store_ms"`
	UnlockRate       float64 `json:"release_rate"`
}

// readRows reads a partition of a table, and returns its rows by name and the
// store's clock.
func (s *simulation) readRows(table, part string) (map[string]ledgerRow, time.Duration) {
	snap, err := s.store.Read(context.Background(), table, part)
	assert.NilError(s.t, err)
	rows := make(map[string]ledgerRow, len(snap.Rows))
	for _, row := range snap.Rows {
		var decoded ledgerRow
		assert.NilError(s.t, json.Unmarshal(row.Value, &decoded))
		rows[row.Key.Name] = decoded
	}
	return rows, snap.Now
}
