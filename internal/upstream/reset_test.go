package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/upstream"
)

// uploadRequest is a request that is still being written when its response begins.
func uploadRequest(id string) *upstream.Request {
	r := getRequest(id)
	r.Method, r.Body = http.MethodPost, make([]byte, 3<<20)
	return r
}

// unframedHead begins a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\n\r\n"

// answerEarly writes a response before the body of the request is read.
func answerEarly(c net.Conn, r *http.Request, body string) {
	_, _ = io.WriteString(c, responseFor(r, unframedHead)+body)
}

// TestPartBeforeResetIsNotComplete guards against a body without a length that counts as complete since the
// write of the request, and not the read, was told that the connection was reset.
func TestPartBeforeResetIsNotComplete(t *testing.T) {
	ways := map[string]func(c net.Conn, delay time.Duration){
		"reset": func(c net.Conn, delay time.Duration) {
			time.Sleep(delay)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"closed with unread bytes": func(_ net.Conn, delay time.Duration) { time.Sleep(delay) },
	}
	for name, end := range ways {
		t.Run(name, func(t *testing.T) {
			var delay atomic.Int64
			e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
				answerEarly(c, r, string(make([]byte, 3000)))
				end(c, time.Duration(delay.Add(1)%22)*time.Millisecond)
				return false
			})
			pool := newPool(t)
			var running sync.WaitGroup
			for range 8 {
				running.Go(func() {
					for range 40 {
						body, err := exchange(pool, e.Addr().String(), uploadRequest("u"), 5*time.Second)
						assert.Check(t, errors.Is(err, upstream.ErrBroken), "a part of %d bytes, %v", len(body), err)
					}
				})
			}
			running.Wait()
		})
	}
}

// TestEarlyResponseWithoutLengthIsComplete guards against sound endpoints, which end their side before the request is
// read, whose responses count as broken off.
func TestEarlyResponseWithoutLengthIsComplete(t *testing.T) {
	ways := map[string]func(c *net.TCPConn, body io.Reader){
		"reads on": func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		},
		"reads on later": func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, body)
		},
		"resets later": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	}
	for name, end := range ways {
		for i := range 20 {
			t.Run(fmt.Sprintf("%s, %d", name, i), func(t *testing.T) {
				e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
					answerEarly(c, r, "hello")
					end(c.(*net.TCPConn), r.Body)
					return false
				})
				pool := newPool(t)
				for range 2 {
					body, err := exchange(pool, e.Addr().String(), uploadRequest("u"), 5*time.Second)
					assert.NilError(t, err)
					assert.Equal(t, body, "hello")
				}
				assert.Equal(t, e.conns.Load(), int64(2), "the connection was used again")
			})
		}
	}
}
