package upstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/upstream"
)

// TestLineBreaksAreNotSent guards against a value that adds a header or a request to the
// one that is sent.
func TestLineBreaksAreNotSent(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, completeResponse))
		return err == nil
	})
	pool := newPool(t)
	for _, odd := range []string{"4\r\nTenant: other", "4\nTenant: other", "4\rTenant: other", "4\x00"} {
		for name, set := range map[string]func(*upstream.Request){
			"value":  func(r *upstream.Request) { r.Header["Last-Event-Id"] = []string{"1", odd} },
			"name":   func(r *upstream.Request) { r.Header[odd] = []string{"1"} },
			"host":   func(r *upstream.Request) { r.Host = odd },
			"target": func(r *upstream.Request) { r.Target = "/" + odd },
			"method": func(r *upstream.Request) { r.Method = odd },
		} {
			r := getRequest("a")
			set(r)
			_, err := exchange(pool, e.Addr().String(), r, time.Minute)
			assert.ErrorIs(t, err, upstream.ErrNotSent, "%s %q", name, odd)
		}
	}
	assert.Equal(t, e.requests.Load(), int64(0))
}
