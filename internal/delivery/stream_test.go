package delivery

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// BenchmarkStream passes on the tokens of an engine that sends all of them at
// once; the engine's part is a copy of prepared bytes.
func BenchmarkStream(b *testing.B) {
	const tokens = 512
	var stream bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&stream, `data: {"id":"chatcmpl-ID","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", benchModel, i+1, i+10)
	}
	stream.WriteString(`data: {"id":"chatcmpl-ID","choices":[{"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	bench := newBench(b, 0)
	bench.addEndpoint(catalog.Endpoint{Name: "engine-1", Models: []string{benchModel}, URL: bench.serve(httptest.NewServer(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				io.WriteString(w, "{}")
				return
			}
			io.Copy(io.Discard, r.Body)
			w.Write(bytes.ReplaceAll(stream.Bytes(), []byte("ID"), []byte(r.Header.Get(engine.RequestIDHeader))))
		})))})
	n := bench.node(quickOptions())
	for b.Loop() {
		if a := ask(b.Context(), n.dispatch, newGeneration("request", "Bin 7?", tokens, time.Minute)); a.err != nil {
			b.Fatal(a.err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
