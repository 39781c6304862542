package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyslip.dev/daisyslip/internal/engine"
)

// messageTokens is the number of tokens that frame a message.
const messageTokens = 4

// generation is one attempt that runs on a stand-in engine.
type generation struct {
	engine       *Engine
	request      engine.ChatRequest
	id           string
	record       *AttemptRecord
	seed         uint64
	promptTokens int
	blocks       []uint64
	start        int // tokens that the final message holds already
	length       int // tokens of the whole answer
	admitted     bool
	pending      strings.Builder // text of a whole answer
}

func newGeneration(e *Engine, req engine.ChatRequest, id string) *generation {
	prompt, start := req.Messages, 0
	if req.ContinueFinalMessage && len(prompt) > 0 {
		start = countTokens(prompt[len(prompt)-1])
		prompt = prompt[:len(prompt)-1]
	}
	raw := engine.PromptBytes(prompt)
	g := &generation{
		engine:  e,
		request: req,
		id:      id,
		seed:    xxhash.Sum64(raw),
		blocks:  engine.PrefixBlocks(req.Model, raw, engine.BlockBytes, engine.MaxBlocks),
		start:   start,
	}
	for _, m := range prompt {
		g.promptTokens += countTokens(m) + messageTokens
	}
	g.promptTokens += start
	g.length = ResponseTokens(g.seed, start+int(req.MaxTokens))
	g.record = &AttemptRecord{
		RequestID:     id,
		Model:         req.Model,
		PromptTokens:  g.promptTokens,
		ResumedTokens: start,
		StartedAt:     time.Now(),
		Priority:      req.Priority,
	}
	return g
}

// countTokens counts the words of a message.
func countTokens(m engine.Message) int {
	var text string
	if err := json.Unmarshal(m.Content, &text); err != nil {
		text = string(m.Content)
	}
	return len(strings.Fields(text))
}

// AnswerTokens returns the length of the answer to a prompt with this seed:
// between half of the maximum and the maximum.
func ResponseTokens(seed uint64, maximum int) int {
	if maximum <= 1 {
		return maximum
	}
	half := maximum / 2
	return half + int(seed%uint64(maximum-half)) + 1
}

// AnswerWord returns the i-th token of the answer to a prompt with this seed.
func ResponseWord(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", (seed>>(uint(i%4)*8)^uint64(i)*0x9e37)&0xffff)
}

// AnswerTo returns the whole answer that a stand-in engine gives to messages,
// for checks of what a caller received.
func ResponseText(messages []engine.Message, maximum int) string {
	seed := xxhash.Sum64(engine.PromptBytes(messages))
	var text strings.Builder
	for i := range ResponseTokens(seed, maximum) {
		text.WriteString(ResponseWord(seed, i))
	}
	return text.String()
}

// run generates the answer and writes it to w.
func (g *generation) run(ctx context.Context, w http.ResponseWriter, f EngineFaults) {
	if g.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	for i := g.start; i < g.length; i++ {
		pause(ctx, g.engine.tokenTime(g.engine.Faults()))
		if ctx.Err() != nil {
			g.note(func(r *AttemptRecord) { r.Canceled = true })
			return
		}
		if !g.emit(ctx, w, i, f) {
			return
		}
	}
	g.note(func(r *AttemptRecord) { r.Completed = true })
	g.finish(w)
}

// emit writes token i; it returns false if a fault ended the stream.
func (g *generation) emit(ctx context.Context, w http.ResponseWriter, i int, f EngineFaults) bool {
	done := i - g.start
	switch {
	case f.StallAfter > 0 && done >= f.StallAfter:
		<-ctx.Done()
		g.note(func(r *AttemptRecord) { r.Canceled = true })
		return false
	case f.TruncateAfter < 0, f.TruncateAfter > 0 && done >= f.TruncateAfter:
		return false
	case f.BreakAfter > 0 && done >= f.BreakAfter:
		panic(http.ErrAbortHandler)
	}
	if f.PauseAfter > 0 && done == f.PauseAfter {
		pause(ctx, f.PauseFor)
	}
	g.note(func(r *AttemptRecord) { r.GeneratedTokens++ })
	if f.SkipTokens > 0 && done >= f.SkipAfter && done < f.SkipAfter+f.SkipTokens {
		return true
	}
	word := ResponseWord(g.seed, i)
	if !g.request.Stream {
		g.pending.WriteString(word)
		return true
	}
	if f.ReplayEarlierChunks && done < 3 {
		g.send(w, g.chunk("earlier-"+g.id, "late ", nil, done+1))
	}
	if f.InsertForeignChunks && done%3 == 1 {
		g.send(w, g.chunk("someone-else", "crossed ", nil, done))
	}
	chunk := g.chunk(g.tag(f), word, nil, done+1)
	g.send(w, chunk)
	if f.DuplicateChunks {
		g.send(w, chunk)
	}
	return true
}

// tag returns the id with which pieces are tagged.
func (g *generation) tag(f EngineFaults) string {
	if f.WrongID {
		return "wrong-" + g.id
	}
	return g.id
}

// finish writes the end of the answer.
func (g *generation) finish(w http.ResponseWriter) {
	reason := "stop"
	if int64(g.length-g.start) >= g.request.MaxTokens {
		reason = "length"
	}
	f := g.engine.Faults()
	if !g.request.Stream {
		answer := g.chunk(g.tag(f), "", &reason, g.length-g.start)
		answer.Object = engine.ObjectCompletion
		answer.Choices[0].Delta = nil
		answer.Choices[0].Message = &engine.Delta{Role: "assistant", Content: g.pending.String()}
		writeJSON(w, http.StatusOK, answer)
		return
	}
	g.send(w, g.chunk(g.tag(f), "", &reason, g.length-g.start))
	fmt.Fprintf(w, "data: %s\n\n", engine.StreamEndMarker)
	flush(w)
}

func (g *generation) chunk(id, text string, reason *string, generated int) engine.Chunk {
	return engine.Chunk{
		ID:      engine.ResponseIDPrefix + id,
		Object:  engine.ObjectChunk,
		Created: g.record.StartedAt.Unix(),
		Model:   g.request.Model,
		Choices: []engine.Choice{{Delta: &engine.Delta{Content: text}, FinishReason: reason}},
		Usage: &engine.Usage{
			PromptTokens:     int64(g.promptTokens),
			CompletionTokens: int64(generated),
			TotalTokens:      int64(g.promptTokens + generated),
		},
	}
}

func (g *generation) send(w http.ResponseWriter, chunk engine.Chunk) {
	if g.engine.Faults().NoUsage {
		chunk.Usage = nil
	}
	fmt.Fprintf(w, "data: %s\n\n", marshal(chunk))
	flush(w)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// note changes the record under the engine's lock.
func (g *generation) note(change func(*AttemptRecord)) {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	change(g.record)
}
