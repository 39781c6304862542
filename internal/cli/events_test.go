package cli

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/event"
)

// eventsOf decodes the output of the events command.
func eventsOf(t *testing.T, out string) []event.Event {
	t.Helper()
	var events []event.Event
	for decoder := json.NewDecoder(strings.NewReader(out)); decoder.More(); {
		var e event.Event
		assert.NilError(t, decoder.Decode(&e))
		events = append(events, e)
	}
	return events
}

// TestEventsCommand filters the time line of a fleet, and goes on without a
// router that does not answer.
func TestEventsCommand(t *testing.T) {
	s := newShell(t)
	s.ok("workspace create coop-7")
	committed := eventsOf(t, s.ok("events --kind revision_committed --since 1h -o json"))
	assert.Assert(t, len(committed) > 0)
	for _, e := range committed {
		assert.Equal(t, e.Kind, event.RevisionCommitted)
	}
	assert.Equal(t, s.ok("events --duty config --until 1h"), "")
	assert.Equal(t, s.ok("events --request none"), "")
	assert.Assert(t, strings.Contains(s.ok("events --duty config"), "revision_applied"))
	for _, line := range []string{"events --since yesterday", "events --follow --request r1", "events --interval 0s", "events extra"} {
		_, code := s.run(line)
		assert.Equal(t, code, ExitUsage, line)
	}
	out, code := s.run("events --kind revision_committed -o json --operator http://127.0.0.1:1")
	assert.Equal(t, code, ExitPartial)
	assert.Assert(t, len(eventsOf(t, out)) >= len(committed))
	s.flags = []string{"--operator", "http://127.0.0.1:1"}
	_, code = s.run("events")
	assert.Equal(t, code, ExitFailure)
}

// TestCapacityCommand prints the page and the lines.
func TestCapacityCommand(t *testing.T) {
	s := &shell{t: t}
	assert.Assert(t, strings.HasPrefix(s.ok("capacity"), "| Sum over all lines"))
	var lines []struct{ Item string }
	assert.NilError(t, json.Unmarshal([]byte(s.ok("capacity --daemons 9 -o json")), &lines))
	assert.Assert(t, len(lines) > 0)
	_, code := s.run("capacity --slopes absent.json")
	assert.Equal(t, code, ExitFailure)
}

// TestEventsFollow prints an event that is recorded after the command began.
func TestEventsFollow(t *testing.T) {
	s := newShell(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, in := io.Pipe()
	root := NewCommand()
	root.SetOut(in)
	root.SetErr(io.Discard)
	root.SetArgs(append(strings.Fields("events --follow --kind revision_committed -o json --interval 20ms"), s.flags...))
	ended := make(chan error, 1)
	go func() {
		err := root.ExecuteContext(ctx)
		in.Close()
		ended <- err
	}()
	decoder := json.NewDecoder(out)
	next := func() int64 {
		var e event.Event
		assert.NilError(t, decoder.Decode(&e))
		return e.Revision
	}
	last := next()
	s.ok("workspace create coop-8")
	for revision := next(); revision <= last; revision = next() {
	}
	cancel()
	_, err := io.Copy(io.Discard, out)
	assert.NilError(t, err)
	assert.NilError(t, <-ended)
}
