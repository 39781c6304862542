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

// setFaults replaces the faults of the stand-in at the URL.
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

// executions returns the calls that the service has executed, in order.
func (f *fleet) executions() []standin.ServiceExecution {
	f.t.Helper()
	resp, err := http.Get(f.serviceURL + "/standin/runs")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	var executions []standin.ServiceExecution
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&executions))
	return executions
}

// TestRouterStopsDuringCall kills or suspends a router while the service executes
// its call. A retry at another router must not execute the call again and must
// report an unknown outcome. Once a suspended router resumes, retries must get the
// stored response.
func TestRouterStopsDuringCall(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "paused": syscall.SIGSTOP} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2, 1, 1000)
			f.setFaults(f.serviceURL, standin.ServiceFaults{DelayAfter: time.Second})
			go f.postIgnoringErrors(f.routers[0], "fan-7")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(f.executions()) == 1 {
					return poll.Success()
				}
				return poll.Continue("the call is not executed yet")
			}, poll.WithDelay(10*time.Millisecond))
			f.routers[0].signal(signal)
			retry := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
			assert.Equal(t, retry.status, http.StatusConflict, string(retry.body))
			assert.Equal(t, retry.header.Get("Daisyslip-Ran"), "unknown")
			if signal == syscall.SIGSTOP {
				f.routers[0].signal(syscall.SIGCONT)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					replay := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
					if replay.status != http.StatusOK {
						return poll.Continue("status %d", replay.status)
					}
					assert.Equal(t, replay.header.Get("Daisyslip-Replayed"), "true")
					return poll.Success()
				})
			}
			assert.Equal(t, len(f.executions()), 1)
		})
	}
}

// postIgnoringErrors sends a fan command and ignores its response and any error. It
// may run outside the test's goroutine.
func (f *fleet) postIgnoringErrors(r *router, key string) {
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

// TestRouterDiesDuringStream kills a router while it streams a completion. The
// caller's stream must break without an end marker. A retry at another router under
// the same key must be complete and billed once.
func TestRouterDiesDuringStream(t *testing.T) {
	f := startFleet(t, 2, 1, 1_000_000)
	f.setFaults(f.engineURLs[0], standin.EngineFaults{SlowFactor: 20})
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
	assert.Assert(t, err != nil && !strings.Contains(string(rest), engine.StreamEndMarker), "the truncated stream looks complete")

	f.setFaults(f.engineURLs[0], standin.EngineFaults{})
	retry := f.post(f.routers[1], engine.PathChat, body, "draft-1")
	assert.Equal(t, retry.status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(string(retry.body), "data: [DONE]\n\n"), lastLine(retry.body))
	var last engine.Chunk
	for _, line := range strings.Split(string(retry.body), "\n") {
		if data, found := strings.CutPrefix(line, "data: {"); found {
			assert.NilError(t, json.Unmarshal([]byte("{"+data), &last))
		}
	}
	assert.Equal(t, f.balance(f.routers[1]).Settled, last.Usage.TotalTokens)
}
