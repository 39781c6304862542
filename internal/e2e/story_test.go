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

// story runs daisyslip events for a request against the routers and those
// that they know, and returns the events, standard error and the exit code.
func (f *fleet) story(request string, routers ...*router) ([]event.Event, string, int) {
	f.t.Helper()
	args := []string{"events", "--request", request, "--token", testToken, "--output", "json"}
	for _, r := range routers {
		args = append(args, "--operator", r.Operator)
	}
	var out, problems bytes.Buffer
	cmd := exec.CommandContext(f.t.Context(), binaries.cli, args...)
	cmd.Stdout, cmd.Stderr = &out, &problems
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		assert.NilError(f.t, err)
	}
	var events []event.Event
	for lines := bufio.NewScanner(&out); lines.Scan(); {
		var e event.Event
		assert.NilError(f.t, json.Unmarshal(lines.Bytes(), &e))
		f.t.Log(lines.Text())
		events = append(events, e)
	}
	return events, problems.String(), cmd.ProcessState.ExitCode()
}

// waitKnown waits until one router's address is enough to find the others.
func (f *fleet) waitKnown(request string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		events, _, _ := f.story(request, f.routers[2])
		if has(events, "entry-1", event.RequestReceived) && has(events, "entry-2", event.RequestReceived) {
			return poll.Success()
		}
		return poll.Continue("the peers are not known")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(200*time.Millisecond))
}

// waitCopied waits until the router has copied the events of the requests that
// it has answered to a peer.
func (f *fleet) waitCopied(vm string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, other := range f.routers {
			page, err := f.client(other).Backup().Page(f.t.Context(), timeline.Query{Filter: timeline.Filter{Kind: event.RequestCompleted}})
			assert.NilError(f.t, err)
			if has(page.Events, vm, event.RequestCompleted) {
				return poll.Success()
			}
		}
		return poll.Continue("no peer has a copy")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// has reports whether the events hold one of the kind at the VM.
func has(events []event.Event, vm string, kind event.Kind) bool {
	for _, e := range events {
		if e.VM == vm && e.Kind == kind {
			return true
		}
	}
	return false
}

// TestStoryThroughKillAndRetry sends a fan command to one router, which then
// is killed, and again to another. The story of either try tells of both
// while both routers live, and of the rest once one is dead, by name.
func TestStoryThroughKillAndRetry(t *testing.T) {
	f := startFleet(t, 3, 1, 1000)
	first := f.post(f.routers[0], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, first.status, http.StatusOK, string(first.body))
	second := f.post(f.routers[1], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, second.status, http.StatusOK, string(second.body))
	request := first.header.Get("Daisyslip-Request-Id")
	assert.Assert(t, request != "")
	events, problems, code := f.story(request, f.routers...)
	assert.Equal(t, code, 0, problems)
	for _, vm := range []string{"entry-1", "entry-2"} {
		assert.Assert(t, has(events, vm, event.RequestReceived), vm)
		assert.Assert(t, has(events, vm, event.RequestCompleted), vm)
	}
	assert.Assert(t, has(events, "entry-1", event.PlatformCommitted))
	f.waitKnown(request)
	f.waitCopied("entry-1")
	f.routers[0].signal(syscall.SIGKILL)
	f.routers[0].wait()
	third := f.post(f.routers[2], "/v1/services/fans/bins/7", `{"on":true}`, "fan-7")
	assert.Equal(t, third.status, http.StatusOK, string(third.body))
	events, problems, code = f.story(third.header.Get("Daisyslip-Request-Id"), f.routers...)
	assert.Equal(t, code, cli.ExitPartial)
	assert.Assert(t, strings.Contains(problems, f.routers[0].Operator+" does not answer"), problems)
	for _, vm := range []string{"entry-1", "entry-2", "entry-3"} {
		assert.Assert(t, has(events, vm, event.RequestReceived), vm)
	}
	assert.Assert(t, has(events, "entry-1", event.RequestCompleted), "copies of the dead router's events")
}

// startEngineProcess starts a slow engine that can be killed, and configures
// it as an endpoint.
func (f *fleet) startEngineProcess(name string) *process {
	f.t.Helper()
	p := start(f.t, binaries.cli, "standin", "engine", "--model", testModel, "--token-time", "30ms")
	var info cli.StandinInfo
	p.line(&info)
	f.addEngine(name, info.URL)
	return p
}

// TestStoryThroughEngineKill kills the engine that serves a stream. The caller
// gets its whole answer, and one story tells of both engines.
func TestStoryThroughEngineKill(t *testing.T) {
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
	answer := bufio.NewReader(resp.Body)
	_, err = answer.ReadString('\n')
	assert.NilError(t, err)
	request := resp.Header.Get("Daisyslip-Request-Id")
	begun, _, _ := f.story(request, r)
	killed := endpointsOf(begun, event.AttemptStarted)
	assert.Equal(t, len(killed), 1)
	engines[killed[0]].signal(syscall.SIGKILL)
	rest, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(rest), "data: "+engine.StreamEndMarker))
	whole, problems, code := f.story(request, r)
	assert.Equal(t, code, 0, problems)
	assert.Equal(t, len(endpointsOf(whole, event.AttemptStarted)), 2)
	assert.DeepEqual(t, endpointsOf(whole, event.AttemptFailed), killed)
	ended := endpointsOf(whole, event.AttemptCompleted)
	assert.Equal(t, len(ended), 1)
	assert.Assert(t, ended[0] != killed[0])
	assert.Assert(t, has(whole, "entry-1", event.RequestCompleted))
}

// endpointsOf returns the endpoints of the events of a kind, in order.
func endpointsOf(events []event.Event, kind event.Kind) []string {
	var names []string
	for _, e := range events {
		if e.Kind == kind {
			names = append(names, e.Endpoint)
		}
	}
	return names
}
