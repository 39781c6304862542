package platformevents

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// eventList is an event.Recorder that appends to a slice.
type eventList []event.Event

func (l *eventList) Record(e event.Event) { *l = append(*l, e) }

// kinds returns the kind and the request of each event, separated by commas.
func (l *eventList) kinds() string {
	var kinds []string
	for _, e := range *l {
		kinds = append(kinds, string(e.Kind)+" "+e.Request)
	}
	return strings.Join(kinds, ",")
}

// putTxn returns a transaction that writes a row if it is at a version.
func putTxn(op, key string, version int64) platform.Txn {
	return platform.Txn{
		OpID:   op,
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: []byte("x")}},
	}
}

// TestRecordsCommitsFailuresAndRequests guards against events for the polls of an
// idle router, and against missing events for commits, failures and reads on behalf
// of a request. A conflict must not reveal the whole key of its row.
func TestRecordsCommitsFailuresAndRequests(t *testing.T) {
	var events eventList
	set := metrics.NewSet()
	client := memory.NewStore(clock.Real{}).NewClient()
	p := Wrap(client, &events, clock.NewFake(time.Unix(0, 0)), set)
	for range 100 {
		_, err := p.Get(t.Context(), "config/head")
		assert.NilError(t, err)
	}
	assert.Equal(t, events.kinds(), "")
	request := event.WithRequest(t.Context(), "r1")
	_, err := p.Get(request, "call/1")
	assert.NilError(t, err)
	client.SetFaults(memory.Faults{LoseResponses: 1})
	_, err = platform.CommitUntilKnown(request, p, putTxn("op1", "call/1", 0))
	assert.NilError(t, err)
	_, err = p.Commit(t.Context(), putTxn("op2", "call/1", 0))
	assert.Assert(t, platform.IsConflict(err))
	assert.Equal(t, events.kinds(), "platform_read r1,platform_failed r1,platform_committed r1,platform_failed ")
	assert.Equal(t, events[2].Op, "op1")
	assert.Equal(t, events[3].Detail, "conflict on a row of call")
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, line := range []string{
		`daisyslip_platform_calls_total{call="get",result="ok"} 101`,
		`daisyslip_platform_calls_total{call="commit",result="unknown"} 1`,
		`daisyslip_platform_calls_total{call="commit",result="conflict"} 1`,
		`daisyslip_platform_read_rows_total 101`,
		`daisyslip_platform_written_rows_total 1`,
	} {
		assert.Assert(t, strings.Contains(text.String(), line), line)
	}
}

// TestSeriesDoNotGrowWithWorkspaces guards against metric labels with values from
// requests: calls for 16,000 workspaces, the size that a fleet has to support, must
// not add series.
func TestSeriesDoNotGrowWithWorkspaces(t *testing.T) {
	const workspaces, bound = 16_000, 200
	set := metrics.NewSet()
	p := Wrap(memory.NewStore(clock.Real{}).NewClient(), event.Discard{}, clock.Real{}, set)
	for i := range workspaces {
		ctx := event.WithRequest(context.Background(), fmt.Sprint(i))
		_, err := p.Commit(ctx, putTxn(fmt.Sprint("op", i), fmt.Sprint("workspace/", i), 0))
		assert.NilError(t, err)
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	series := bytes.Count(text.Bytes(), []byte("\n"))
	assert.Assert(t, series < bound, "%d series", series)
}
