package endpointlimit

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// The bounds of the users' platform: in any second, a cold endpoint may get
// coldPerSecond * coldOvershoot + coldSlack requests.
const (
	coldPerSecond, coldOvershoot, coldSlack = 11.0, 1.5, 5.0
	coldRouters                             = 70
	maxViewAge                              = 3 * time.Second // of the platform's lists
	coldFor                                 = 20 * time.Second
	// coldDemand is the number of requests a second for which the routers would use the
	// endpoint, which is the least loaded.
	coldDemand = 600
)

// coldFleet is a fleet whose routers have views of different ages and send to one endpoint
// that has just started.
type coldFleet struct {
	random  *rand.Rand
	clock   *clock.Fake
	network *bus.Network
	ids     []bus.ID
	routers []*Limits
	ages    []time.Duration // of the views of the routers
	// governors are those by the list of routers, in the order in which the list changed.
	governors []listedGovernor
	cutOffAt  map[int]time.Time // the views of these routers do not change any more
	// alone makes each router that is cut off its own governor.
	alone bool

	startedAt time.Time   // of the endpoint
	received  []time.Time // by the endpoint
}

type listedGovernor struct {
	from time.Time
	id   bus.ID
}

func newColdFleet(seed uint64) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, 3)), clock: clock.NewFake(time.Unix(1000, 0)), network: bus.NewNetwork(), cutOffAt: make(map[int]time.Time)}
	for i := range coldRouters {
		f.ids = append(f.ids, bus.ID{VM: fmt.Sprintf("vm-%02d", i), Incarnation: "1"})
		f.ages = append(f.ages, time.Duration(f.random.Int64N(int64(maxViewAge))))
		f.routers = append(f.routers, f.newRouter(i))
	}
	f.govern(0, time.Hour)
	f.startedAt = f.clock.Now()
	return f
}

// govern makes a router the governor by the list, since the given time ago.
func (f *coldFleet) govern(i int, ago time.Duration) {
	f.governors = append(f.governors, listedGovernor{f.clock.Now().Add(-ago), f.ids[i]})
}

// cutOff cuts routers off from the store and from all others.
func (f *coldFleet) cutOff(from, to int) {
	for i := from; i < to; i++ {
		f.cutOffAt[i] = f.clock.Now()
		for j, id := range f.ids {
			f.network.SetPartitioned(f.ids[i], id, j < from || j >= to)
		}
	}
}

// view returns the time whose state of the store router i knows.
func (f *coldFleet) view(i int) time.Time {
	now := f.clock.Now()
	if at, cutOff := f.cutOffAt[i]; cutOff {
		now = at
	}
	return now.Add(-f.ages[i])
}

func (f *coldFleet) newRouter(i int) *Limits {
	return New(Options{
		Bus: f.network.Join(bus.Peer{ID: f.ids[i]}), Clock: f.clock, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		Cold: ColdOptions{
			Rate: func(string) (float64, bool, bool) {
				learnedAt := f.startedAt.Add(f.ages[i])
				return ColdRate(coldPerSecond, coldOvershoot, coldSlack), f.clock.Now().Sub(learnedAt) < coldFor, f.knows(i)
			},
			Governor: func(string) (bus.ID, bool) {
				if _, cutOff := f.cutOffAt[i]; cutOff && f.alone {
					return f.ids[i], true
				}
				var governor bus.ID
				for _, g := range f.governors {
					if !g.from.After(f.view(i)) {
						governor = g.id
					}
				}
				return governor, true
			},
		},
	})
}

// knows reports whether router i has read the row of the endpoint.
func (f *coldFleet) knows(i int) bool { return !f.view(i).Before(f.startedAt) }

// run lets requests arrive at all routers for a time. A request takes up to
// ColdPermitValidity to be sent.
func (f *coldFleet) run(t *testing.T, length time.Duration) {
	const step = 5 * time.Millisecond
	for range length / step {
		f.clock.Advance(step)
		for range int(coldDemand * step.Seconds()) {
			i := f.random.IntN(coldRouters)
			if f.knows(i) && f.routers[i].ColdClosed("i-1") == 0 && f.routers[i].Acquire(t.Context(), Start{Endpoint: "i-1", StartedMs: int64(i)}) {
				f.received = append(f.received, f.clock.Now().Add(time.Duration(f.random.Int64N(int64(ColdPermitValidity)))))
			}
		}
	}
}

// busiestSecond returns the most requests that the endpoint received in a second.
func (f *coldFleet) busiestSecond() int {
	most := 0
	for _, first := range f.received {
		n := 0
		for _, at := range f.received {
			if d := at.Sub(first); d >= 0 && d < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// coldLimit is what the endpoint may get in any second.
const coldLimit = coldPerSecond*coldOvershoot + coldSlack

// TestColdLimitHoldsForTheFleet guards against an endpoint that crashes after its start
// because 70 routers with views of 0 to 3 s of age together send it more than it tolerates,
// also while a third of them is cut off and the governor changes. Without a change it must
// get most of what it tolerates.
func TestColdLimitHoldsForTheFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *coldFleet)
		least  int // requests in 10 s after the change
	}{
		{"nothing", func(*coldFleet) {}, 60},
		{"a third is cut off", func(f *coldFleet) { f.cutOff(40, 64) }, 60},
		{"a third with the governor is cut off", func(f *coldFleet) { f.cutOff(0, 24) }, 0},
		{"another governor is listed", func(f *coldFleet) { f.govern(1, 0) }, 50},
		{"a third with the governor is cut off and another one is listed", func(f *coldFleet) {
			f.cutOff(0, 24)
			f.govern(30, 0)
		}, 50},
		{"a third is cut off while another governor is listed", func(f *coldFleet) {
			f.govern(30, 1500*time.Millisecond)
			f.cutOff(0, 24)
		}, 50},
		{"governor dies and another one is listed", func(f *coldFleet) {
			f.network.Remove(f.ids[0])
			f.govern(1, 0)
		}, 40},
		{"governor restarts", func(f *coldFleet) {
			f.network.Remove(f.ids[0])
			f.ids[0].Incarnation = "2"
			f.routers[0] = f.newRouter(0)
			f.govern(0, 0)
		}, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newColdFleet(seed)
				f.run(t, 4*time.Second)
				before := len(f.received)
				c.change(f)
				f.run(t, 10*time.Second)
				assert.Assert(t, float64(f.busiestSecond()) <= coldLimit, "seed %d: %d requests in a second", seed, f.busiestSecond())
				after := len(f.received) - before
				assert.Assert(t, after >= c.least, "seed %d: %d requests in 10 s", seed, after)
			}
		})
	}
}

// TestGovernorsOfRespondingRoutersExceedColdLimit shows that the load of
// TestColdLimitHoldsForTheFleet breaks a limit whose governor is chosen among the routers
// that respond.
func TestGovernorsOfRespondingRoutersExceedColdLimit(t *testing.T) {
	f := newColdFleet(1)
	f.alone = true
	f.cutOff(40, 64)
	f.clock.Advance(maxViewAge) // the routers that are cut off have read the row before
	for i := 40; i < 64; i++ {
		f.cutOffAt[i] = f.clock.Now()
	}
	f.run(t, 4*time.Second)
	assert.Assert(t, float64(f.busiestSecond()) > coldLimit)
}

// TestColdRate guards against rates with which two governors exceed the limit, and against
// one above what the endpoint tolerates.
func TestColdRate(t *testing.T) {
	for _, c := range []struct{ perSecond, overshoot, slack, most float64 }{
		{11, 1.5, 5, 9}, {11, 3, 50, 11}, {0.5, 1.5, 5, 0.5}, {1, 1, 0, 0}, {2, 1, 0, 0}, {1e9, 1.5, 5, 1e9}, {0, 1.5, 5, 0},
	} {
		rate := ColdRate(c.perSecond, c.overshoot, c.slack)
		assert.Assert(t, rate >= 0 && rate <= c.most, "%+v: %g", c, rate)
		two := 2 * (rate*(1+ColdPermitValidity.Seconds()) + 1)
		assert.Assert(t, rate == 0 || two <= c.perSecond*c.overshoot+c.slack+1e-6, "%+v: %g", c, rate)
	}
}

// TestColdEndpointIsNotAskedForByEveryRequest guards against one call for each request,
// after a denial and while a governor does not respond.
func TestColdEndpointIsNotAskedForByEveryRequest(t *testing.T) {
	f := newColdFleet(1)
	f.clock.Advance(maxViewAge)
	f.run(t, 10*time.Second)
	denied := uint64(0)
	for _, r := range f.routers {
		denied += r.cold.denied.Get()
	}
	assert.Assert(t, denied < coldRouters*10*3, "%d denials in 10 s", denied)
	f.cutOff(0, 1)
	asked := f.routers[5].cold.unanswered.Get()
	for range 100 {
		f.clock.Advance(10 * time.Millisecond)
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} { // the same governor
			if f.routers[5].ColdClosed(endpoint) == 0 {
				f.routers[5].acquireCold(t.Context(), endpoint)
			}
		}
	}
	assert.Assert(t, f.routers[5].cold.unanswered.Get()-asked <= 5)
}

// TestColdPermitRequestsThatAreInvalid guards against a peer that asks with a rate that is
// none, or a router that is not the governor, and gets permits.
func TestColdPermitRequestsThatAreInvalid(t *testing.T) {
	f := newColdFleet(1)
	f.clock.Advance(10 * time.Second)
	governor := f.routers[0]
	_, err := governor.handleColdPermit(t.Context(), f.ids[1], coldPermitRequest{Endpoint: "i-1", PerSecond: 5})
	assert.NilError(t, err)
	f.clock.Advance(time.Second)
	for _, r := range []coldPermitRequest{{"i-1", -1}, {"i-1", 0}, {"", 5}} {
		response, err := governor.handleColdPermit(t.Context(), f.ids[1], r)
		assert.Assert(t, err == nil && !response.Granted, "%+v", r)
	}
	_, err = f.routers[1].handleColdPermit(t.Context(), f.ids[2], coldPermitRequest{Endpoint: "i-1", PerSecond: 5})
	assert.ErrorIs(t, err, errNotGovernor)
	for range 20 {
		f.clock.Advance(retention / 10)
		governor.Prune()
	}
	assert.Equal(t, len(governor.cold.closed)+len(governor.cold.governor.buckets), 0)
}
