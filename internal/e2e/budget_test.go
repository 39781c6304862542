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

// TestKilledRouterLeavesInDoubtGrant kills a router that holds a grant. The grant's
// unspent tokens must be in doubt until an operator resolves the grant, and the
// parts of the budget must add up to what was paid.
func TestKilledRouterLeavesInDoubtGrant(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	chunk, response := f.chat(f.routers[1], "Short question.", 5)
	assert.Equal(t, response.status, http.StatusOK, string(response.body))
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	c := f.client(f.routers[0])
	inDoubt := f.waitForInDoubtGrants(f.routers[0], 1)
	assert.Equal(t, inDoubt[0].Billed, chunk.Usage.TotalTokens)
	assert.Equal(t, f.balance(f.routers[0]).InDoubt, inDoubt[0].Remaining)
	resolved, err := c.ResolveInDoubtGrant(t.Context(), budget.Resolution{Account: account, Incarnation: inDoubt[0].Incarnation, ProcessDead: true})
	assert.NilError(t, err)
	assert.Equal(t, resolved.Returned, inDoubt[0].Remaining)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.Settled, chunk.Usage.TotalTokens)
	assert.Equal(t, b.Unspent, b.Paid-b.Settled)
}

// waitForInDoubtGrants waits until the router lists n in-doubt grants and returns
// them.
func (f *fleet) waitForInDoubtGrants(r *router, n int) []budget.InDoubtGrant {
	f.t.Helper()
	var grants []budget.InDoubtGrant
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var err error
		grants, err = f.client(r).InDoubtGrants(f.t.Context())
		assert.NilError(f.t, err)
		if len(grants) != n {
			return poll.Continue("%d in-doubt grants", len(grants))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
	return grants
}

// TestPeersWriteBillsOfKilledRouter kills a router that has served a request during
// a platform outage and so could not write the bill. The peers that hold a replica
// of the bill must write it after the outage.
func TestPeersWriteBillsOfKilledRouter(t *testing.T) {
	f := startFleet(t, 3, 1, 100_000)
	var usedTokens int64
	serve := func() {
		chunk, response := f.chat(f.routers[1], "Short question.", 5)
		assert.Equal(t, response.status, http.StatusOK, string(response.body))
		usedTokens += chunk.Usage.TotalTokens
	}
	serve()
	f.waitForPeers(f.routers[1], 2)
	f.setPlatformFaults("", memory.Faults{Outage: true})
	serve()
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	f.setPlatformFaults("", memory.Faults{})
	f.waitForSettled(f.routers[0], usedTokens)
	assert.Equal(t, f.waitForInDoubtGrants(f.routers[0], 1)[0].Billed, usedTokens)
}

// waitForPeers waits until the router reports n peers.
func (f *fleet) waitForPeers(r *router, n int) {
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

// TestRetryAtAnotherRouterIsBilledOnce guards against billing a retry again: the
// same idempotency key is sent to two routers, and the first is killed after it has
// written its bill. A different request under the same key must be refused.
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
	reused := f.post(f.routers[0], "/v1/chat/completions", `{"model":"`+testModel+`","messages":[{"role":"user","content":"Else"}]}`, "question-7")
	assert.Equal(t, reused.status, http.StatusConflict, string(reused.body))
}

// setPlatformFaults sets the platform's faults for the router on the VM, or for all
// routers if vm is empty.
func (f *fleet) setPlatformFaults(vm string, faults memory.Faults) {
	f.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	url := f.platformURL + "/standin/faults"
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

// waitForSettled waits until exactly want tokens of the budget are settled. The
// parts of the budget must add up to what was paid in every balance read.
func (f *fleet) waitForSettled(r *router, want int64) {
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

// TestPartitionedRouterSpendsOnlyItsGrant disconnects a router from the platform
// while a top-up arrives through another router. The disconnected router must serve
// from its grant, refuse further requests as not executed, and write its bills once
// the platform is reachable again.
func TestPartitionedRouterSpendsOnlyItsGrant(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	var usedTokens int64
	serve := func(r *router) bool {
		chunk, response := f.chat(r, "Short question.", 5)
		if response.status == http.StatusOK {
			usedTokens += chunk.Usage.TotalTokens
			return true
		}
		assert.Equal(t, response.status, http.StatusServiceUnavailable, string(response.body))
		assert.Equal(t, response.header.Get("Daisyslip-Ran"), "no")
		return false
	}
	assert.Assert(t, serve(f.routers[0]))
	f.setPlatformFaults("entry-1", memory.Faults{Outage: true})
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
	f.setPlatformFaults("entry-1", memory.Faults{})
	f.waitForSettled(f.routers[1], usedTokens)
}

// TestLostRepliesAreBilledOnce guards against writing a bill or a draw twice: for
// each request, one commit takes effect at the platform but its response is lost.
func TestLostRepliesAreBilledOnce(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	var usedTokens int64
	for i := range 10 {
		f.setPlatformFaults("", memory.Faults{LoseResponses: 1})
		chunk, response := f.chat(f.routers[i%2], "Short question.", 5)
		assert.Equal(t, response.status, http.StatusOK, string(response.body))
		usedTokens += chunk.Usage.TotalTokens
	}
	f.setPlatformFaults("", memory.Faults{})
	f.waitForSettled(f.routers[0], usedTokens)
}

// TestSettleRouterResolvesInDoubtGrants resolves all in-doubt grants of a killed
// router with one "budget settle-router" command.
func TestSettleRouterResolvesInDoubtGrants(t *testing.T) {
	f := startFleet(t, 2, 1, 100_000)
	chunk, response := f.chat(f.routers[1], "Short question.", 5)
	assert.Equal(t, response.status, http.StatusOK, string(response.body))
	f.routers[1].signal(syscall.SIGKILL)
	f.routers[1].wait()
	inDoubt, err := f.client(f.routers[0]).InDoubtGrants(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(inDoubt), 1)
	out, err := exec.Command(binaries.cli, "budget", "settle-router", inDoubt[0].Incarnation, "--gone",
		"--operator", f.routers[0].Operator, "--token", testToken).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	b := f.balance(f.routers[0])
	assert.Equal(t, b.InDoubt, int64(0), "%s", out)
	assert.Equal(t, b.Unspent, b.Paid-chunk.Usage.TotalTokens)
}
