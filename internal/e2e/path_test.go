package e2e

import (
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRequestsAreServedAndBilled serves a request at each of two routers and checks
// that the budget has settled the tokens of both.
func TestRequestsAreServedAndBilled(t *testing.T) {
	f := startFleet(t, 2, 2, 100_000)
	var usedTokens int64
	for _, r := range f.routers {
		chunk, response := f.chat(r, "Summarise bin 4.", 20)
		assert.Equal(t, response.status, http.StatusOK, string(response.body))
		assert.Assert(t, chunk.Choices[0].Message.Content != "")
		usedTokens += chunk.Usage.TotalTokens
	}
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Settled, usedTokens)
	assert.Equal(t, b.Paid, b.Unspent+b.Held+b.Settled+b.InDoubt)
}

// TestDrainReturnsGrants stops a router with SIGTERM. It must exit with code 0 and
// return the unspent tokens of its grant.
func TestDrainReturnsGrants(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	chunk, response := f.chat(f.routers[1], "Short question.", 5)
	assert.Equal(t, response.status, http.StatusOK, string(response.body))
	f.routers[1].signal(syscall.SIGTERM)
	assert.Equal(t, f.routers[1].wait(), 0)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Held, int64(0))
	assert.Equal(t, b.Settled, chunk.Usage.TotalTokens)
	assert.Equal(t, b.Unspent, b.Paid-b.Settled)
}

// TestCallWithSameKeyExecutesOnce sends the same fan command under the same
// idempotency key to two routers. The second must replay the first response.
func TestCallWithSameKeyExecutesOnce(t *testing.T) {
	f := startFleet(t, 2, 1, 1000)
	first := f.post(f.routers[0], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	second := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, first.status, http.StatusOK, string(first.body))
	assert.Equal(t, second.status, http.StatusOK, string(second.body))
	assert.Equal(t, string(first.body), string(second.body))
	assert.Equal(t, second.header.Get("Daisyslip-Replayed"), "true")
}
