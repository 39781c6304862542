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

// BenchmarkStream measures the time per token to forward the stream of an engine that
// sends all tokens at once. The engine only copies prepared bytes.
func BenchmarkStream(b *testing.B) {
	const tokens = 512
	var stream bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&stream, `data: {"id":"chatcmpl-ID","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n", testModel, i+1, i+10)
	}
	stream.WriteString(`data: {"id":"chatcmpl-ID","choices":[{"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	bed := newTestbed(b, 0)
	bed.addEndpoint(catalog.Endpoint{Name: "engine-1", Models: []string{testModel}, URL: bed.addServer(httptest.NewServer(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				io.WriteString(w, "{}")
				return
			}
			io.Copy(io.Discard, r.Body)
			w.Write(bytes.ReplaceAll(stream.Bytes(), []byte("ID"), []byte(r.Header.Get(engine.RequestIDHeader))))
		})))})
	router := bed.startRouter(shortTimeoutOptions())
	for b.Loop() {
		if result := generate(b.Context(), router.dispatcher, newGeneration("request", "Bin 7?", tokens, time.Minute)); result.err != nil {
			b.Fatal(result.err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
