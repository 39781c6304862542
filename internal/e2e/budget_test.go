package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/platform/memory"
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
	doubts := f.doubts(f.routers[0], 1)
	assert.Equal(t, doubts[0].Billed, chunk.Usage.TotalTokens)
	assert.Equal(t, f.balance(f.routers[0]).InDoubt, doubts[0].Remaining)
	done, err := c.ResolveInDoubtGrant(t.Context(), budget.Resolution{Account: account, Incarnation: doubts[0].Incarnation, ProcessDead: true})
	assert.NilError(t, err)
	assert.Equal(t, done.Returned, doubts[0].Remaining)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Settled, chunk.Usage.TotalTokens)
	assert.Equal(t, b.Unspent, b.Paid-b.Settled)
}

// doubts waits until the router lists n doubts.
func (f *fleet) doubts(r *router, n int) []budget.InDoubtGrant {
	f.t.Helper()
	var doubts []budget.InDoubtGrant
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var err error
		doubts, err = f.client(r).InDoubtGrants(f.t.Context())
		assert.NilError(f.t, err)
		if len(doubts) != n {
			return poll.Continue("%d doubts", len(doubts))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
	return doubts
}

// TestOutageAndKill kills a router that has answered requests while the
// platform was away: its peers write the bills.
func TestOutageAndKill(t *testing.T) {
	f := startFleet(t, 3, 1, 100_000)
	var used int64
	serve := func() {
		chunk, answer := f.chat(f.routers[1], "Short question.", 5)
		assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
		used += chunk.Usage.TotalTokens
	}
	serve()
	f.peersOf(f.routers[1], 2)
	f.faults("", memory.Faults{Outage: true})
	serve()
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	f.faults("", memory.Faults{})
	f.settled(f.routers[0], used)
	assert.Equal(t, f.doubts(f.routers[0], 1)[0].Billed, used)
}

// peersOf waits until the router sees n peers.
func (f *fleet) peersOf(r *router, n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		status, err := f.client(r).Status(f.t.Context())
		assert.NilError(f.t, err)
		if len(status.Peers) != n {
			return poll.Continue("%d peers", len(status.Peers))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
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

// faults sets the platform's faults for one router, or for all.
func (f *fleet) faults(vm string, faults memory.Faults) {
	f.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	url := f.platform + "/standin/faults"
	if vm != "" {
		url += "/" + vm
	}
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, url, bytes.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	assert.Assert(f.t, resp.StatusCode < http.StatusMultipleChoices, "status %d", resp.StatusCode)
}

// settled waits until the budget shows that exactly want tokens were billed.
func (f *fleet) settled(r *router, want int64) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		b := f.balance(r)
		assert.Equal(f.t, b.Paid, b.Unspent+b.Held+b.Settled+b.InDoubt)
		if b.Settled != want {
			return poll.Continue("settled %d, want %d", b.Settled, want)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// TestCutRouterSpendsOnlyItsGrant cuts a router off from the platform while a
// top-up lands on the other side. It serves from its grant, refuses what goes
// beyond with "did not run", and its bills arrive once it is back.
func TestCutRouterSpendsOnlyItsGrant(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	var used int64
	serve := func(r *router) bool {
		chunk, answer := f.chat(r, "Short question.", 5)
		if answer.status == http.StatusOK {
			used += chunk.Usage.TotalTokens
			return true
		}
		assert.Equal(t, answer.status, http.StatusServiceUnavailable, string(answer.body))
		assert.Equal(t, answer.header.Get("Daisyslip-Ran"), "no")
		return false
	}
	assert.Assert(t, serve(f.routers[0]))
	f.faults("entry-1", memory.Faults{Outage: true})
	_, err := f.client(f.routers[1]).TopUp(t.Context(), account, "far side", 50_000)
	assert.NilError(t, err)
	served, refused := 0, 0
	for range 20 {
		if serve(f.routers[0]) {
			served++
		} else {
			refused++
		}
	}
	assert.Assert(t, served > 0 && refused > 0, "served %d, refused %d", served, refused)
	assert.Assert(t, serve(f.routers[1]))
	f.faults("entry-1", memory.Faults{})
	f.settled(f.routers[1], used)
}

// TestLostRepliesBillOnce loses a reply of the platform before each request.
func TestLostRepliesBillOnce(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	var used int64
	for i := range 10 {
		f.faults("", memory.Faults{LoseResponses: 1})
		chunk, answer := f.chat(f.routers[i%2], "Short question.", 5)
		assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
		used += chunk.Usage.TotalTokens
	}
	f.faults("", memory.Faults{})
	f.settled(f.routers[0], used)
}

// TestSettleRouter settles all grants of a killed router with one command.
func TestSettleRouter(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	chunk, answer := f.chat(f.routers[1], "Short question.", 5)
	assert.Equal(t, answer.status, http.StatusOK, string(answer.body))
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	doubts, err := f.client(f.routers[0]).InDoubtGrants(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(doubts), 1)
	out, err := exec.Command(binaries.cli, "budget", "settle-router", doubts[0].Incarnation, "--gone",
		"--operator", f.routers[0].Operator, "--token", testToken).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.InDoubt, int64(0), "%s", out)
	assert.Equal(t, b.Unspent, b.Paid-chunk.Usage.TotalTokens)
}
