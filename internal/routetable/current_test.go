package routetable

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRevisionNeverDecreases guards against a table that goes back, and against one that
// is kept although the store holds other content of its revision.
func TestRevisionNeverDecreases(t *testing.T) {
	var current Current
	for _, step := range []struct {
		revision int64
		digest   uint64
		applied  bool
	}{
		{3, 1, true},
		{3, 1, false},
		{2, 2, false},
		{3, 2, true},
		{3, 1, true}, // all routers follow the store, also those that started later
		{4, 1, true},
		{3, 2, false},
	} {
		assert.Equal(t, current.Apply(&Table{Revision: step.revision, Digest: step.digest}), step.applied, "%+v", step)
	}
}
