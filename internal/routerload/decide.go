package routerload

import (
	"math"
	"time"
)

// Capacity is what the VM of a router can do.
type Capacity struct {
	// LinkBytes is the bytes per second that the link carries in each direction, and
	// Cores the processing capacity in cores. Without one of them a router is never
	// overloaded.
	LinkBytes, Cores float64
	// MemoryBytes and FileDescriptors are the limits of the process; 0 if there is none.
	MemoryBytes, FileDescriptors float64
}

// known reports whether the capacity suffices for a decision.
func (c Capacity) known() bool { return c.LinkBytes > 0 && c.Cores > 0 }

// Sample is what a router has observed since the previous sample.
type Sample struct {
	// Interval is the time since the previous sample.
	Interval time.Duration
	// InFlight is the number of requests in flight at the end of the interval. Started
	// and Ended count those that began and ended in it.
	InFlight, Started, Ended int64
	// BytesIn and BytesOut were read from and written to callers and endpoints in Calls
	// reads and writes.
	BytesIn, BytesOut, Calls int64
	// ServedBytes are the bytes of the requests that ended and of their responses, and
	// ServedWrites the writes of these responses to callers.
	ServedBytes, ServedWrites int64
	// Late is how late the timer of the sample fired.
	Late time.Duration
}

// Resource is one of the resources of a VM that requests use up.
type Resource int

// The resources. The directions of the link are independent.
const (
	LinkIn Resource = iota
	LinkOut
	Processor
	resources
)

// String returns the name of the resource in log lines and metrics.
func (r Resource) String() string { return [...]string{"link_in", "link_out", "processor"}[r] }

// Level is the load of a router.
type Level int

// The levels.
const (
	Normal Level = iota
	Overloaded
)

// String returns the name of the level in log lines.
func (l Level) String() string { return [...]string{"normal", "overloaded"}[l] }

// Use is the state of one resource. Its unit is the work that the resource does in a second.
type Use struct {
	// Rate is the running mean of the work done per second, a share of the capacity.
	Rate float64
	// Done is the work of the requests that ended in the last demandMemory.
	Done float64
	// Backlog is the work of requests that have arrived beyond what the resource could do.
	Backlog float64
	// Pressure is the backlog that is to be expected after horizon.
	Pressure float64
}

// State is the state of the decision. The zero State is that of a router that starts.
type State struct {
	Level Level
	// Uses has the state of each resource.
	Uses [resources]Use
	// Arrivals is the running mean of the requests that begin per second.
	Arrivals float64
	// Requests is the number of requests to which Use.Done belongs.
	Requests float64
	// ProcessorScale is the factor by which requests take more processor time than was
	// assumed, from 1.
	ProcessorScale float64
	// Occupied is the share of the memory or of the file descriptors that the requests in
	// flight take, whichever is larger.
	Occupied float64
	// Late is the running mean of the lateness of the timer.
	Late time.Duration
	// InFlight is that of the last sample.
	InFlight int64
}

const (
	// horizon is how long callers keep coming after readiness is withdrawn: the load
	// balancer checks it once per second and needs two misses.
	horizon = 2.0
	// rateMemory and lateMemory are the time constants of the running means of rates and
	// of the lateness, and demandMemory that of the work per request, in seconds.
	rateMemory   = 1.0
	lateMemory   = 1.0
	demandMemory = 10.0
	// maxLate bounds the lateness and maxLateInterval the interval of one sample in the
	// running mean, so that a single stall of the VM is no overload.
	maxLate         = 200 * time.Millisecond
	maxLateInterval = 250 * time.Millisecond
)

// Estimates of the work of a request. Streams of 40 events, each of which is a read and a write,
// took 1.3 to 1.7 ms of processor time at a router on the development machine.
const (
	// assumedRequests is the number of requests, each of assumedBytes and with assumedWrites,
	// that are taken to have been served before the first.
	assumedRequests = 20
	assumedBytes    = 8 << 10
	assumedWrites   = 20
	// headBytes and headCalls are those of a request beyond bodies and events: what is sent
	// before them and its reads and writes.
	headBytes = 1 << 10
	headCalls = 6
	// requestSeconds and callSeconds are the processor times of a request and of a read or
	// write on a connection, on one core.
	requestSeconds = 300e-6
	callSeconds    = 15e-6
)

// The processor may be slower than assumed. That shows as a late timer while the estimated use
// is below 1 but not so low that something else must be the reason. starvedLateness is above the
// 50 ms of a quota that is shared out in periods of 100 ms.
const (
	starvedLateness   = 80 * time.Millisecond
	starvedMinUse     = 0.2
	maxProcessorScale = 8
	// scaleGrowth and scaleDecay are the shares by which the scale grows and returns to 1
	// per second.
	scaleGrowth = 0.3
	scaleDecay  = 1.0 / 120
)

// What a request in flight takes, wherever it waits, and the shares of the limits at which that
// is an overload. 64 KB are those of a usual request, its goroutines and the buffers of its
// connections.
const (
	requestMemory    = 64 << 10
	requestFiles     = 2
	maxOccupied      = 0.5
	occupiedRelieved = 0.35
)

// Next returns the state after a sample. It responds to work that arrives faster than the
// router's own link and processor can do it: a crowd of callers on a small VM. Requests in
// flight that wait for an endpoint use neither, so they cause no overload: the backlog is
// that of a queue to which each request adds the mean work of the requests served before, and
// which the resource works off.
func Next(settings Settings, c Capacity, s State, sample Sample) State {
	seconds := sample.Interval.Seconds()
	if seconds <= 0 || !c.known() {
		return s
	}
	s.InFlight = sample.InFlight
	assumed := c.served(assumedRequests, assumedRequests*assumedBytes, assumedRequests*assumedWrites)
	s.Arrivals += weight(seconds, rateMemory) * (float64(sample.Started)/seconds - s.Arrivals)
	if s.Requests == 0 {
		s.Requests = assumedRequests
		for r, work := range assumed {
			s.Uses[r].Done = work
		}
	}
	forget := math.Exp(-seconds / demandMemory)
	// Requests that are forgotten without others in their place give way to the assumed ones.
	refill := max(1-s.Requests*forget/assumedRequests, 0)
	s.Requests = s.Requests*forget + refill*assumedRequests + float64(sample.Ended)
	s.ProcessorScale = s.nextScale(seconds)
	s.Occupied = max(share(requestMemory*sample.InFlight, c.MemoryBytes), share(requestFiles*sample.InFlight, c.FileDescriptors))
	pressed, relieved := s.Occupied > maxOccupied, s.Occupied < occupiedRelieved
	served := c.served(sample.Ended, sample.ServedBytes, sample.ServedWrites)
	for r, work := range c.work(sample.BytesIn, sample.BytesOut, sample.Calls, sample.Ended) {
		u := &s.Uses[r]
		u.Done = u.Done*forget + refill*assumed[r] + served[r]
		demand := u.Done / s.Requests
		if Resource(r) == Processor {
			work, demand = work*s.ProcessorScale, demand*s.ProcessorScale
		}
		rate := work / seconds
		if Resource(r) != Processor {
			rate = min(rate, 1) // a body that is written at once is counted in one sample
		}
		u.Rate += weight(seconds, rateMemory) * (rate - u.Rate)
		u.Backlog = min(max(u.Backlog+demand*float64(sample.Started)-seconds, 0), demand*float64(sample.InFlight))
		u.Pressure = u.Backlog + horizon*(max(u.Rate, demand*s.Arrivals)-settings.TargetUse)
		pressed = pressed || u.Pressure > settings.EnterBacklog
		relieved = relieved && u.Pressure < settings.ExitBacklog
	}
	late := min(max(sample.Late, 0), maxLate)
	s.Late += time.Duration(weight(min(seconds, maxLateInterval.Seconds()), lateMemory) * float64(late-s.Late))
	switch {
	case s.Level == Normal && (pressed || s.Late > settings.EnterLateness):
		s.Level = Overloaded
	case s.Level == Overloaded && relieved && s.Late < settings.ExitLateness:
		s.Level = Normal
	}
	return s
}

// nextScale returns ProcessorScale after some seconds.
func (s State) nextScale(seconds float64) float64 {
	scale, use := max(s.ProcessorScale, 1), s.Uses[Processor].Rate
	if s.Late > starvedLateness && use > starvedMinUse && use < 1 {
		return min(scale*(1+scaleGrowth*seconds), maxProcessorScale)
	}
	return max(scale*(1-scaleDecay*seconds), 1)
}

// share returns n as a share of a limit, or 0 if there is none.
func share(n int64, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(n) / limit
}

// work returns the seconds that each resource needs for reads and writes of connections and
// for the requests that ended.
func (c Capacity) work(in, out, calls, ended int64) [resources]float64 {
	return [resources]float64{
		LinkIn:    float64(in) / c.LinkBytes,
		LinkOut:   float64(out) / c.LinkBytes,
		Processor: (callSeconds*float64(calls) + requestSeconds*float64(ended)) / c.Cores,
	}
}

// served returns the seconds that each resource has needed for requests that ended. The request and
// its response pass the link in both directions.
func (c Capacity) served(ended, bytes, writes int64) [resources]float64 {
	bytes += headBytes * ended
	return c.work(bytes, bytes, 2*writes+headCalls*ended, ended)
}

// weight is the weight of a sample of some seconds in a running mean with a time constant.
func weight(seconds, memory float64) float64 { return 1 - math.Exp(-seconds/memory) }
