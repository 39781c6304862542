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
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/work"
)

// answerFaults are the faults under which an answer must stay whole, and
// whether the naive dispatcher fails under them.
var answerFaults = []struct {
	name   string
	faults standin.EngineFaults
	// naiveSurvives is true for faults that a naive retry gets over.
	naiveSurvives bool
}{
	{name: "late answer of another request", faults: standin.EngineFaults{ReplayEarlierChunks: true}},
	{name: "crossed answers", faults: standin.EngineFaults{InsertForeignChunks: true}},
	{name: "duplicated pieces", faults: standin.EngineFaults{DuplicateChunks: true}},
	{name: "missing pieces", faults: standin.EngineFaults{SkipAfter: 3, SkipTokens: 2}},
	{name: "truncated stream", faults: standin.EngineFaults{TruncateAfter: 5}},
	{name: "truncated before the first token", faults: standin.EngineFaults{TruncateAfter: -1}},
	{name: "wrong id", faults: standin.EngineFaults{WrongID: true}, naiveSurvives: true},
	{name: "broken stream", faults: standin.EngineFaults{BreakAfter: 5}},
	{name: "stall for good", faults: standin.EngineFaults{StallAfter: 5}},
	{name: "stall shorter than the bound", faults: standin.EngineFaults{PauseAfter: 5, PauseFor: 20 * time.Millisecond}, naiveSurvives: true},
	{name: "stall about the bound", faults: standin.EngineFaults{PauseAfter: 5, PauseFor: 100 * time.Millisecond}, naiveSurvives: true},
	{name: "stall longer than the bound", faults: standin.EngineFaults{PauseAfter: 5, PauseFor: time.Second}, naiveSurvives: true},
	{name: "silent from the start", faults: standin.EngineFaults{Hang: true}},
	{name: "slow first token", faults: standin.EngineFaults{FirstTokenDelay: time.Second}, naiveSurvives: true},
	{name: "refused", faults: standin.EngineFaults{Refuse: true}, naiveSurvives: true},
}

// TestAnswersStayWhole has two of three engines fail in every way; each caller
// gets the whole answer to its own request, is billed once, and waits for no
// silent engine.
func TestAnswersStayWhole(t *testing.T) {
	const requests = 8
	for _, c := range answerFaults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 0, fastEngines(3)...)
			b.setFaults(2, c.faults)
			n := b.node(quickOptions())
			each(requests, func(i int) {
				prompt := fmt.Sprintf("Summarise bin %d of %s.", i, c.name)
				g := newGeneration(fmt.Sprint("request-", i), prompt, 30, 20*time.Second)
				assertWhole(t, g, prompt, ask(t.Context(), n.dispatch, g))
			})
		})
		t.Run(c.name+" naive", func(t *testing.T) {
			t.Parallel()
			b := newBench(t, 0, fastEngines(3)...)
			b.setFaults(2, c.faults)
			naive, whole := &naiveDispatcher{bench: b}, true
			for i := range 2 {
				g := newGeneration("request", fmt.Sprintf("Summarise bin %d.", i), 30, 2*time.Second)
				a := ask(t.Context(), naive, g)
				whole = whole && a.err == nil && a.text == right(g)
			}
			assert.Equal(t, whole, c.naiveSurvives)
		})
	}
}

// TestFailedAnswersAreHonest runs requests against engines that all fail at
// random: an answer is whole or said to be broken, what arrived is a part of
// the right answer, and "did not run" holds in the engines' own records.
func TestFailedAnswersAreHonest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkHonest(t, seed)
		})
	}
}

func checkHonest(t *testing.T, seed uint64) {
	random := newRandom(t, seed)
	b := newBench(t, 0, fastEngines(3)...)
	for _, e := range b.engines {
		f := answerFaults[random.IntN(len(answerFaults))].faults
		f.ClearAfterRequests = 4 + random.IntN(4)
		e.SetFaults(f)
	}
	o := quickOptions()
	o.dispatch.MaxAttempts = 2
	o.route.RetryFloor = 4
	n := b.node(o)
	refused := 0
	for i := range 24 {
		g := newGeneration(fmt.Sprint("request-", i), fmt.Sprintf("Plan week %d.", i), 20, time.Second)
		a := ask(t.Context(), n.dispatch, g)
		if a.err == nil {
			assert.Equal(t, a.text, right(g))
			continue
		}
		refused++
		assert.Assert(t, strings.HasPrefix(right(g), a.text), "%q is no part of the answer", a.text)
		f := failure.As(a.err)
		assert.Assert(t, f != nil, a.err)
		assert.Assert(t, f.Step != "" && f.Message != "", "%+v", f)
		if f.Ran == failure.RanNo {
			assert.Assert(t, !b.ranAnywhere(n, g.RequestID), "said that it did not run: %v", a.err)
		}
	}
	t.Logf("%d of 24 requests were refused", refused)
}

// TestEngineDies closes an engine in the middle of streams: callers see one
// seamless answer.
func TestEngineDies(t *testing.T) {
	t.Parallel()
	engines := fastEngines(2)
	for i := range engines {
		engines[i].TokenTime = 5 * time.Millisecond
	}
	b := newBench(t, 0, engines...)
	n := b.node(patientOptions())
	go func() {
		b.awaitStream(0)
		b.engines[0].SetFaults(standin.EngineFaults{Refuse: true})
		b.kill(0)
	}()
	resumed := make(chan int, 12)
	each(12, func(i int) {
		prompt := fmt.Sprintf("Rota %d.", i)
		g := newGeneration(fmt.Sprint("request-", i), prompt, 40, 20*time.Second)
		a := ask(t.Context(), n.dispatch, g)
		assertWhole(t, g, prompt, a)
		resumed <- a.outcome.Attempts - 1
	})
	close(resumed)
	total := 0
	for more := range resumed {
		total += more
	}
	assert.Assert(t, total > 0, "no answer was resumed")
}

// TestCallerGone cancels a request in the middle: the engine is told, and
// what the caller received is billed.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	engines := fastEngines(1)
	engines[0].TokenTime = 5 * time.Millisecond
	b := newBench(t, 0, engines...)
	n := b.node(quickOptions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g := newGeneration("request", "A long draft.", 400, 20*time.Second)
	received := int64(0)
	outcome, err := n.dispatch.Generate(ctx, g, func(p work.Piece) error {
		if received += p.Tokens; received == 10 {
			cancel()
		}
		return nil
	})
	assert.Equal(t, failure.CodeOf(err), failure.Canceled)
	assert.Equal(t, failure.As(err).Ran, failure.RanYes)
	assert.Equal(t, outcome.Usage.CompletionTokens, received)
	assert.Equal(t, outcome.Usage.PromptTokens, promptTokens("A long draft."))
	assert.Equal(t, len(n.events.of(event.AttemptCanceled, "request")), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if records := b.engines[0].Records(); records[0].Canceled && !records[0].EndedAt.IsZero() {
			return poll.Success()
		}
		return poll.Continue("the engine still runs")
	})
}

// TestUncountedAnswerIsNotFree has an engine that counts nothing: the pieces
// are counted as they come and the prompt at its bound.
func TestUncountedAnswerIsNotFree(t *testing.T) {
	t.Parallel()
	b := newBench(t, 0, fastEngines(1)...)
	b.setFaults(1, standin.EngineFaults{NoUsage: true})
	g := newGeneration("request", "Summarise bin 1.", 20, 20*time.Second)
	g.MaxPromptTokens = 77
	a := ask(t.Context(), b.node(patientOptions()).dispatch, g)
	assert.NilError(t, a.err)
	assert.Equal(t, a.text, right(g))
	assert.Equal(t, a.outcome.Usage.PromptTokens, int64(77))
	assert.Equal(t, a.outcome.Usage.CompletionTokens, int64(len(strings.Fields(a.text))))
}
