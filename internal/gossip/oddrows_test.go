package gossip

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
)

// FuzzReadRow guards against rows of another writer that end the router, are kept beyond
// the bounds, or yield observations of the future.
func FuzzReadRow(f *testing.F) {
	own, other := bus.ID{VM: "vm-000", Incarnation: "1"}, bus.ID{VM: "vm-9", Incarnation: "1"}
	for _, origin := range []bus.ID{own, other, {}} {
		for _, ms := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64} {
			f.Add(Encode(row{WrittenMS: ms, Observations: []wireObservation{{Origin: origin, Number: math.MaxUint64, Topic: topic, Subject: "s", AgeMS: ms, Body: []byte{1}}}}))
		}
	}
	f.Add([]byte(nil))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})              // a list of 2^64-1 elements
	f.Add([]byte{0xa1, 0x02, 0x9a, 0x7f, 0xff, 0xff, 0xff})                          // observations without end
	f.Add(append([]byte{0xa1, 0x02}, []byte("\x81\x81\x81\x81\x81\x81\x81\x81")...)) // nested lists
	f.Add([]byte("not CBOR"))
	f.Fuzz(func(t *testing.T, value []byte) {
		fl := newFleet(t, 1)
		defer fl.close()
		r := fl.routers[own]
		if err := r.ReadRow(value); err != nil {
			return
		}
		assert.Assert(t, r.kept() <= maxKept)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for _, o := range r.received {
			assert.Assert(t, !o.At.After(time.Now()) && o.Origin != own && !o.Origin.IsZero() && len(o.Body) <= MaxBodyBytes, "%+v", o)
		}
	})
}
