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

// TestStatusBelow100IsNoInterimResponse guards against a status that is none, after which the request waits
// for a response until its deadline.
func TestStatusBelow100IsNoInterimResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+42", "101"} {
		t.Run(status, func(t *testing.T) {
			e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
				_, err := io.WriteString(c, responseFor(r, "HTTP/1.1 "+status+" X\r\nId: ID\r\nContent-Length: 0\r\n\r\n"))
				return err == nil
			})
			_, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), time.Second)
			assert.ErrorIs(t, err, upstream.ErrMalformed)
		})
	}
}

// TestInterimResponsesAreSkipped guards against an interim response that counts as malformed.
func TestInterimResponsesAreSkipped(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n"+completeResponse))
		return err == nil
	})
	body, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
}
