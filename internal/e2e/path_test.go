package e2e

import (
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWholePath serves a request at each of several processes, and checks
// that the platform's budget paid for them.
func TestWholePath(t *testing.T) {
	f := startFleet(t, 2, 2, 100_000)
	var used int64
	for _, r := range f.routers {
		chunk, answer := f.chat(r, "Summarise bin 4.", 20)
		assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
		assert.Assert(t, chunk.Choices[0].Message.Content != "")
		used += chunk.Usage.TotalTokens
	}
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Settled, used)
	assert.Equal(t, b.Paid, b.Unspent+b.Held+b.Settled+b.InDoubt)
}

// TestDrainReturnsGrants stops a router with SIGTERM: it exits with 0 and its
// unspent tokens go back.
func TestDrainReturnsGrants(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	chunk, answer := f.chat(f.routers[1], "Short question.", 5)
	assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
	f.routers[1].signal(syscall.SIGTERM)
	assert.Equal(t, f.routers[1].wait(), 0)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Held, int64(0))
	assert.Equal(t, b.Settled, chunk.Usage.TotalTokens)
	assert.Equal(t, b.Unspent, b.Paid-b.Settled)
}

// TestFanCallRunsOnce sends one fan command to two routers with one key.
func TestFanCallRunsOnce(t *testing.T) {
	f := startFleet(t, 2, 1, 1000)
	first := f.post(f.routers[0], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	second := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, first.status, http.StatusOK, string(first.body))
	assert.Equal(t, second.status, http.StatusOK, string(second.body))
	assert.Equal(t, string(first.body), string(second.body))
	assert.Equal(t, second.header.Get("Daisyslip-Replayed"), "true")
}
