package connlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const grace = 100 * time.Millisecond

// old returns a view of a connection in phase p that may be closed if its phase allows that.
func old(p phase, change func(*view)) view {
	v := view{phase: p, phaseAge: time.Second, age: time.Second, stall: time.Second, served: true}
	if change != nil {
		change(&v)
	}
	return v
}

// TestChooseTakesIncompleteRequestsFirst guards against ordinary connections that are closed while clients with
// incomplete requests keep theirs.
func TestChooseTakesIncompleteRequestsFirst(t *testing.T) {
	views := []view{
		old(head, func(v *view) { v.headBytes = 60_000 }),
		old(head, func(v *view) { v.headBytes, v.age = 10, time.Millisecond*200 }),
		old(head, func(v *view) { v.headBytes = 10 }),
		old(body, func(v *view) { v.stall = stalledAfter }),
		old(idle, func(v *view) { v.served = false }),
		old(idle, func(v *view) { v.age = 200 * time.Millisecond }),
		old(idle, nil),
		old(body, nil),
		old(serving, nil),
	}
	const closable = 7
	for first := range closable {
		index, wait := choose(views[first:], grace)
		assert.Equal(t, index, 0, "without the first %d", first)
		assert.Equal(t, wait, time.Duration(0))
	}
	index, wait := choose(views[closable:], grace)
	assert.Equal(t, index, -1)
	assert.Equal(t, wait, time.Duration(0))
}

// TestChooseWaitsForNewConnections guards against connections that are closed before their first bytes can be read.
func TestChooseWaitsForNewConnections(t *testing.T) {
	young := old(head, func(v *view) { v.phaseAge = 70 * time.Millisecond })
	younger := old(idle, func(v *view) { v.phaseAge = 10 * time.Millisecond })
	index, wait := choose([]view{younger, young}, grace)
	assert.Equal(t, index, -1)
	assert.Equal(t, wait, 30*time.Millisecond)
	index, _ = choose([]view{young, younger, old(idle, nil)}, grace)
	assert.Equal(t, index, 2)
}

// TestChooseSparesServedRequests guards against a request that is closed after it was passed on, for any set of
// connections.
func TestChooseSparesServedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Map(rapid.IntRange(0, 5000), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
		views := rapid.SliceOf(rapid.Custom(func(t *rapid.T) view {
			return view{
				phase: rapid.SampledFrom([]phase{idle, head, body, serving}).Draw(t, "phase"), served: rapid.Bool().Draw(t, "served"),
				phaseAge: duration.Draw(t, "phase age"), age: duration.Draw(t, "age"), stall: duration.Draw(t, "stall"), headBytes: rapid.IntRange(0, 70_000).Draw(t, "head"),
			}
		})).Draw(t, "views")
		index, wait := choose(views, grace)
		assert.Assert(t, wait >= 0 && wait <= grace)
		if index >= 0 {
			v := views[index]
			assert.Assert(t, v.phase != serving && v.phaseAge >= grace && (v.phase != body || v.stall >= stalledAfter))
		}
	})
}
