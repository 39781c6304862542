package prepaid_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// link is the store as one process reaches it. Calls of a process that is cut
// off get no answer; some of its commits may be applied all the same.
type link struct {
	rowstore.Store
	chance    *chance
	late      *sync.WaitGroup
	dead, cut atomic.Bool
	// lose is the share of commits whose answer is lost, in parts of 1,000; half
	// of these are applied up to lateness later.
	lose     atomic.Int64
	lateness time.Duration
}

// chance is a seeded source of random numbers for all goroutines of a play.
type chance struct {
	mu  sync.Mutex
	src *rand.Rand
}

func newChance(seed uint64) *chance { return &chance{src: rand.New(rand.NewPCG(seed, 0))} }

func (c *chance) below(n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.src.Int64N(n)
}

func (c *chance) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.src.Float64()
}

func (c *chance) pause(mean time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.src.ExpFloat64() * float64(mean))
}

// between returns a duration from a to b.
func (c *chance) between(a, b time.Duration) time.Duration {
	return a + time.Duration(c.below(int64(b-a)))
}

// logNormal draws a size with a mean and a spread, bounded by most.
func (c *chance) logNormal(mean, spread, most float64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(math.Min(mean*math.Exp(spread*c.src.NormFloat64()-spread*spread/2), most))
}

// storeDelay is the time of one call.
const storeDelay = 4 * time.Millisecond

func (l *link) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	if err := l.pass(ctx); err != nil {
		return rowstore.Result{}, err
	}
	if l.chance.below(1000) >= l.lose.Load() {
		return l.Store.Commit(ctx, tx)
	}
	if l.chance.below(2) == 0 {
		_, _ = l.Store.Commit(ctx, tx) // its outcome is what gets lost
		return rowstore.Result{}, fmt.Errorf("answer lost: %w", rowstore.ErrUnknown)
	}
	l.late.Go(func() {
		time.Sleep(time.Duration(l.chance.below(int64(l.lateness))))
		_, _ = l.Store.Commit(context.Background(), tx) // nobody waits for it
	})
	return rowstore.Result{}, fmt.Errorf("answer late: %w", rowstore.ErrUnknown)
}

func (l *link) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if err := l.pass(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return l.Store.Read(ctx, table, part)
}

func (l *link) Changes(ctx context.Context, table string, since int64, wait time.Duration) (rowstore.Snapshot, error) {
	if err := l.pass(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return l.Store.Changes(ctx, table, since, wait)
}

// pass lets a call through, or waits for the end of its time.
func (l *link) pass(ctx context.Context) error {
	time.Sleep(storeDelay)
	if l.dead.Load() {
		return fmt.Errorf("process is dead: %w", rowstore.ErrUnavailable)
	}
	if !l.cut.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return fmt.Errorf("no answer: %w", rowstore.ErrUnknown)
}

// router is a process with a holder.
type router struct {
	*prepaid.Holder
	link  *link
	stop  context.CancelFunc
	ended chan struct{}
	// life ends with the process; requests that it serves then are broken off.
	life context.Context
	vm   string
	// incarnation names its grants, and used is what callers got or may still get
	// of each workspace.
	incarnation string
	used        map[string]int64
}

// site is a fleet of routers with workspaces that spend.
type site struct {
	t      *testing.T
	store  *memory.Store
	chance *chance
	// restarts are processes that are to start again; late are commits that links
	// hold back.
	restarts, late sync.WaitGroup
	// settings are those of routers that start.
	settings prepaid.Settings

	mu      sync.Mutex // guards all below
	routers []*router  // nil while down
	starts  int
	made    []*router
	limits  map[string]int64
	// consumed is what callers have got, and open what they may still get.
	consumed, open map[string]int64
	version        int64
	owed, served   map[string]int
	tardy          int
	refusals       map[string]int
	passed         bool // a total was passed
}

func newSite(t *testing.T, routers int, seed uint64) *site {
	s := &site{
		t: t, store: memory.New(), chance: newChance(seed), settings: prepaid.DefaultSettings(),
		routers: make([]*router, routers), limits: map[string]int64{},
		consumed: map[string]int64{}, open: map[string]int64{},
		owed: map[string]int{}, served: map[string]int{}, refusals: map[string]int{},
	}
	for vm := range routers {
		s.start(vm)
	}
	return s
}

// start starts a process on a VM.
func (s *site) start(vm int) {
	s.mu.Lock()
	s.starts++
	l := &link{Store: s.store, chance: s.chance, late: &s.late, lateness: 3 * time.Second}
	life, stop := context.WithCancel(context.Background())
	r := &router{
		link: l, life: life, stop: stop, ended: make(chan struct{}), vm: fmt.Sprint("vm-", vm),
		incarnation: fmt.Sprint("i-", s.starts), used: map[string]int64{},
	}
	r.Holder = prepaid.NewHolder(prepaid.Options{
		Settings: s.settings, Store: l, VM: r.vm, Incarnation: r.incarnation, Clock: clock.Real{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Limit: s.limit,
	})
	go func() { defer close(r.ended); r.Run(life) }()
	s.routers[vm] = r
	s.made = append(s.made, r)
	names := make([]string, 0, len(s.limits))
	for name := range s.limits {
		names = append(names, name)
	}
	s.mu.Unlock()
	r.PrepareWorkspaces(names)
}

// router returns the process on a VM, or nil while it is down.
func (s *site) router(vm int) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[vm]
}

func (s *site) limit(workspace string) (prepaid.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, ok := s.limits[workspace]
	return prepaid.Limit{Tokens: tokens, Revision: s.version}, ok
}

func (s *site) setLimit(workspace string, tokens int64) {
	s.mu.Lock()
	s.version++
	s.limits[workspace] = tokens
	routers := append([]*router(nil), s.routers...)
	s.mu.Unlock()
	for _, r := range routers {
		if r != nil {
			r.LimitsChanged()
			r.PrepareWorkspaces([]string{workspace})
		}
	}
}

// kill ends the process on a VM, which starts again after down.
func (s *site) kill(vm int, down time.Duration) {
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
		time.Sleep(down)
		s.start(vm)
	})
}

// ask asks all routers to return tokens of a workspace.
func (s *site) ask() {
	workspace := fmt.Sprint("coop-", s.chance.below(3))
	_, now := s.rows("prepaid_wanted", "")
	value := fmt.Sprintf(`{"store_ms":%d,"all":%t}`, now.Milliseconds(), s.chance.below(2) == 0)
	_, err := s.store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "prepaid_wanted", Name: workspace}, Value: []byte(value)}}})
	assert.NilError(s.t, err)
}

// retire stops the process on a VM as planned.
func (s *site) retire(vm int) {
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
		_ = r.Close(ctx) // with the store away it returns nothing
		r.link.dead.Store(true)
		r.stop()
		time.Sleep(200 * time.Millisecond)
		s.start(vm)
	})
}

func (s *site) each(f func(vm int, r *router)) {
	s.mu.Lock()
	routers := append([]*router(nil), s.routers...)
	s.mu.Unlock()
	for vm, r := range routers {
		if r != nil {
			f(vm, r)
		}
	}
}

// cutAll cuts all routers off from the store, or ends that.
func (s *site) cutAll(cut bool) {
	s.each(func(_ int, r *router) { r.link.cut.Store(cut) })
}

// end ends all processes.
func (s *site) end() {
	s.restarts.Wait()
	done, cancel := context.WithCancel(context.Background())
	cancel()
	for _, r := range s.made {
		r.link.dead.Store(true)
		r.stop()
		<-r.ended
		_ = r.Close(done) // what it cannot return is of no interest any more
	}
	s.late.Wait() // no process adds to them any more
}

// callers is the load of one workspace.
type callers struct {
	workspace string
	// perSecond requests reach the routers by weight, or equally.
	perSecond float64
	weights   func(now time.Duration) []float64
}

// The sizes of requests, as the platform's sites have them: half of them are long
// prompts with short answers, half short ones with long answers.
func (c *chance) size() (prompt, most, used int64) {
	if c.below(2) == 0 {
		prompt = c.logNormal(2520, 0.4, 6290) + c.logNormal(3780, 0.7, 11_300) + c.logNormal(2890, 1, 39_600)
		used = 5 * c.logNormal(10, 1.4, 42)
	} else {
		prompt = c.logNormal(119, 0.4, 298) + c.logNormal(79, 0.7, 238) + c.logNormal(628, 1, 3310)
		used = 5 * c.logNormal(58, 0.7, 191)
	}
	return prompt, prompt + 2*used, prompt + used
}

// meanUse is the mean of what a request uses, in tokens.
const meanUse = 5000

// objective is the time within which a request counts as served.
const objective = 450 * time.Millisecond

// run sends requests of a workspace for a while.
func (s *site) run(c callers, lasting time.Duration, done *sync.WaitGroup) {
	start := time.Now()
	for {
		time.Sleep(s.chance.pause(time.Duration(float64(time.Second) / c.perSecond)))
		now := time.Since(start)
		if now > lasting {
			return
		}
		weights := make([]float64, len(s.routers))
		for i := range weights {
			weights[i] = 1
		}
		if c.weights != nil {
			weights = c.weights(now)
		}
		done.Go(func() { s.request(c.workspace, weights) })
	}
}

// pick draws a router that is up by weight.
func (s *site) pick(weights []float64) *router {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for i, w := range weights {
		if s.routers[i] != nil {
			sum += w
		}
	}
	at := s.chance.float() * sum
	for i, w := range weights {
		if s.routers[i] == nil {
			continue
		}
		if at -= w; at < 0 {
			return s.routers[i]
		}
	}
	return nil
}

// owes reports whether a request fits at its most into 97 in 100 of the total.
func (s *site) owes(workspace string, most int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owed := float64(s.consumed[workspace]+s.open[workspace]+most) <= 0.97*float64(s.limits[workspace])
	if owed {
		s.owed[workspace]++
	}
	return owed
}

// request makes one caller's request, which comes back once after a refusal.
func (s *site) request(workspace string, weights []float64) {
	prompt, most, used := s.chance.size()
	started := time.Now()
	owed := s.owes(workspace, most)
	for try := range 2 {
		r := s.pick(weights)
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(r.life, 5*time.Second)
		reservation, err := r.Reserve(ctx, workspace, most)
		cancel()
		if err == nil {
			took := time.Since(started)
			s.serve(r, reservation, workspace, prompt, most, used)
			s.mu.Lock()
			switch {
			case owed && took <= objective:
				s.served[workspace]++
			case owed:
				s.tardy++
			}
			s.mu.Unlock()
			return
		}
		pause := 40 * time.Millisecond
		switch {
		case errors.Is(err, prepaid.ErrExhausted):
			try = 1
		case errors.Is(err, prepaid.ErrBusy):
			pause = time.Second
		}
		if try == 1 || r.life.Err() != nil {
			if owed {
				s.mu.Lock()
				s.refusals[reason(err)]++
				s.mu.Unlock()
			}
			return
		}
		time.Sleep(pause)
	}
}

func reason(err error) string {
	for _, e := range []error{prepaid.ErrExhausted, prepaid.ErrBusy, prepaid.ErrUnavailable, prepaid.ErrClosed} {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	return err.Error()
}

// serve lets the request consume what it uses, unless its router dies.
func (s *site) serve(r *router, reservation *prepaid.Reservation, workspace string, prompt, most, used int64) {
	s.mu.Lock()
	s.open[workspace] += most
	r.used[workspace] += most
	s.checkLocked(workspace)
	s.mu.Unlock()
	running := time.Duration(float64(100*time.Millisecond) + float64(used-prompt)*float64(2*time.Millisecond))
	got := used
	select {
	case <-time.After(running):
		// Counted first: what is settled may be reserved again at once.
		defer reservation.Settle(used)
	case <-r.life.Done():
		got = most // nobody knows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[workspace] -= most
	s.consumed[workspace] += got
	r.used[workspace] += got - most
	s.checkLocked(workspace)
}

// checkLocked checks what must hold at any moment: the total is not passed, each
// grant covers what its holder used, cleared and released tokens cover it too, and
// closed grants left what was used of them in the total.
func (s *site) checkLocked(workspace string) {
	if s.passed {
		return
	}
	fail := func(format string, args ...any) {
		s.passed = true
		s.t.Errorf(workspace+": "+format, args...)
	}
	if s.consumed[workspace]+s.open[workspace] > s.limits[workspace] {
		fail("consumed %d, open %d, limit %d", s.consumed[workspace], s.open[workspace], s.limits[workspace])
	}
	rows, now := s.rows("prepaid", workspace)
	holders, _ := s.rows("prepaid_holders", "")
	closed, used := rows["total"].Granted, int64(0)
	for _, r := range s.made {
		row, open := rows["grant/"+r.vm+"/"+r.incarnation]
		if !open {
			used += r.used[workspace]
			continue
		}
		closed -= row.Granted
		most := row.Granted
		if h := holders[r.vm]; h.Incarnation == r.incarnation {
			most = row.Cleared + int64(math.Ceil(s.settings.UnlockedShare(now-time.Duration(h.StoreMs)*time.Millisecond)*float64(row.Granted-row.Cleared)))
		}
		if r.used[workspace] > most {
			fail("%s used %d, but a successor counts %d, granted %d, cleared %d", r.incarnation, r.used[workspace], most, row.Granted, row.Cleared)
		}
	}
	if used > closed {
		fail("closed grants used %d, the total has %d", used, closed)
	}
}

// ledgerRow is a row of the ledger, of any of its tables.
type ledgerRow struct {
	Granted, Cleared int64
	Incarnation      string
	StoreMs          int64 `json:"store_ms"`
}

// rows reads a part of a table, by the rows' names, and the store's clock.
func (s *site) rows(table, part string) (map[string]ledgerRow, time.Duration) {
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
