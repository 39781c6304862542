package gossip

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

const topic Topic = "test"

// fleet is a list of routers that exchange observations in memory.
type fleet struct {
	t       *testing.T
	network *bus.Network
	store   *memory.Store
	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup

	mu      sync.Mutex // guards all below
	members []bus.ID
	routers map[bus.ID]*router
}

// router is one of them with what it received.
type router struct {
	*Spreader
	id       bus.ID
	received []Observation
}

// Listed implements Members.
func (f *fleet) Listed() []bus.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, network: bus.NewNetwork(), store: memory.New(), routers: make(map[bus.ID]*router)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range n {
		f.join(fmt.Sprintf("vm-%03d", i))
	}
	return f
}

// close stops all routers.
func (f *fleet) close() {
	f.stop()
	f.running.Wait()
}

// join starts a router.
func (f *fleet) join(vm string) *router {
	r := &router{id: bus.ID{VM: vm, Incarnation: "1"}}
	r.Spreader = New(Options{
		Bus: f.network.Join(bus.Peer{ID: r.id}), Members: f, Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		Store: f.store, Row: rowstore.Key{Table: "fleet", Name: "observations/" + vm},
	})
	r.Subscribe(topic, time.Minute, func(o Observation) {
		f.mu.Lock()
		defer f.mu.Unlock()
		r.received = append(r.received, o)
	})
	f.mu.Lock()
	f.members = append(f.members, r.id)
	slices.SortFunc(f.members, func(a, b bus.ID) int { return cmp.Compare(a.VM, b.VM) })
	f.routers[r.id] = r
	f.mu.Unlock()
	f.running.Go(func() { r.Run(f.ctx) })
	return r
}

// subjects returns what a router received, in the order of receipt.
func (f *fleet) subjects(r *router) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	subjects := []string{}
	for _, o := range r.received {
		subjects = append(subjects, o.Subject)
	}
	return subjects
}

// TestObservationReachesEachRouterOnce guards against routers that do not learn what one
// of them has observed, or learn it twice, also while a third of the members is dead.
func TestObservationReachesEachRouterOnce(t *testing.T) {
	for _, n := range []int{2, 9, 195} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				defer f.close()
				dead := make(map[bus.ID]bool)
				for i := 1; i < n && n > 2; i += 3 {
					dead[f.members[i]] = true
					f.network.Remove(f.members[i])
				}
				f.routers[f.members[0]].Publish(topic, "s", []byte{1})
				time.Sleep(time.Second)
				for id, r := range f.routers {
					want := []string{"s"}
					if id == f.members[0] || dead[id] {
						want = []string{}
					}
					assert.DeepEqual(t, f.subjects(r), want)
				}
			})
		})
	}
}

// TestRouterThatJoinsLearnsWhatIsKept guards against a router that starts after an
// observation and never hears of it.
func TestRouterThatJoinsLearnsWhatIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.close()
		f.routers[f.members[2]].Publish(topic, "s", nil)
		time.Sleep(10 * time.Second)
		late := f.join("vm-late")
		time.Sleep(time.Second)
		assert.DeepEqual(t, f.subjects(late), []string{"s"})
		f.mu.Lock()
		age := time.Since(late.received[0].At)
		f.mu.Unlock()
		assert.Assert(t, age > 9*time.Second && age < 12*time.Second, "age %s", age)
	})
}

// TestUnreachableRouterLearnsFromStore guards against a router that is cut off from its
// peers but not from the store and never learns what they observe.
func TestUnreachableRouterLearnsFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.close()
		cut := f.routers[f.members[4]]
		for _, id := range f.members[:4] {
			f.network.SetPartitioned(id, cut.id, true)
		}
		f.routers[f.members[0]].Publish(topic, "a", nil)
		cut.Publish(topic, "b", nil)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, f.subjects(cut), []string{})
		snap, err := f.store.Read(context.Background(), "fleet", "")
		assert.NilError(t, err)
		for _, row := range snap.Rows {
			for _, r := range f.routers {
				assert.NilError(t, r.ReadRow(row.Value))
			}
		}
		assert.DeepEqual(t, f.subjects(cut), []string{"a"})
		for _, id := range f.members[1:4] {
			subjects := f.subjects(f.routers[id])
			slices.Sort(subjects)
			assert.DeepEqual(t, subjects, []string{"a", "b"})
		}
	})
}

// TestStoredOnceStoreIsBack guards against observations that were to be stored while the
// store was unavailable and never are.
func TestStoredOnceStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		f.store.SetFaults(memory.Faults{Outage: true})
		r := f.routers[f.members[0]]
		r.Publish(topic, "s", nil)
		r.Persist()
		time.Sleep(10 * time.Second)
		f.store.SetFaults(memory.Faults{})
		time.Sleep(3 * time.Second)
		snap, err := f.store.Read(context.Background(), "fleet", "")
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Rows), 1)
		assert.Equal(t, r.stats.written.Get(), uint64(1))
	})
}

// TestNothingIsSentWithoutObservations guards against messages between routers that have
// nothing to tell, and against observations that outlive their retention.
func TestNothingIsSentWithoutObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(time.Minute)
		sent := func() (n uint64) {
			for _, r := range f.routers {
				n += r.stats.sent.Get() + r.stats.failed.Get()
			}
			return n
		}
		assert.Equal(t, sent(), uint64(0))
		f.routers[f.members[0]].Publish(topic, "s", nil)
		time.Sleep(2 * time.Minute)
		after := sent()
		assert.Assert(t, after > 0 && after <= 9*4, "%d messages for one observation", after)
		for _, r := range f.routers {
			assert.Equal(t, r.kept(), 0)
		}
		late := f.join("vm-late")
		time.Sleep(time.Minute)
		assert.DeepEqual(t, f.subjects(late), []string{})
	})
}

// TestPeerCannotFillMemory guards against a peer that sends without bound, sends what
// cannot be, or speaks for this router.
func TestPeerCannotFillMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.close()
		r := f.routers[f.members[0]]
		lying := bus.ID{VM: "vm-lying", Incarnation: "1"}
		var flood []wireObservation
		for i := range 3 * maxPerOrigin {
			flood = append(flood, wireObservation{Origin: lying, Number: uint64(i + 1), Topic: topic, Subject: fmt.Sprint(i)})
		}
		r.receive(lying, flood, 0)
		assert.Equal(t, r.kept(), maxPerOrigin)
		received := len(f.subjects(r))
		r.receive(lying, []wireObservation{
			{Origin: r.id, Number: 1, Topic: topic, Subject: "as this router"},
			{Number: 1, Topic: topic, Subject: "without an origin"},
			{Origin: lying, Number: 1 << 40, Topic: "other", Subject: "unknown topic"},
			{Origin: lying, Number: 1 << 40, Topic: topic, Subject: "too old", AgeMS: time.Hour.Milliseconds()},
			{Origin: lying, Number: 1 << 40, Topic: topic, Subject: "older than time", AgeMS: 1 << 62},
			{Origin: lying, Number: 1 << 40, Topic: topic, Subject: "too large", Body: make([]byte, MaxBodyBytes+1)},
		}, 0)
		assert.Equal(t, len(f.subjects(r)), received)
		assert.ErrorContains(t, r.ReadRow([]byte{0xff, 0}), "decode row")
	})
}
