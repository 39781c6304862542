package peer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionOutlivesChangeOfSecret guards against routers that lose each other while
// they take over another secret one after the other.
func TestConnectionOutlivesChangeOfSecret(t *testing.T) {
	dir := newFakeDirectory()
	one, two := startLink(t, "one", testSettings(), dir), startLink(t, "two", testSettings(), dir)
	exchange := func() {
		t.Helper()
		for _, way := range []struct{ from, to *Link }{{one, two}, {two, one}} {
			_, err := way.from.Request(t.Context(), way.to.Self().ID, "echo", nil)
			assert.NilError(t, err)
		}
	}
	exchange()
	one.SetSecret("another secret of the fleet")
	exchange()
	two.SetSecret("another secret of the fleet")
	exchange()
	three := startLink(t, "three", testSettings(), dir)
	three.SetSecret("another secret of the fleet")
	_, err := three.Request(t.Context(), one.Self().ID, "echo", nil)
	assert.NilError(t, err)
}
