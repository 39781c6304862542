package routerload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallVM and largeVM are a VM of 0.19 cores and 10 Mbit/s and one of 0.8 cores and 100 Mbit/s.
var (
	smallVM = Capacity{LinkBytes: 10e6 / 8, Cores: 0.19, MemoryBytes: 144 << 20, FileDescriptors: 4100}
	largeVM = Capacity{LinkBytes: 100e6 / 8, Cores: 0.8, MemoryBytes: 536 << 20, FileDescriptors: 4100}
)

// traffic is a load in the simulation of a router: requests of a size with responses of a size
// that come in events of 400 bytes, at a rate per second.
type traffic struct {
	perSecond         float64
	request, response int64
	// service is how long endpoints take for a response.
	service time.Duration
}

// chat is the load of the trial: requests of 9 KB, streams of 40 events in a second.
func chat(perSecond float64) traffic {
	return traffic{perSecond: perSecond, request: 9 << 10, response: 16 << 10, service: time.Second}
}

// simulation is a router with a link that carries the bytes in the order in which they are due.
type simulation struct {
	capacity Capacity
	state    State
	now      time.Duration
	owed     float64 // fraction of a request that is to begin
	due      []int64 // bytes that are to be carried in the coming samples, by sample
	ends     []int64 // responses that end in the coming samples
	queued   int64   // bytes that are due and wait for the link
	waiting  int64   // requests whose last bytes are queued
	inFlight int64
	changes  int // of the level
}

// play lets a load last for some time and returns when the router became overloaded first, since
// its begin, and false if it did not.
func (s *simulation) play(t traffic, lasts time.Duration) (time.Duration, bool) {
	begin, at, found := s.now, time.Duration(0), false
	served := max(int(t.service/sampleInterval), 1)
	for s.now < begin+lasts {
		s.owed += t.perSecond * sampleInterval.Seconds()
		started := int64(s.owed)
		s.owed -= float64(started)
		for len(s.due) <= served {
			s.due, s.ends = append(s.due, 0), append(s.ends, 0)
		}
		s.due[0] += started * t.request
		for i := 1; i <= served; i++ {
			s.due[i] += started * t.response / int64(served)
		}
		s.ends[served] += started
		s.inFlight += started
		s.queued += s.due[0]
		s.waiting += s.ends[0]
		s.due, s.ends = s.due[1:], s.ends[1:]
		carried := min(s.queued, int64(s.capacity.LinkBytes*sampleInterval.Seconds()))
		s.queued -= carried
		ended := s.waiting
		if s.queued > 0 {
			ended = min(ended, carried/(t.request+t.response))
		}
		s.waiting -= ended
		s.inFlight -= ended
		before := s.state.Level
		s.state = Next(DefaultSettings(), s.capacity, s.state, Sample{
			Interval: sampleInterval, InFlight: s.inFlight, Started: started, Ended: ended,
			BytesIn: carried, BytesOut: carried, Calls: 2*carried/400 + 4*started,
			ServedBytes: ended * (t.request + t.response), ServedWrites: ended * t.response / 400,
		})
		s.now += sampleInterval
		if s.state.Level != before {
			s.changes++
		}
		if s.state.Level == Overloaded && !found {
			at, found = s.now-begin, true
		}
	}
	return at, found
}

// TestCrowdOverloadsSmallVMBeforeItsQueueIsLong guards against a withdrawal that comes once
// several hundred requests are in flight, and against a level that outlasts the crowd.
func TestCrowdOverloadsSmallVMBeforeItsQueueIsLong(t *testing.T) {
	s := simulation{capacity: smallVM}
	_, overloaded := s.play(chat(12), 10*time.Second)
	assert.Assert(t, !overloaded, "%+v", s.state)
	at, overloaded := s.play(chat(200), time.Second)
	assert.Assert(t, overloaded && 12+200*at.Seconds() < 60, "after %s, %+v", at, s.state)
	s.play(chat(5), 15*time.Second)
	assert.Equal(t, s.state.Level, Normal, "%+v", s.state)
}

// TestSlowEndpointsAreNoOverload guards against a withdrawal because requests pile up at slow
// endpoints or in long streams while the link is idle, as with a fixed bound of 40.
func TestSlowEndpointsAreNoOverload(t *testing.T) {
	for _, service := range []time.Duration{10 * time.Second, 30 * time.Second} {
		slow := chat(12)
		slow.service = service
		s := simulation{capacity: smallVM}
		s.play(chat(12), 5*time.Second)
		_, overloaded := s.play(slow, 60*time.Second)
		assert.Assert(t, !overloaded && s.inFlight > 100, "%+v", s.state)
	}
}

// TestLevelFollowsSizeOfRequests guards against a bound that is a number of requests: many small
// ones are no overload, few large ones are.
func TestLevelFollowsSizeOfRequests(t *testing.T) {
	s := simulation{capacity: smallVM}
	_, overloaded := s.play(traffic{perSecond: 100, request: 500, response: 1000, service: time.Second}, 20*time.Second)
	assert.Assert(t, !overloaded, "%+v", s.state)
	s = simulation{capacity: smallVM}
	_, overloaded = s.play(traffic{perSecond: 2, request: 2 << 20, response: 1000, service: time.Second}, 5*time.Second)
	assert.Assert(t, overloaded, "%+v", s.state)
}

// TestLargeVMTakesCrowd guards against a withdrawal of a router that can serve the crowd.
func TestLargeVMTakesCrowd(t *testing.T) {
	s := simulation{capacity: largeVM}
	s.play(chat(12), 5*time.Second)
	_, overloaded := s.play(chat(200), 30*time.Second)
	assert.Assert(t, !overloaded, "%+v", s.state)
}

// TestLoadAtThresholdDoesNotFlap guards against a level that changes with every burst.
func TestLoadAtThresholdDoesNotFlap(t *testing.T) {
	s := simulation{capacity: smallVM}
	for range 30 {
		s.play(chat(38), 700*time.Millisecond)
		s.play(chat(55), 300*time.Millisecond)
	}
	assert.Assert(t, s.changes <= 2, "%d changes, %+v", s.changes, s.state)
}

// TestStarvedProcessorIsOverload guards against a router that reports ready while its goroutines
// wait for the processor, and against a withdrawal because of a single stall or of a quota that
// is shared out in periods of 100 ms.
func TestStarvedProcessorIsOverload(t *testing.T) {
	idle, starved, stalled := State{}, State{}, State{}
	for i := range 100 {
		quota := time.Duration(i%2) * 80 * time.Millisecond
		idle = Next(DefaultSettings(), smallVM, idle, Sample{Interval: sampleInterval + quota, Late: quota})
		starved = Next(DefaultSettings(), smallVM, starved, Sample{Interval: sampleInterval + 150*time.Millisecond, Late: 150 * time.Millisecond})
	}
	stalled = Next(DefaultSettings(), smallVM, stalled, Sample{Interval: 3 * time.Second, Late: 3*time.Second - sampleInterval})
	assert.Equal(t, idle.Level, Normal, "%+v", idle)
	assert.Equal(t, starved.Level, Overloaded, "%+v", starved)
	assert.Equal(t, stalled.Level, Normal, "%+v", stalled)
}

// TestLateTimerRaisesProcessorDemand guards against an estimate of the processor time that stays
// too low on a slow VM, so that each crowd is noticed only once the timer is late.
func TestLateTimerRaisesProcessorDemand(t *testing.T) {
	s := State{}
	sample := Sample{Interval: 2 * sampleInterval, InFlight: 20, Started: 3, Ended: 3, BytesIn: 3000, BytesOut: 3000, Calls: 250, ServedBytes: 3000, ServedWrites: 120, Late: sampleInterval + 20*time.Millisecond}
	for range 300 {
		s = Next(DefaultSettings(), smallVM, s, sample)
	}
	assert.Assert(t, s.ProcessorScale > 2, "%+v", s)
}

// TestRequestsInFlightAreBoundByMemory guards against requests that wait for endpoints until
// the process runs out of memory or of file descriptors.
func TestRequestsInFlightAreBoundByMemory(t *testing.T) {
	for _, c := range []Capacity{
		{LinkBytes: 1e9, Cores: 8, MemoryBytes: 144 << 20}, {LinkBytes: 1e9, Cores: 8, FileDescriptors: 4100},
	} {
		s := Next(DefaultSettings(), c, State{}, Sample{Interval: sampleInterval, InFlight: 600})
		assert.Equal(t, s.Level, Normal, "%+v", s)
		s = Next(DefaultSettings(), c, s, Sample{Interval: sampleInterval, InFlight: 1400})
		assert.Equal(t, s.Level, Overloaded, "%+v", s)
	}
}

// TestUnknownCapacityIsNeverOverloaded guards against decisions on platforms that do not state
// the link or the processor.
func TestUnknownCapacityIsNeverOverloaded(t *testing.T) {
	for _, c := range []Capacity{{}, {LinkBytes: 1}, {Cores: 1}} {
		s := Next(DefaultSettings(), c, State{}, Sample{Interval: sampleInterval, InFlight: 9999, Started: 9999, BytesIn: 1 << 40})
		assert.Equal(t, s.Level, Normal)
	}
}
