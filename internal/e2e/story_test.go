package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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
			page, err := f.client(other).Backup().Page(f.t.Context(), timeline.Query{Filter: timeline.Filter{Kind: event.RequestAnswered}})
			assert.NilError(f.t, err)
			if has(page.Events, vm, event.RequestAnswered) {
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
		assert.Assert(t, has(events, vm, event.RequestAnswered), vm)
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
	assert.Assert(t, has(events, "entry-1", event.RequestAnswered), "copies of the dead router's events")
}
