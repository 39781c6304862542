package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperatorLiftsQuarantine guards against a quarantine that operators can neither see
// nor end, at this router and at others.
func TestOperatorLiftsQuarantine(t *testing.T) {
	r, other := newRouter(), newRouter()
	for _, at := range []*router{r, other} {
		for i := range 3 {
			at.lose(fmt.Sprint("i-", i), "bad")
		}
		for i := range 3 {
			at.crash(fmt.Sprint("j-", i), "first", "bad")
		}
	}
	assert.Assert(t, r.refusesBody("bad") && r.refuses("first", "bad"))
	list := r.List()
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Kind, KindSegments)
	assert.Equal(t, list[0].Subject, "pool/bad+first")
	assert.Equal(t, list[1].Kind, KindRequest)
	assert.Equal(t, list[1].Subject, "request:"+fingerprintOf("bad").String())
	for _, e := range list {
		assert.Equal(t, len(e.Ends), 3)
		assert.Equal(t, e.Refused, int64(1))
		assert.Equal(t, e.HeldUntil, e.Ends[2].At.Add(DefaultSettings().Hold))
		assert.Assert(t, r.Lift(e.Subject))
		assert.Assert(t, !r.Lift(e.Subject))
	}
	for _, c := range r.clearances {
		other.ReceiveClearance(c, r.clock.Now())
	}
	for _, at := range []*router{r, other} {
		assert.Assert(t, !at.refusesBody("bad") && !at.refuses("first", "bad"))
		assert.Equal(t, len(at.List()), 0)
	}
	r.lose("i-4", "bad")
	r.lose("i-5", "bad")
	assert.Assert(t, !r.refusesBody("bad"))
	r.lose("i-6", "bad")
	assert.Assert(t, r.refusesBody("bad"))
}
