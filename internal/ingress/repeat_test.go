package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/routetable"
)

func TestMayRepeat(t *testing.T) {
	once := &routetable.Route{Kind: routetable.NonIdempotent, MaxAttempts: 3}
	read := &routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2}
	digest := &routetable.Route{Kind: routetable.Streaming, MaxAttempts: 2}
	chat := &routetable.Route{Kind: routetable.Streaming, MaxAttempts: 2, Resumable: true}
	for _, c := range []struct {
		name        string
		route       *routetable.Route
		end         end
		runs, sends int
		left        time.Duration
		want        bool
	}{
		{"not sent", once, notSent, 0, 1, time.Second, true},
		{"not run", once, notRun, 0, 1, time.Second, true},
		{"not run, often", once, notRun, 0, maxSends, time.Second, false},
		{"command broken", once, broken, 1, 1, time.Second, false},
		{"command failed", once, failed, 1, 1, time.Second, false},
		{"command silent", once, silent, 1, 1, time.Second, false},
		{"read broken", read, broken, 1, 1, time.Second, true},
		{"read failed twice", read, failed, 2, 2, time.Second, false},
		{"read without time", read, failed, 1, 1, 10 * time.Millisecond, false},
		{"stream broken", digest, broken, 1, 1, time.Second, false},
		{"resumable stream broken", chat, broken, 1, 1, time.Second, true},
		{"caller gone", read, callerGone, 1, 1, time.Second, false},
		{"time over", read, timeOver, 1, 1, time.Second, false},
	} {
		assert.Equal(t, mayRepeat(c.route, c.end, c.runs, c.sends, c.left), c.want, c.name)
	}
}

func TestDrainRefusesOnlyWhatOutlastsIt(t *testing.T) {
	begun := time.Unix(1000, 0)
	d := &drain{begun: begun, end: begun.Add(7 * time.Second)}
	var none *drain
	for _, c := range []struct {
		name     string
		drain    *drain
		at, last time.Duration
		want     bool
	}{
		{"no stop", none, 5 * time.Second, time.Hour, false},
		{"long, early", d, time.Second, 15 * time.Second, false},
		{"long, late", d, 3 * time.Second, 15 * time.Second, true},
		{"short, late", d, 3 * time.Second, 4 * time.Second, false},
	} {
		assert.Equal(t, c.drain.outlasts(begun.Add(c.at), begun.Add(c.last)), c.want, c.name)
	}
}

func TestEvents(t *testing.T) {
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
		size := eventEnd([]byte(c.bytes))
		assert.Equal(t, size, c.size, "%q", c.bytes)
		assert.Equal(t, eventID([]byte(c.bytes[:size])), c.id, "%q", c.bytes)
	}
}

// TestFollows: a stream that goes on elsewhere neither repeats nor leaves out.
func TestFollows(t *testing.T) {
	q := &request{}
	q.stream.lastID = "4"
	skip, err := q.follows("4")
	assert.Assert(t, skip && err == nil)
	skip, err = q.follows("5")
	assert.Assert(t, !skip && err == nil)
	_, err = q.follows("6")
	assert.ErrorIs(t, err, errSequence)
}
