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

// decodeEvents decodes the JSON output of the events command.
func decodeEvents(t *testing.T, out string) []event.Event {
	t.Helper()
	var events []event.Event
	for decoder := json.NewDecoder(strings.NewReader(out)); decoder.More(); {
		var e event.Event
		assert.NilError(t, decoder.Decode(&e))
		events = append(events, e)
	}
	return events
}

// TestEventsFiltersAndUnreachableRouters filters the events of a fleet. A router
// that does not respond must not hide the events of the others: the command
// prints these and exits with ExitPartial, or ExitFailure if no router responds.
func TestEventsFiltersAndUnreachableRouters(t *testing.T) {
	s := newShell(t)
	s.mustRun("workspace create coop-7")
	committed := decodeEvents(t, s.mustRun("events --kind revision_committed --since 1h -o json"))
	assert.Assert(t, len(committed) > 0)
	for _, e := range committed {
		assert.Equal(t, e.Kind, event.RevisionCommitted)
	}
	assert.Equal(t, s.mustRun("events --duty config --until 1h"), "")
	assert.Equal(t, s.mustRun("events --request none"), "")
	assert.Assert(t, strings.Contains(s.mustRun("events --duty config"), "revision_applied"))
	for _, line := range []string{"events --since yesterday", "events --follow --request r1", "events --interval 0s", "events extra"} {
		_, code := s.run(line)
		assert.Equal(t, code, ExitUsage, line)
	}
	out, code := s.run("events --kind revision_committed -o json --operator http://127.0.0.1:1")
	assert.Equal(t, code, ExitPartial)
	assert.Assert(t, len(decodeEvents(t, out)) >= len(committed))
	s.flags = []string{"--operator", "http://127.0.0.1:1"}
	_, code = s.run("events")
	assert.Equal(t, code, ExitFailure)
}

// TestCapacityPrintsMarkdownAndJSON checks the two output formats, and that a
// missing file of slopes is a failure.
func TestCapacityPrintsMarkdownAndJSON(t *testing.T) {
	s := &shell{t: t}
	assert.Assert(t, strings.HasPrefix(s.mustRun("capacity"), "| Sum over all lines"))
	var lines []struct{ Item string }
	assert.NilError(t, json.Unmarshal([]byte(s.mustRun("capacity --daemons 9 -o json")), &lines))
	assert.Assert(t, len(lines) > 0)
	_, code := s.run("capacity --slopes absent.json")
	assert.Equal(t, code, ExitFailure)
}

// TestEventsFollowPrintsNewEvents checks that events --follow prints an event
// that is recorded after the command started, and that it ends without an error
// when its context is canceled.
func TestEventsFollowPrintsNewEvents(t *testing.T) {
	s := newShell(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, in := io.Pipe()
	root := NewCommand()
	root.SetOut(in)
	root.SetErr(io.Discard)
	root.SetArgs(append(strings.Fields("events --follow --kind revision_committed -o json --interval 20ms"), s.flags...))
	done := make(chan error, 1)
	go func() {
		err := root.ExecuteContext(ctx)
		in.Close()
		done <- err
	}()
	decoder := json.NewDecoder(out)
	next := func() int64 {
		var e event.Event
		assert.NilError(t, decoder.Decode(&e))
		return e.Revision
	}
	last := next()
	s.mustRun("workspace create coop-8")
	for revision := next(); revision <= last; revision = next() {
	}
	cancel()
	_, err := io.Copy(io.Discard, out)
	assert.NilError(t, err)
	assert.NilError(t, <-done)
}
