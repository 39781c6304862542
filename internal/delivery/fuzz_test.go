package delivery

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// FuzzEngineStream lets an engine respond with arbitrary bytes, in which ID is replaced
// by the attempt's id. A response may count as complete only if all requested tokens
// arrived, or if the stream has a finish reason and the end marker. Counts of tokens
// must not be negative.
func FuzzEngineStream(f *testing.F) {
	piece := `data: {"id":"chatcmpl-ID","choices":[{"delta":{"content":"a "}}],"usage":{"prompt_tokens":5,"completion_tokens":1}}` + "\n\n"
	finish := `data: {"id":"chatcmpl-ID","choices":[{"finish_reason":"stop"}]}` + "\n\n"
	f.Add([]byte(piece + finish + "data: [DONE]\n\n"))
	f.Add([]byte(strings.ReplaceAll(piece, "ID", "other") + finish))
	f.Add([]byte(`data: {"id":"chatcmpl-ID","choices":[{"delta":null}],"usage":{"completion_tokens":-9}}` + "\n\n"))
	f.Add([]byte(`data: {"id":"chatcmpl-ID","usage":null}` + "\n\ndata: {\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		b := newTestbed(t, 0)
		b.addEndpoint(catalog.Endpoint{Name: "engine-1", Models: []string{testModel}, URL: b.addServer(httptest.NewServer(
			http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					io.WriteString(w, "{}")
					return
				}
				io.Copy(io.Discard, r.Body)
				w.Write(bytes.ReplaceAll(stream, []byte("ID"), []byte(r.Header.Get(engine.RequestIDHeader))))
			})))})
		o := shortTimeoutOptions()
		o.dispatch.MaxAttempts = 1
		result := generate(t.Context(), b.startRouter(o).dispatcher, newGeneration("request", "Bin 7?", 8, 5*time.Second))
		assert.Assert(t, result.outcome.Usage.CompletionTokens >= 0 && result.outcome.Usage.PromptTokens >= 0, "%+v", result.outcome)
		if result.err != nil {
			assert.Assert(t, failure.As(result.err) != nil, result.err)
			return
		}
		reachedMaxTokens := result.outcome.Usage.CompletionTokens >= 8
		assert.Assert(t, reachedMaxTokens || bytes.Contains(stream, []byte(engine.StreamEndMarker)))
		assert.Assert(t, reachedMaxTokens || result.outcome.FinishReason != "")
	})
}
