package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/standin"
)

// setFaults gives a stand-in its faults.
func (f *fleet) setFaults(url string, faults any) {
	f.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, url+"/standin/faults", bytes.NewReader(body))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
}

// runs returns what the service has run.
func (f *fleet) runs() []standin.ServiceExecution {
	f.t.Helper()
	resp, err := http.Get(f.service + "/standin/runs")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	var runs []standin.ServiceExecution
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&runs))
	return runs
}

// TestRouterStopsInTheMiddleOfACall kills or pauses a router while the service
// runs its fan command. A retry at another router runs nothing and is told
// that the outcome is unknown; once the paused router goes on, the answer is
// given to retries.
func TestRouterStopsInTheMiddleOfACall(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, 1, 1000)
			f.setFaults(f.service, standin.ServiceFaults{DelayAfter: time.Second})
			go f.postQuietly(f.routers[0], "fan-7")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(f.runs()) == 1 {
					return poll.Success()
				}
				return poll.Continue("the call does not run")
			}, poll.WithDelay(10*time.Millisecond))
			f.routers[0].signal(signal)
			retry := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
			assert.Equal(t, retry.status, http.StatusConflict, string(retry.body))
			assert.Equal(t, retry.header.Get("Daisyslip-Ran"), "unknown")
			if signal == syscall.SIGSTOP {
				f.routers[0].signal(syscall.SIGCONT)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					again := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
					if again.status != http.StatusOK {
						return poll.Continue("status %d", again.status)
					}
					assert.Equal(t, again.header.Get("Daisyslip-Replayed"), "true")
					return poll.Success()
				})
			}
			assert.Equal(t, len(f.runs()), 1)
		})
	}
}

// postQuietly sends a fan command whose answer may be lost.
func (f *fleet) postQuietly(r *router, key string) {
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, r.Caller+"/v1/services/fans/bins/7", strings.NewReader(`{"on":true}`))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", key)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// TestRouterDiesInTheMiddleOfAStream kills a router while it streams: the
// caller's stream has no end marker, and the retry elsewhere under the same
// key is whole and billed once.
func TestRouterDiesInTheMiddleOfAStream(t *testing.T) {
	f := startFleet(t, 2, 1, 1_000_000)
	f.setFaults(f.engines[0], standin.EngineFaults{SlowFactor: 20})
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":100,"messages":[{"role":"user","content":"Rota."}]}`, testModel)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.routers[0].Caller+engine.PathChat, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", "draft-1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 64)
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	f.routers[0].signal(syscall.SIGKILL)
	rest, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil && !strings.Contains(string(rest), engine.StreamEndMarker), "the cut stream looks whole")

	f.setFaults(f.engines[0], standin.EngineFaults{})
	again := f.post(f.routers[1], engine.PathChat, body, "draft-1")
	assert.Equal(t, again.status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(string(again.body), "data: [DONE]\n\n"), lastLine(again.body))
	var last engine.Chunk
	for _, line := range strings.Split(string(again.body), "\n") {
		if data, found := strings.CutPrefix(line, "data: {"); found {
			assert.NilError(t, json.Unmarshal([]byte("{"+data), &last))
		}
	}
	assert.Equal(t, f.balance(f.routers[1]).Settled, last.Usage.TotalTokens)
}
