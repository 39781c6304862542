package keyed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/internal/keyed"
)

// TestMapCreatesValueOncePerKey: a value is created at the first use of its key
// only, and removed by Delete.
func TestMapCreatesValueOncePerKey(t *testing.T) {
	var m keyed.Map[string, int]
	_, found := m.Get("a")
	assert.Assert(t, !found)
	assert.Equal(t, m.GetOrCreate("a", func() int { return 1 }), 1)
	assert.Equal(t, m.GetOrCreate("a", func() int { return 2 }), 1)
	assert.DeepEqual(t, m.All(), []int{1})
	m.Delete("a")
	assert.Equal(t, len(m.All()), 0)
}
