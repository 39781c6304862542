package delivery

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/requests"
	"daisyslip.dev/daisyslip/internal/standin"
)

// engineFaultCases are the engine faults under which callers must still get complete
// responses.
var engineFaultCases = []struct {
	name   string
	faults standin.EngineFaults
	// naiveSucceeds reports whether naiveDispatcher also delivers complete
	// responses under the faults.
	naiveSucceeds bool
}{
	{name: "late answer of another request", faults: standin.EngineFaults{ReplayEarlierChunks: true}},
	{name: "crossed answers", faults: standin.EngineFaults{InsertForeignChunks: true}},
	{name: "duplicated pieces", faults: standin.EngineFaults{DuplicateChunks: true}},
	{name: "missing pieces", faults: standin.EngineFaults{SkipAfter: 3, SkipTokens: 2}},
	{name: "truncated stream", faults: standin.EngineFaults{TruncateAfter: 5}},
	{name: "truncated before the first token", faults: standin.EngineFaults{TruncateAfter: -1}},
	{name: "wrong id", faults: standin.EngineFaults{WrongID: true}, naiveSucceeds: true},
	{name: "broken stream", faults: standin.EngineFaults{BreakAfter: 5}},
	{name: "stall for good", faults: standin.EngineFaults{StallAfter: 5}},
	{name: "stall shorter than the bound", faults: standin.EngineFaults{PauseAfter: 5, PauseFor: 20 * time.Millisecond}, naiveSucceeds: true},
	{name: "stall about the bound", faults: standin.EngineFaults{PauseAfter: 5, PauseFor: 100 * time.Millisecond}, naiveSucceeds: true},
	{name: "stall longer than the bound", faults: standin.EngineFaults{PauseAfter: 5, PauseFor: time.Second}, naiveSucceeds: true},
	{name: "silent from the start", faults: standin.EngineFaults{Hang: true}},
	{name: "slow first token", faults: standin.EngineFaults{FirstTokenDelay: time.Second}, naiveSucceeds: true},
	{name: "refused", faults: standin.EngineFaults{Refuse: true}, naiveSucceeds: true},
}

// TestResponsesStayCompleteUnderEngineFaults applies each fault to two of three
// engines. Every caller must get the complete response to its own request before its
// deadline, and the reported usage must count each token once. The naive dispatcher
// runs under the same faults, to show which of them it fails under.
func TestResponsesStayCompleteUnderEngineFaults(t *testing.T) {
	const requests = 8
	for _, c := range engineFaultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 0, fastEngines(3)...)
			b.setEngineFaults(2, c.faults)
			router := b.startRouter(shortTimeoutOptions())
			runConcurrently(requests, func(i int) {
				prompt := fmt.Sprintf("Summarise bin %d of %s.", i, c.name)
				g := newGeneration(fmt.Sprint("request-", i), prompt, 30, 20*time.Second)
				assertComplete(t, g, prompt, generate(t.Context(), router.dispatcher, g))
			})
		})
		t.Run(c.name+" naive", func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 0, fastEngines(3)...)
			b.setEngineFaults(2, c.faults)
			naive, complete := &naiveDispatcher{testbed: b}, true
			for i := range 2 {
				g := newGeneration("request", fmt.Sprintf("Summarise bin %d.", i), 30, 2*time.Second)
				result := generate(t.Context(), naive, g)
				complete = complete && result.err == nil && result.text == expectedText(g)
			}
			assert.Equal(t, complete, c.naiveSucceeds)
		})
	}
}

// TestFailuresAreReportedCorrectly sends requests to engines that all fail at random.
// A response must be complete or end with an error, the text received before an error
// must be a prefix of the expected text, and a request reported as not executed must
// not appear in the engines' records.
func TestFailuresAreReportedCorrectly(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkFailureReports(t, seed)
		})
	}
}

// checkFailureReports runs TestFailuresAreReportedCorrectly for one seed.
func checkFailureReports(t *testing.T, seed uint64) {
	random := newRandom(t, seed)
	b := newTestbed(t, 0, fastEngines(3)...)
	for _, engine := range b.engines {
		f := engineFaultCases[random.IntN(len(engineFaultCases))].faults
		f.ClearAfterRequests = 4 + random.IntN(4)
		engine.SetFaults(f)
	}
	o := shortTimeoutOptions()
	o.dispatch.MaxAttempts = 2
	o.balancer.RetryFloor = 4
	router := b.startRouter(o)
	failures := 0
	for i := range 24 {
		g := newGeneration(fmt.Sprint("request-", i), fmt.Sprintf("Plan week %d.", i), 20, time.Second)
		result := generate(t.Context(), router.dispatcher, g)
		if result.err == nil {
			assert.Equal(t, result.text, expectedText(g))
			continue
		}
		failures++
		assert.Assert(t, strings.HasPrefix(expectedText(g), result.text), "%q is not a prefix of the expected text", result.text)
		f := failure.As(result.err)
		assert.Assert(t, f != nil, result.err)
		assert.Assert(t, f.Step != "" && f.Message != "", "%+v", f)
		if f.Ran == failure.RanNo {
			assert.Assert(t, !b.executedAnywhere(router, g.RequestID), "reported as not executed: %v", result.err)
		}
	}
	t.Logf("%d of 24 requests failed", failures)
}

// TestStreamsResumeAfterEngineDies breaks the connections of an engine in the middle
// of its streams and lets it refuse new requests. The streams must resume at the other
// engine, and callers must get complete responses.
func TestStreamsResumeAfterEngineDies(t *testing.T) {
	t.Parallel()
	engines := fastEngines(2)
	for i := range engines {
		engines[i].TokenTime = 5 * time.Millisecond
	}
	b := newTestbed(t, 0, engines...)
	router := b.startRouter(longTimeoutOptions())
	go func() {
		b.waitForStream(0)
		b.engines[0].SetFaults(standin.EngineFaults{Refuse: true})
		b.closeConnections(0)
	}()
	resumed := make(chan int, 12)
	runConcurrently(12, func(i int) {
		prompt := fmt.Sprintf("Rota %d.", i)
		g := newGeneration(fmt.Sprint("request-", i), prompt, 40, 20*time.Second)
		result := generate(t.Context(), router.dispatcher, g)
		assertComplete(t, g, prompt, result)
		resumed <- result.outcome.Attempts - 1
	})
	close(resumed)
	totalResumes := 0
	for resumes := range resumed {
		totalResumes += resumes
	}
	assert.Assert(t, totalResumes > 0, "no response was resumed")
}

// TestDisconnectedCallerCancelsAttempt cancels a request in the middle of its stream.
// The attempt at the engine must be canceled, and the usage must count the prompt and
// the tokens that the caller received.
func TestDisconnectedCallerCancelsAttempt(t *testing.T) {
	t.Parallel()
	engines := fastEngines(1)
	engines[0].TokenTime = 5 * time.Millisecond
	b := newTestbed(t, 0, engines...)
	router := b.startRouter(shortTimeoutOptions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g := newGeneration("request", "A long draft.", 400, 20*time.Second)
	received := int64(0)
	outcome, err := router.dispatcher.Generate(ctx, g, func(p requests.Piece) error {
		if received += p.Tokens; received == 10 {
			cancel()
		}
		return nil
	})
	assert.Equal(t, failure.CodeOf(err), failure.Canceled)
	assert.Equal(t, failure.As(err).Ran, failure.RanYes)
	assert.Equal(t, outcome.Usage.CompletionTokens, received)
	assert.Equal(t, outcome.Usage.PromptTokens, countPromptTokens("A long draft."))
	assert.Equal(t, len(router.events.ofKind(event.AttemptCanceled, "request")), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if records := b.engines[0].Records(); records[0].Canceled && !records[0].EndedAt.IsZero() {
			return poll.Success()
		}
		return poll.Continue("the engine still runs")
	})
}

// TestResponseWithoutUsageIsBilled uses an engine that reports no token counts. The
// tokens of the pieces must be counted as they arrive, and the prompt must count as
// the upper bound of its tokens.
func TestResponseWithoutUsageIsBilled(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, 0, fastEngines(1)...)
	b.setEngineFaults(1, standin.EngineFaults{NoUsage: true})
	g := newGeneration("request", "Summarise bin 1.", 20, 20*time.Second)
	g.MaxPromptTokens = 77
	result := generate(t.Context(), b.startRouter(longTimeoutOptions()).dispatcher, g)
	assert.NilError(t, result.err)
	assert.Equal(t, result.text, expectedText(g))
	assert.Equal(t, result.outcome.Usage.PromptTokens, int64(77))
	assert.Equal(t, result.outcome.Usage.CompletionTokens, int64(len(strings.Fields(result.text))))
}
