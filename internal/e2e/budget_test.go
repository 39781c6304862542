package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/budget"
)

// TestKilledRouterLeavesDoubt kills a router with a grant: its rest is in
// doubt until an operator settles it, and the budget adds up throughout.
func TestKilledRouterLeavesDoubt(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	chunk, answer := f.chat(f.routers[1], "Short question.", 5)
	assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	c := f.client(f.routers[0])
	doubts, err := c.Doubts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(doubts), 1, fmt.Sprint(doubts))
	assert.Equal(t, doubts[0].Billed, chunk.Usage.TotalTokens)
	assert.Equal(t, f.balance(f.routers[0]).InDoubt, doubts[0].Rest)
	done, err := c.SettleDoubt(t.Context(), budget.Settlement{Account: account, Incarnation: doubts[0].Incarnation, Gone: true})
	assert.NilError(t, err)
	assert.Equal(t, done.Returned, doubts[0].Rest)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Settled, chunk.Usage.TotalTokens)
	assert.Equal(t, b.Unspent, b.Paid-b.Settled)
}

// TestRetryAtAnotherRouterIsBilledOnce sends one key to two routers, the
// first of which dies after its bill.
func TestRetryAtAnotherRouterIsBilledOnce(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":5,"messages":[{"role":"user","content":"Bin 7?"}]}`, testModel)
	first := f.post(f.routers[1], "/v1/chat/completions", body, "question-7")
	assert.Equal(t, first.status, http.StatusOK, string(first.body))
	settled := f.balance(f.routers[0]).Settled
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	second := f.post(f.routers[0], "/v1/chat/completions", body, "question-7")
	assert.Equal(t, second.status, http.StatusOK, string(second.body))
	assert.Equal(t, f.balance(f.routers[0]).Settled, settled)
	other := f.post(f.routers[0], "/v1/chat/completions", `{"model":"`+testModel+`","messages":[{"role":"user","content":"Else"}]}`, "question-7")
	assert.Equal(t, other.status, http.StatusConflict, string(other.body))
}
