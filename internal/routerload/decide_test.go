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

// simulation is a router at which requests of a size arrive at a rate. Endpoints respond with
// events of 400 bytes for some time, and the link carries the bytes in the order in which they are
// due.
type simulation struct {
	capacity          Capacity
	request, response int64
	service           time.Duration
	state             State
	owed              float64 // fraction of a request that is to begin
	due, ends         []int64 // bytes and ends of responses that are due, by sample
	queued, inFlight  int64   // bytes that wait for the link, and requests
	changes           int     // of the level
}

// newChat returns the load of the trial: requests of 9 KB, streams of 40 events in a second.
func newChat(c Capacity) *simulation {
	return &simulation{capacity: c, request: 9 << 10, response: 16 << 10, service: time.Second}
}

// play lets requests arrive for some time. It returns the requests in flight when the router
// became overloaded first, or 0 if it did not.
func (s *simulation) play(perSecond float64, lasts time.Duration) (overloadedAt int64) {
	samples := int(s.service / sampleInterval)
	for ; lasts > 0; lasts -= sampleInterval {
		s.owed += perSecond * sampleInterval.Seconds()
		started := int64(s.owed)
		s.owed -= float64(started)
		for len(s.due) <= samples {
			s.due, s.ends = append(s.due, 0), append(s.ends, 0)
		}
		s.due[0] += started * s.request
		for i := 1; i <= samples; i++ {
			s.due[i] += started * s.response / int64(samples)
		}
		s.ends[samples] += started
		s.queued += s.due[0]
		carried := min(s.queued, int64(s.capacity.LinkBytes*sampleInterval.Seconds()))
		s.queued -= carried
		ended := int64(0)
		if s.queued == 0 {
			ended = s.ends[0]
		} else {
			s.ends[1] += s.ends[0]
		}
		s.due, s.ends = s.due[1:], s.ends[1:]
		s.inFlight += started - ended
		before := s.state.Level
		s.state = Next(DefaultSettings(), s.capacity, s.state, Sample{
			Interval: sampleInterval, InFlight: s.inFlight, Started: started, Ended: ended,
			BytesIn: carried, BytesOut: carried, Calls: 2*carried/400 + 4*started,
			ServedBytes: ended * (s.request + s.response), ServedWrites: ended * s.response / 400,
		})
		if s.state.Level != before {
			s.changes++
		}
		if s.state.Level == Overloaded && overloadedAt == 0 {
			overloadedAt = s.inFlight
		}
	}
	return overloadedAt
}

// TestCrowdOverloadsSmallVMBeforeItsQueueIsLong guards against a withdrawal that comes once
// several hundred requests are in flight, against a level that outlasts the crowd, and against an
// overload of a VM that can serve the crowd.
func TestCrowdOverloadsSmallVMBeforeItsQueueIsLong(t *testing.T) {
	s := newChat(smallVM)
	assert.Equal(t, s.play(12, 10*time.Second), int64(0))
	at := s.play(200, time.Second)
	assert.Assert(t, at > 0 && at < 60, "%d in flight, %+v", at, s.state)
	s.play(5, 15*time.Second)
	assert.Equal(t, s.state.Level, Normal, "%+v", s.state)
	s = newChat(largeVM)
	s.play(12, 5*time.Second)
	assert.Equal(t, s.play(200, 30*time.Second), int64(0), "%+v", s.state)
}

// TestSlowEndpointsAreNoOverload guards against a withdrawal because requests pile up at slow
// endpoints or in long streams while the link is idle, as with a fixed bound of 40.
func TestSlowEndpointsAreNoOverload(t *testing.T) {
	for _, service := range []time.Duration{10 * time.Second, 30 * time.Second} {
		s := newChat(smallVM)
		s.play(12, 5*time.Second)
		s.service = service
		assert.Equal(t, s.play(12, time.Minute), int64(0), "%+v", s.state)
		assert.Assert(t, s.inFlight > 100)
	}
}

// TestLevelFollowsSizeOfRequests guards against a bound that is a number of requests: many small
// ones are no overload, few large ones are.
func TestLevelFollowsSizeOfRequests(t *testing.T) {
	s := &simulation{capacity: smallVM, request: 500, response: 1000, service: time.Second}
	assert.Equal(t, s.play(100, 20*time.Second), int64(0), "%+v", s.state)
	s = &simulation{capacity: smallVM, request: 2 << 20, response: 1000, service: time.Second}
	at := s.play(2, 5*time.Second)
	assert.Assert(t, at > 0 && at < 15, "%d in flight, %+v", at, s.state)
}

// TestLoadAtThresholdDoesNotFlap guards against a level that changes with every burst.
func TestLoadAtThresholdDoesNotFlap(t *testing.T) {
	s := newChat(smallVM)
	for range 30 {
		s.play(38, 700*time.Millisecond)
		s.play(60, 300*time.Millisecond)
	}
	assert.Assert(t, s.changes <= 2, "%d changes, %+v", s.changes, s.state)
}

// TestStarvedProcessorIsOverload guards against a router that reports ready while its goroutines
// wait for the processor, against an estimate of the processor time that stays too low, and
// against a withdrawal because of one stall or of a quota shared out in periods of 100 ms.
func TestStarvedProcessorIsOverload(t *testing.T) {
	late := func(late time.Duration) Sample { return Sample{Interval: sampleInterval + late, Late: late} }
	var quota, starved, busy State
	for i := range 200 {
		quota = Next(DefaultSettings(), smallVM, quota, late(time.Duration(i%2)*80*time.Millisecond))
		starved = Next(DefaultSettings(), smallVM, starved, late(150*time.Millisecond))
		sample := late(90 * time.Millisecond)
		sample.InFlight, sample.Started, sample.Ended, sample.Calls, sample.ServedWrites = 20, 3, 3, 450, 200
		busy = Next(DefaultSettings(), smallVM, busy, sample)
	}
	stalled := Next(DefaultSettings(), smallVM, State{}, late(3*time.Second))
	assert.Equal(t, quota.Level, Normal, "%+v", quota)
	assert.Equal(t, starved.Level, Overloaded, "%+v", starved)
	assert.Equal(t, stalled.Level, Normal, "%+v", stalled)
	assert.Assert(t, busy.ProcessorScale > 2, "%+v", busy)
}

// TestRequestsInFlightAreBoundByMemory guards against requests that wait for endpoints until the
// process runs out of memory or of file descriptors, and against a decision without a known link.
func TestRequestsInFlightAreBoundByMemory(t *testing.T) {
	for _, c := range []Capacity{{LinkBytes: 1e9, Cores: 8, MemoryBytes: 144 << 20}, {LinkBytes: 1e9, Cores: 8, FileDescriptors: 4100}} {
		s := Next(DefaultSettings(), c, State{}, Sample{Interval: sampleInterval, InFlight: 600})
		assert.Equal(t, s.Level, Normal, "%+v", s)
		s = Next(DefaultSettings(), c, s, Sample{Interval: sampleInterval, InFlight: 1400})
		assert.Equal(t, s.Level, Overloaded, "%+v", s)
		c.LinkBytes = 0
		assert.Equal(t, Next(DefaultSettings(), c, State{}, Sample{Interval: sampleInterval, InFlight: 9999}).Level, Normal)
	}
}

// TestBodyWrittenAtOnceIsNoOverload guards against a body that is written in one call, and so
// counted in one sample, and shows as many times what the link can carry.
func TestBodyWrittenAtOnceIsNoOverload(t *testing.T) {
	s := newChat(smallVM)
	s.play(12, 5*time.Second)
	for _, sample := range []Sample{{InFlight: 1, BytesOut: 4 << 20, Calls: 1}, {InFlight: 1, BytesIn: 4 << 20, Calls: 1}} {
		sample.Interval = sampleInterval
		next := Next(DefaultSettings(), smallVM, s.state, sample)
		assert.Equal(t, next.Level, Normal, "%+v", next)
	}
}

// TestLargeRequestsOfThePastAreForgotten guards against an overload by small requests because the
// last ones, a minute ago, were large.
func TestLargeRequestsOfThePastAreForgotten(t *testing.T) {
	s := newChat(smallVM)
	s.request = 4 << 20
	s.play(0.2, 30*time.Second)
	s.play(0, time.Minute)
	assert.Equal(t, s.state.Level, Normal, "%+v", s.state)
	s.request = 9 << 10
	assert.Equal(t, s.play(12, 10*time.Second), int64(0), "%+v", s.state)
}
