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

// FuzzEngineStream has an engine answer with any bytes, in which ID stands
// for the attempt's id: an answer is taken for whole only if it has a finish
// reason and the end marker, and never holds another attempt's text.
func FuzzEngineStream(f *testing.F) {
	piece := `data: {"id":"chatcmpl-ID","choices":[{"delta":{"content":"a "}}],"usage":{"prompt_tokens":5,"completion_tokens":1}}` + "\n\n"
	finish := `data: {"id":"chatcmpl-ID","choices":[{"finish_reason":"stop"}]}` + "\n\n"
	f.Add([]byte(piece + finish + "data: [DONE]\n\n"))
	f.Add([]byte(strings.ReplaceAll(piece, "ID", "other") + finish))
	f.Add([]byte(`data: {"id":"chatcmpl-ID","choices":[{"delta":null}],"usage":{"completion_tokens":-9}}` + "\n\n"))
	f.Add([]byte(`data: {"id":"chatcmpl-ID","usage":null}` + "\n\ndata: {\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		b := newBench(t, 0)
		b.addEndpoint(catalog.Endpoint{Name: "engine-1", Models: []string{benchModel}, URL: b.serve(httptest.NewServer(
			http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					io.WriteString(w, "{}")
					return
				}
				io.Copy(io.Discard, r.Body)
				w.Write(bytes.ReplaceAll(stream, []byte("ID"), []byte(r.Header.Get(engine.RequestIDHeader))))
			})))})
		o := quickOptions()
		o.dispatch.MaxAttempts = 1
		a := ask(t.Context(), b.node(o).dispatch, newGeneration("request", "Bin 7?", 8, 5*time.Second))
		assert.Assert(t, a.outcome.Usage.CompletionTokens >= 0 && a.outcome.Usage.PromptTokens >= 0, "%+v", a.outcome)
		if a.err != nil {
			assert.Assert(t, failure.As(a.err) != nil, a.err)
			return
		}
		full := a.outcome.Usage.CompletionTokens >= 8
		assert.Assert(t, full || bytes.Contains(stream, []byte(engine.StreamEndMarker)))
		assert.Assert(t, full || a.outcome.FinishReason != "")
	})
}
