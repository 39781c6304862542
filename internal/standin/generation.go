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

// tokensPerMessageFrame is the number of prompt tokens that each message costs
// beyond its words.
const tokensPerMessageFrame = 4

// generation is one attempt on a stand-in engine. Only the goroutine of its request
// uses it, except for record, which the engine's mu guards. admitted is true once
// the attempt has a slot.
type generation struct {
	engine         *Engine
	request        engine.ChatRequest
	requestID      string
	record         *AttemptRecord
	seed           uint64
	promptTokens   int
	prefixBlocks   []uint64
	resumedTokens  int // tokens of the final message that is to be continued
	responseTokens int // tokens of the complete response, with resumedTokens
	admitted       bool
	bufferedText   strings.Builder // text of a response that is not streamed
}

// newGeneration returns the generation of a request. The response depends only on the
// messages before a final message that is to be continued and on the sum of that
// message's tokens and max_tokens, so a continued response is the same as an
// uninterrupted one.
func newGeneration(e *Engine, req engine.ChatRequest, requestID string) *generation {
	promptMessages, resumedTokens := req.Messages, 0
	if req.ContinueFinalMessage && len(promptMessages) > 0 {
		resumedTokens = countTokens(promptMessages[len(promptMessages)-1])
		promptMessages = promptMessages[:len(promptMessages)-1]
	}
	promptBytes := engine.PromptBytes(promptMessages)
	g := &generation{
		engine:        e,
		request:       req,
		requestID:     requestID,
		seed:          xxhash.Sum64(promptBytes),
		prefixBlocks:  engine.PrefixBlocks(req.Model, promptBytes, engine.BlockBytes, engine.MaxBlocks),
		resumedTokens: resumedTokens,
	}
	for _, m := range promptMessages {
		g.promptTokens += countTokens(m) + tokensPerMessageFrame
	}
	g.promptTokens += resumedTokens
	g.responseTokens = ResponseTokens(g.seed, resumedTokens+int(req.MaxTokens))
	g.record = &AttemptRecord{
		RequestID:     requestID,
		Model:         req.Model,
		PromptTokens:  g.promptTokens,
		ResumedTokens: resumedTokens,
		StartedAt:     time.Now(),
		Priority:      req.Priority,
	}
	return g
}

// countTokens returns the number of words of a message; a word is a token.
func countTokens(m engine.Message) int {
	var text string
	if err := json.Unmarshal(m.Content, &text); err != nil {
		text = string(m.Content)
	}
	return len(strings.Fields(text))
}

// ResponseTokens returns the number of tokens of the response to a prompt: more than
// half of maxTokens, and at most maxTokens. The seed is the hash of the prompt.
func ResponseTokens(seed uint64, maxTokens int) int {
	if maxTokens <= 1 {
		return maxTokens
	}
	half := maxTokens / 2
	return half + int(seed%uint64(maxTokens-half)) + 1
}

// ResponseWord returns token i, from 0, of the response to a prompt with this seed,
// with a trailing space.
func ResponseWord(seed uint64, i int) string {
	return fmt.Sprintf("w%04x ", (seed>>(uint(i%4)*8)^uint64(i)*0x9e37)&0xffff)
}

// ResponseText returns the complete text with which a stand-in engine responds to
// messages. Tests compare it with what a caller received.
func ResponseText(messages []engine.Message, maxTokens int) string {
	seed := xxhash.Sum64(engine.PromptBytes(messages))
	var text strings.Builder
	for i := range ResponseTokens(seed, maxTokens) {
		text.WriteString(ResponseWord(seed, i))
	}
	return text.String()
}

// generate generates the response token by token and writes it to w. It panics with
// http.ErrAbortHandler if the BreakAfter fault aborts the connection.
func (g *generation) generate(ctx context.Context, w http.ResponseWriter, f EngineFaults) {
	if g.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	for i := g.resumedTokens; i < g.responseTokens; i++ {
		sleep(ctx, g.engine.currentTokenTime(g.engine.Faults()))
		if ctx.Err() != nil {
			g.updateRecord(func(r *AttemptRecord) { r.Canceled = true })
			return
		}
		if !g.writeToken(ctx, w, i, f) {
			return
		}
	}
	g.updateRecord(func(r *AttemptRecord) { r.Completed = true })
	g.writeEnd(w)
}

// writeToken writes token i of the response, or keeps it for a response that is not
// streamed. It returns false if a fault ended the response.
func (g *generation) writeToken(ctx context.Context, w http.ResponseWriter, i int, f EngineFaults) bool {
	generated := i - g.resumedTokens
	switch {
	case f.StallAfter > 0 && generated >= f.StallAfter:
		<-ctx.Done()
		g.updateRecord(func(r *AttemptRecord) { r.Canceled = true })
		return false
	case f.TruncateAfter < 0, f.TruncateAfter > 0 && generated >= f.TruncateAfter:
		return false
	case f.BreakAfter > 0 && generated >= f.BreakAfter:
		panic(http.ErrAbortHandler)
	}
	if f.PauseAfter > 0 && generated == f.PauseAfter {
		sleep(ctx, f.PauseFor)
	}
	g.updateRecord(func(r *AttemptRecord) { r.GeneratedTokens++ })
	if f.SkipTokens > 0 && generated >= f.SkipAfter && generated < f.SkipAfter+f.SkipTokens {
		return true
	}
	word := ResponseWord(g.seed, i)
	if !g.request.Stream {
		g.bufferedText.WriteString(word)
		return true
	}
	if f.ReplayEarlierChunks && generated < 3 {
		g.writeChunk(w, g.newChunk("earlier-"+g.requestID, "late ", nil, generated+1))
	}
	if f.InsertForeignChunks && generated%3 == 1 {
		g.writeChunk(w, g.newChunk("someone-else", "crossed ", nil, generated))
	}
	chunk := g.newChunk(g.taggedID(f), word, nil, generated+1)
	g.writeChunk(w, chunk)
	if f.DuplicateChunks {
		g.writeChunk(w, chunk)
	}
	return true
}

// taggedID returns the request id that the response's chunks carry.
func (g *generation) taggedID(f EngineFaults) string {
	if f.WrongID {
		return "wrong-" + g.requestID
	}
	return g.requestID
}

// writeEnd writes the finish reason and the end marker of a stream, or the whole of
// a response that is not streamed.
func (g *generation) writeEnd(w http.ResponseWriter) {
	finishReason := "stop"
	if int64(g.responseTokens-g.resumedTokens) >= g.request.MaxTokens {
		finishReason = "length"
	}
	f := g.engine.Faults()
	if !g.request.Stream {
		completion := g.newChunk(g.taggedID(f), "", &finishReason, g.responseTokens-g.resumedTokens)
		completion.Object = engine.ObjectCompletion
		completion.Choices[0].Delta = nil
		completion.Choices[0].Message = &engine.Delta{Role: "assistant", Content: g.bufferedText.String()}
		writeJSON(w, http.StatusOK, completion)
		return
	}
	g.writeChunk(w, g.newChunk(g.taggedID(f), "", &finishReason, g.responseTokens-g.resumedTokens))
	fmt.Fprintf(w, "data: %s\n\n", engine.StreamEndMarker)
	flush(w)
}

// newChunk returns a chunk of a stream for the request id, with the usage after the
// given number of generated tokens. finishReason is nil except at the end.
func (g *generation) newChunk(id, text string, finishReason *string, generated int) engine.Chunk {
	return engine.Chunk{
		ID:      engine.ResponseIDPrefix + id,
		Object:  engine.ObjectChunk,
		Created: g.record.StartedAt.Unix(),
		Model:   g.request.Model,
		Choices: []engine.Choice{{Delta: &engine.Delta{Content: text}, FinishReason: finishReason}},
		Usage: &engine.Usage{
			PromptTokens:     int64(g.promptTokens),
			CompletionTokens: int64(generated),
			TotalTokens:      int64(g.promptTokens + generated),
		},
	}
}

// writeChunk writes a chunk as one event of the stream and flushes it.
func (g *generation) writeChunk(w http.ResponseWriter, chunk engine.Chunk) {
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

// updateRecord changes the attempt's record under the engine's mu.
func (g *generation) updateRecord(change func(*AttemptRecord)) {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	change(g.record)
}
