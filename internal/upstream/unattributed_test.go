package upstream_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/upstream"
)

// refusal declares that the request with id "ID" was not executed.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n"

// withoutID returns a response without its id.
func withoutID(response string) string { return strings.Replace(response, "Id: ID\r\n", "", 1) }

// TestRepeatedFailureWithoutIDIsNotTheResponse guards against a response to an earlier
// request on a connection, written once more without an id, that is taken for the
// response to the request that was just sent.
func TestRepeatedFailureWithoutIDIsNotTheResponse(t *testing.T) {
	for name, earlier := range map[string]string{
		"refusal":          refusal,
		"wrong endpoint":   strings.Replace(refusal, "503 Service Unavailable", "421 Misdirected Request", 1),
		"error":            "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
		"redirect":         "HTTP/1.1 302 Found\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
		"with body length": strings.Replace(refusal, "Length: 0\r\n\r\n", "Length: 4\r\n\r\nfull", 1),
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
				response := responseFor(r, earlier)
				if r.Header.Get("Id") != "first" {
					response = withoutID(earlier) + responseFor(r, completeResponse)
				}
				_, err := io.WriteString(c, response)
				return err == nil
			})
			pool := newPool(t)
			_, err := exchange(pool, e.Addr().String(), getRequest("first"), time.Minute)
			assert.NilError(t, err)
			_, err = exchange(pool, e.Addr().String(), getRequest("second"), time.Minute)
			assert.Assert(t, errors.Is(err, upstream.ErrMalformed), "%v", err)
			assert.Equal(t, e.conns.Load(), int64(1))
			_, err = exchange(pool, e.Addr().String(), getRequest("third"), time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, e.conns.Load(), int64(2), "the connection that can't be trusted is closed")
		})
	}
}

// TestFirstFailureOfConnectionMayLackID checks that a failure without an id is the
// response to the first request on a connection, since there is no earlier one. It also
// may follow interim responses.
func TestFirstFailureOfConnectionMayLackID(t *testing.T) {
	for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		e := newFakeEndpoint(t, func(c net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(c, interim+withoutID(refusal))
			return err == nil
		})
		pool := newPool(t)
		assert.NilError(t, pool.Connect(t.Context(), e.Addr().String()))
		resp, err := pool.Do(t.Context(), e.Addr().String(), getRequest("a"), time.Now().Add(time.Minute), idOf)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		resp.Abort()
	}
}

// TestFailureWithoutIDAfterSkippedResponse guards against a failure without an id that
// follows the response to another request, and is taken for that to the request that
// was sent.
func TestFailureWithoutIDAfterSkippedResponse(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(refusal, "ID", "other")+withoutID(refusal)+responseFor(r, completeResponse))
		return err == nil
	})
	_, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), time.Minute)
	assert.Assert(t, errors.Is(err, upstream.ErrMalformed), "%v", err)
}

// TestRepeatedRefusalWithIDsIsSkipped guards against a refusal of an earlier request,
// repeated with its id before or after the response to the next, that ends the next one.
func TestRepeatedRefusalWithIDsIsSkipped(t *testing.T) {
	for name, order := range map[string]func(own, earlier string) string{
		"before": func(own, earlier string) string { return earlier + own },
		"after":  func(own, earlier string) string { return own + earlier },
		"both":   func(own, earlier string) string { return earlier + own + earlier },
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
				_, err := io.WriteString(c, order(responseFor(r, completeResponse), strings.ReplaceAll(refusal, "ID", "earlier")))
				return err == nil
			})
			pool := newPool(t)
			for i := range 4 {
				body, err := exchange(pool, e.Addr().String(), getRequest(strconv.Itoa(i)), time.Minute)
				assert.NilError(t, err)
				assert.Equal(t, body, "hello")
			}
		})
	}
}
