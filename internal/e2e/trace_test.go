package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/cli"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// queryTrace runs "daisyslip events" for a request against the given routers and the
// peers that they report. It returns the events, the text on standard error and the
// exit code.
func (f *fleet) queryTrace(requestID string, routers ...*router) ([]event.Event, string, int) {
	f.t.Helper()
	args := []string{"events", "--request", requestID, "--token", testToken, "--output", "json"}
	for _, r := range routers {
		args = append(args, "--operator", r.Operator)
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(f.t.Context(), binaries.cli, args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		assert.NilError(f.t, err)
	}
	var events []event.Event
	for lines := bufio.NewScanner(&stdout); lines.Scan(); {
		var e event.Event
		assert.NilError(f.t, json.Unmarshal(lines.Bytes(), &e))
		f.t.Log(lines.Text())
		events = append(events, e)
	}
	return events, stderr.String(), cmd.ProcessState.ExitCode()
}

// waitForPeerDiscovery waits until a query to the third router alone also returns
// the request's events of the first two.
func (f *fleet) waitForPeerDiscovery(requestID string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		events, _, _ := f.queryTrace(requestID, f.routers[2])
		if hasEvent(events, "entry-1", event.RequestReceived) && hasEvent(events, "entry-2", event.RequestReceived) {
			return poll.Success()
		}
		return poll.Continue("the peers are not known yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(200*time.Millisecond))
}

// waitForCopiedEvents waits until a peer stores a copy of an event about a request
// that the router on the VM has completed.
func (f *fleet) waitForCopiedEvents(vm string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, other := range f.routers {
			page, err := f.client(other).Backup().Page(f.t.Context(), timeline.Query{Filter: timeline.Filter{Kind: event.RequestCompleted}})
			assert.NilError(f.t, err)
			if hasEvent(page.Events, vm, event.RequestCompleted) {
				return poll.Success()
			}
		}
		return poll.Continue("no peer has a copy")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// hasEvent reports whether the events contain one of the kind from the VM.
func hasEvent(events []event.Event, vm string, kind event.Kind) bool {
	for _, e := range events {
		if e.VM == vm && e.Kind == kind {
			return true
		}
	}
	return false
}

// TestTraceSpansKilledRouterAndRetry sends the same fan command to two routers, kills
// the first, and sends it to a third. While the routers run, the trace of one request
// must contain the events of both. After the kill, it must still contain the dead
// router's events, from copies at its peers, and the command must report by address
// that the dead router does not respond.
func TestTraceSpansKilledRouterAndRetry(t *testing.T) {
	f := startFleet(t, 3, 1, 1000)
	first := f.post(f.routers[0], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, first.status, http.StatusOK, string(first.body))
	second := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, second.status, http.StatusOK, string(second.body))
	requestID := first.header.Get("Daisyslip-Request-Id")
	assert.Assert(t, requestID != "")
	events, stderr, exitCode := f.queryTrace(requestID, f.routers...)
	assert.Equal(t, exitCode, 0, stderr)
	for _, vm := range []string{"entry-1", "entry-2"} {
		assert.Assert(t, hasEvent(events, vm, event.RequestReceived), vm)
		assert.Assert(t, hasEvent(events, vm, event.RequestCompleted), vm)
	}
	assert.Assert(t, hasEvent(events, "entry-1", event.PlatformCommitted))
	f.waitForPeerDiscovery(requestID)
	f.waitForCopiedEvents("entry-1")
	f.routers[0].signal(syscall.SIGKILL)
	f.routers[0].wait()
	third := f.post(f.routers[2], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, third.status, http.StatusOK, string(third.body))
	events, stderr, exitCode = f.queryTrace(third.header.Get("Daisyslip-Request-Id"), f.routers...)
	assert.Equal(t, exitCode, cli.ExitPartial)
	assert.Assert(t, strings.Contains(stderr, f.routers[0].Operator+" does not answer"), stderr)
	for _, vm := range []string{"entry-1", "entry-2", "entry-3"} {
		assert.Assert(t, hasEvent(events, vm, event.RequestReceived), vm)
	}
	assert.Assert(t, hasEvent(events, "entry-1", event.RequestCompleted), "copies of the dead router's events")
}

// startEngineProcess starts a slow engine, adds it to the configuration as an
// endpoint, and returns its process so that a test can kill it.
func (f *fleet) startEngineProcess(name string) *process {
	f.t.Helper()
	p := startProcess(f.t, binaries.cli, "standin", "engine", "--model", testModel, "--token-time", "30ms")
	var info cli.StandinInfo
	p.decodeLine(&info)
	f.addEngine(name, info.URL)
	return p
}

// TestTraceSpansKilledEngine kills the engine that serves a stream. The caller must
// still get the complete response, and the trace must contain the failed attempt at
// the killed engine and the completed attempt at the other.
func TestTraceSpansKilledEngine(t *testing.T) {
	const tokens = 100
	f := startFleet(t, 1, 0, 1_000_000)
	engines := map[string]*process{}
	for _, name := range []string{"engine-a", "engine-b"} {
		engines[name] = f.startEngineProcess(name)
	}
	r := f.routers[0]
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"Draft a rota."}]}`, testModel, tokens)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.Caller+engine.PathChat, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	stream := bufio.NewReader(resp.Body)
	_, err = stream.ReadString('\n')
	assert.NilError(t, err)
	requestID := resp.Header.Get("Daisyslip-Request-Id")
	earlyEvents, _, _ := f.queryTrace(requestID, r)
	killedEndpoints := endpointsOfKind(earlyEvents, event.AttemptStarted)
	assert.Equal(t, len(killedEndpoints), 1)
	engines[killedEndpoints[0]].signal(syscall.SIGKILL)
	rest, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(rest), "data: "+engine.StreamEndMarker))
	events, stderr, exitCode := f.queryTrace(requestID, r)
	assert.Equal(t, exitCode, 0, stderr)
	assert.Equal(t, len(endpointsOfKind(events, event.AttemptStarted)), 2)
	assert.DeepEqual(t, endpointsOfKind(events, event.AttemptFailed), killedEndpoints)
	completedEndpoints := endpointsOfKind(events, event.AttemptCompleted)
	assert.Equal(t, len(completedEndpoints), 1)
	assert.Assert(t, completedEndpoints[0] != killedEndpoints[0])
	assert.Assert(t, hasEvent(events, "entry-1", event.RequestCompleted))
}

// endpointsOfKind returns the endpoints named in the events of the kind, in order.
func endpointsOfKind(events []event.Event, kind event.Kind) []string {
	var names []string
	for _, e := range events {
		if e.Kind == kind {
			names = append(names, e.Endpoint)
		}
	}
	return names
}
