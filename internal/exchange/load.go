package exchange

const (
	// maxRequests bounds each number of requests in a load.
	maxRequests = 1 << 20
	// maxRunningPerSlot bounds the running requests in a load with slowness. Batches
	// of an engine do not exceed its slots; the margin allows for changes of slots.
	maxRunningPerSlot = 4
	// minSlowness and maxSlowness bound the slowness, in percent of usual.
	minSlowness = 1
	maxSlowness = 100_000
)

// Valid reports whether an endpoint can have the load. Without slowness, any number of
// requests may run.
func (l Load) Valid() bool {
	for _, n := range []int{l.Running, l.Waiting, l.Slots} {
		if n < 0 || n > maxRequests {
			return false
		}
	}
	return l.Slowness == 0 || l.Slowness >= minSlowness && l.Slowness <= maxSlowness && l.Running <= maxRunningPerSlot*l.Slots
}
