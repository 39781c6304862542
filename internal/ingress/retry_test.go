package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/routetable"
)

// TestRetryOnlyWhereSafeAndUseful guards against retries that execute a request
// more often than its route allows, or that can't succeed in the remaining time.
func TestRetryOnlyWhereSafeAndUseful(t *testing.T) {
	command := &routetable.Route{Kind: routetable.NonIdempotent, MaxAttempts: 3}
	read := &routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2}
	stream := &routetable.Route{Kind: routetable.Streaming, MaxAttempts: 2}
	resumableStream := &routetable.Route{Kind: routetable.Streaming, MaxAttempts: 2, Resumable: true}
	for _, c := range []struct {
		name                 string
		route                *routetable.Route
		outcome              attemptOutcome
		executions, attempts int
		remaining            time.Duration
		want                 bool
	}{
		{"not sent", command, notSent, 0, 1, time.Second, true},
		{"not run", command, notExecuted, 0, 1, time.Second, true},
		{"not run, often", command, notExecuted, 0, maxAttemptsPerRequest, time.Second, false},
		{"command broken", command, connectionBroken, 1, 1, time.Second, false},
		{"command failed", command, failed, 1, 1, time.Second, false},
		{"command silent", command, stalled, 1, 1, time.Second, false},
		{"read broken", read, connectionBroken, 1, 1, time.Second, true},
		{"read failed twice", read, failed, 2, 2, time.Second, false},
		{"read without time", read, failed, 1, 1, 10 * time.Millisecond, false},
		{"stream broken", stream, connectionBroken, 1, 1, time.Second, false},
		{"resumable stream broken", resumableStream, connectionBroken, 1, 1, time.Second, true},
		{"caller gone", read, callerDisconnected, 1, 1, time.Second, false},
		{"time over", read, deadlineExceeded, 1, 1, time.Second, false},
	} {
		assert.Equal(t, mayRetry(c.route, c.outcome, c.executions, c.attempts, c.remaining), c.want, c.name)
	}
}

// TestDrainRefusesOnlyRequestsThatMayOutlastIt guards against refusing requests
// that end before the router stops, or that arrive before callers could learn of
// the drain.
func TestDrainRefusesOnlyRequestsThatMayOutlastIt(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	d := &drain{startedAt: startedAt, deadline: startedAt.Add(7 * time.Second)}
	var noDrain *drain
	for _, c := range []struct {
		name           string
		drain          *drain
		sentAt, lastAt time.Duration // since the start of the drain
		usual          time.Duration
		want           bool
	}{
		{"no stop", noDrain, 5 * time.Second, time.Hour, 0, false},
		{"long, early", d, time.Second, 15 * time.Second, 0, false},
		{"long, late", d, 3 * time.Second, 15 * time.Second, 0, true},
		{"short, late", d, 3 * time.Second, 4 * time.Second, 0, false},
		{"usually short, early", d, time.Second, 15 * time.Second, 5 * time.Second, false},
		{"usually long, early", d, time.Second, 15 * time.Second, 7 * time.Second, true},
		{"usually long, but ends in time", d, time.Second, 6 * time.Second, 7 * time.Second, false},
	} {
		assert.Equal(t, c.drain.outlasts(startedAt.Add(c.sentAt), startedAt.Add(c.lastAt), c.usual), c.want, c.name)
	}
}

// TestEventBoundariesAndIDs guards against events that are split at the wrong byte
// or forwarded without their id, with either kind of line ending.
func TestEventBoundariesAndIDs(t *testing.T) {
	for _, c := range []struct {
		bytes string
		size  int
		id    string
	}{
		{"id: 4\ndata: x\n\nid: 5", 15, "4"},
		{"id:4\r\ndata: x\r\n\r\n", 17, "4"},
		{"data: x\n", 0, ""},
		{"data: x\n\n", 9, ""},
	} {
		size := eventLength([]byte(c.bytes), 0)
		assert.Equal(t, size, c.size, "%q", c.bytes)
		for searched := range size {
			assert.Equal(t, eventLength([]byte(c.bytes[:searched]), 0), 0, "%q", c.bytes[:searched])
			assert.Equal(t, eventLength([]byte(c.bytes), searched), size, "%q after %d bytes", c.bytes, searched)
		}
		assert.Equal(t, eventID([]byte(c.bytes[:size])), c.id, "%q", c.bytes)
	}
}

// TestResumedStreamNeitherRepeatsNorSkipsEvents guards against duplicate and lost
// events when a stream is resumed at another endpoint.
func TestResumedStreamNeitherRepeatsNorSkipsEvents(t *testing.T) {
	s := resumeSequence("4")
	skip, err := s.next("4")
	assert.Assert(t, skip && err == nil)
	before := s
	skip, err = s.next("5")
	assert.Assert(t, !skip && err == nil)
	_, err = before.next("6")
	assert.ErrorIs(t, err, errSequence)
}
