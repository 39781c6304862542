package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReportsOfRequestsLostSeldomAreNotStored guards against rows that all routers read and that
// grow with each request in flight at an endpoint that ends.
func TestReportsOfRequestsLostSeldomAreNotStored(t *testing.T) {
	r := newRouter()
	again := FingerprintOf("h", "GET", "/again", "", nil)
	lose := func(endpoint string, f Fingerprint) {
		r.RecordCrash("id", Report{Pool: "pool", Endpoint: endpoint, Fingerprint: f}, r.clock.Now())
	}
	lose("i-1", again)
	for i := range 100 {
		lose("i-1", FingerprintOf("h", "GET", fmt.Sprint("/", i), "", nil))
	}
	stored := func() (n int) {
		for _, s := range r.subjects {
			if r.Stores(s) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, stored(), 0)
	lose("i-2", again)
	assert.Equal(t, stored(), 0)
	lose("i-3", again)
	assert.Equal(t, stored(), 3, "all ends of the request")
	assert.Assert(t, r.Stores("9c41d07be2a35f68 at i-1/7"), "a report of segments")
	for _, odd := range []string{"", "request:", "request:zz at i-1", "request:" + strings.Repeat("a", 400) + " at i-1/7"} {
		assert.Assert(t, r.Stores(odd), odd)
	}
}
