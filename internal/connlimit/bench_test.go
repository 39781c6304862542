package connlimit_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/connlimit"
)

// BenchmarkRequest compares requests of 9 KB on kept connections with and without a group.
func BenchmarkRequest(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%t", bounded), func(b *testing.B) {
			web := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				assert.Check(b, err)
				assert.Check(b, connlimit.FromContext(r.Context()).BeginServing())
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			if bounded {
				assert.NilError(b, l.Close())
				log, set := slog.New(slog.DiscardHandler), metrics.NewSet()
				g := connlimit.NewGroup("test", connlimit.Bounds{Conns: 100, LargeSends: 100}, bytebudget.New(1<<20, log, set), log, set)
				l, err = g.Listen("127.0.0.1:0")
				assert.NilError(b, err)
				g.Configure(web)
			}
			go func() { _ = web.Serve(l) }() // ends with the listener
			defer web.Close()
			url, body := "http://"+l.Addr().String(), strings.Repeat("x", 9000)
			for b.Loop() {
				response, err := http.Post(url, "text/plain", strings.NewReader(body))
				assert.NilError(b, err)
				assert.NilError(b, response.Body.Close())
			}
		})
	}
}
