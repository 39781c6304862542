package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEndpoint reads requests and lets a function of the test write the responses.
// It counts connections and requests.
type fakeEndpoint struct {
	net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

// newFakeEndpoint starts an endpoint that calls respond for each request on a
// connection, and closes the connection once respond returns false.
func newFakeEndpoint(t *testing.T, respond func(c net.Conn, r *http.Request) bool) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &fakeEndpoint{Listener: l}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(c, respond)
		}
	}()
	t.Cleanup(func() {
		assert.NilError(t, l.Close())
		<-stopped
	})
	return e
}

// serve handles the requests of one connection.
func (e *fakeEndpoint) serve(c net.Conn, respond func(c net.Conn, r *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.requests.Add(1)
		if !respond(c, r) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// newPool returns a pool with default settings that is closed at the end of the
// test.
func newPool(t *testing.T) *upstream.Pool {
	p := upstream.NewPool(upstream.DefaultSettings(), clock.Real{}, metrics.NewSet())
	t.Cleanup(p.Close)
	return p
}

// idOf returns the request id of a response.
func idOf(h http.Header) string { return h.Get("Id") }

func getRequest(id string) *upstream.Request {
	return &upstream.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
}

// exchange sends a request, waits at most timeout for the response head, and returns
// the body.
func exchange(pool *upstream.Pool, addr string, r *upstream.Request, timeout time.Duration) (string, error) {
	resp, err := pool.Do(context.Background(), addr, r, time.Now().Add(timeout), idOf)
	if err != nil {
		return "", err
	}
	defer resp.Finish()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// completeResponse is a response to the request with id "ID".
const completeResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"

// responseFor returns template with the id of the request in place of "ID".
func responseFor(r *http.Request, template string) string {
	return strings.ReplaceAll(template, "ID", r.Header.Get("Id"))
}

// TestConnectionIsReused checks that consecutive exchanges use one connection.
func TestConnectionIsReused(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, completeResponse))
		return err == nil
	})
	pool := newPool(t)
	for i := range 5 {
		body, err := exchange(pool, e.Addr().String(), getRequest(strconv.Itoa(i)), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, e.conns.Load(), int64(1))
}

// TestConnectionIsNotReused checks that after each of these responses the next
// request is sent on a new connection.
func TestConnectionIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"close":        strings.Replace(completeResponse, "Id:", "Connection: close\r\nId:", 1),
		"left over":    completeResponse + "rubbish",
		"extra answer": completeResponse + strings.ReplaceAll(completeResponse, "ID", "other"),
		"no timeout":   strings.Replace(completeResponse, "Id:", "Keep-Alive: timeout=0\r\nId:", 1),
		"no length":    "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
				_, err := io.WriteString(c, responseFor(r, response))
				return err == nil && name != "no length"
			})
			pool := newPool(t)
			for i := range 3 {
				body, err := exchange(pool, e.Addr().String(), getRequest(strconv.Itoa(i)), time.Second)
				assert.NilError(t, err)
				assert.Equal(t, body, "hello")
				assert.Equal(t, e.conns.Load(), int64(i+1))
			}
		})
	}
}

// TestClosedIdleConnectionIsNotReused guards against requests that are sent on a
// connection that the endpoint has closed while it was idle.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, responseFor(r, completeResponse))
		return false
	})
	pool := newPool(t)
	for i := range 3 {
		body, err := exchange(pool, e.Addr().String(), getRequest(strconv.Itoa(i)), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestResponseToEarlierRequestIsSkipped guards against returning a late response to
// an earlier request as the response to the current one.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		lateResponse := strings.ReplaceAll(strings.Replace(completeResponse, "hello", "wrong", 1), "ID", "earlier")
		_, err := io.WriteString(c, lateResponse+responseFor(r, completeResponse))
		return err == nil
	})
	body, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
}

// TestTruncatedResponseIsNeverComplete checks that a response that ends at any byte,
// by a reset or a close, is never returned as complete and never reported as a
// request that was not sent.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, response := range []string{strings.ReplaceAll(completeResponse, "ID", "a"), chunked} {
		var sentBytes atomic.Int64
		e := newFakeEndpoint(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, response[:sentBytes.Load()])
			if tcp, ok := c.(*net.TCPConn); ok && sentBytes.Load()%2 == 0 {
				_ = tcp.SetLinger(0)
			}
			return false
		})
		pool := newPool(t)
		for length := range len(response) {
			sentBytes.Store(int64(length))
			_, err := exchange(pool, e.Addr().String(), getRequest("a"), time.Second)
			assert.Assert(t, err != nil, "whole after %d bytes", length)
			assert.Assert(t, !errors.Is(err, upstream.ErrNotSent), "after %d bytes: %v", length, err)
		}
		sentBytes.Store(int64(len(response)))
		body, err := exchange(pool, e.Addr().String(), getRequest("a"), time.Second)
		assert.Assert(t, err == nil && body == "hello" || errors.Is(err, upstream.ErrBroken), "%q %v", body, err)
	}
}

// TestMalformedResponses checks that invalid responses, and responses to other
// requests, are reported as errors.
func TestMalformedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"no protocol":    "hello\r\n\r\n",
		"bad length":     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: x\r\n\r\nhello",
		"wrong id":       strings.ReplaceAll(completeResponse, "ID", "other"),
		"no id":          strings.ReplaceAll(completeResponse, "Id: ID\r\n", ""),
		"status unclear": "HTTP/1.1 2x0 OK\r\nId: ID\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, responseFor(r, response))
				return false
			})
			_, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), time.Second)
			assert.Assert(t, errors.Is(err, upstream.ErrMalformed) || errors.Is(err, upstream.ErrBroken), "%v", err)
		})
	}
}

// TestBytesWithoutEndAreNotRead guards against an endpoint that sends bytes that are no
// answer until its caller closes the connection: in a line or the lines of a head, in
// interim responses, in the answer to another request, in a chunk or its extension, or
// in a trailer. They would fill the memory, or keep the caller waiting until its
// deadline.
func TestBytesWithoutEndAreNotRead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, response := range map[string]struct{ start, repeat string }{
		"status line":                {"HTTP/1.1 200 ", "OK"},
		"header line":                {head + "X: ", "xxxxxxxx"},
		"header lines":               {head, "X: y\r\n"},
		"no protocol":                {"", "zzzzzzzz"},
		"interim responses":          {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"header of interim response": {"HTTP/1.1 103 Early Hints\r\n", "X: y\r\n"},
		"answer to another request":  {"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":                 {chunked, "0"},
		"chunk extension":            {chunked + "5;", "xxxxxxxx"},
		"trailer":                    {chunked + "0\r\n", "X: y\r\n"},
		"trailer line":               {chunked + "0\r\nX: ", "yyyyyyyy"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newFakeEndpoint(t, func(c net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(c, response.start)
				block := strings.Repeat(response.repeat, 1000)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
				return false
			})
			const deadline = time.Minute
			started := time.Now()
			_, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), deadline)
			assert.Assert(t, errors.Is(err, upstream.ErrMalformed), "%v", err)
			assert.Assert(t, time.Since(started) < deadline, "read until the deadline")
		})
	}
}

// TestBytesAfterResponseEndConnection guards against bytes without end after a complete
// response: the response is delivered, and its connection is not used again.
func TestBytesAfterResponseEndConnection(t *testing.T) {
	closed := make(chan struct{}, 3)
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		// The first surplus bytes come in one segment with the response, so that they
		// have arrived when the response is complete.
		_, err := io.WriteString(c, responseFor(r, completeResponse)+"xxxxx")
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 10_000))
		}
		closed <- struct{}{}
		return false
	})
	pool := newPool(t)
	for i := range 3 {
		body, err := exchange(pool, e.Addr().String(), getRequest(strconv.Itoa(i)), time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, e.conns.Load(), int64(3))
	pool.Close()
	for range 3 {
		<-closed
	}
}

// TestLateBytesReachNoCaller guards against bytes without end that come only when their
// connection is in use again: the next exchange fails, and its caller gets none of them.
func TestLateBytesReachNoCaller(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Id") == "first" {
			_, err := io.WriteString(c, responseFor(r, completeResponse))
			return err == nil
		}
		var err error
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 10_000))
		}
		return false
	})
	pool := newPool(t)
	body, err := exchange(pool, e.Addr().String(), getRequest("first"), time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
	body, err = exchange(pool, e.Addr().String(), getRequest("second"), time.Minute)
	assert.ErrorIs(t, err, upstream.ErrMalformed)
	assert.Equal(t, body, "")
	assert.Equal(t, e.conns.Load(), int64(1))
}

// TestFailedConnectIsNotSent checks that a refused connection is reported as
// ErrNotSent, so that the caller may retry.
func TestFailedConnectIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = exchange(newPool(t), addr, getRequest("a"), time.Second)
	assert.ErrorIs(t, err, upstream.ErrNotSent)
}

// TestSilentEndpointTimesOut checks that an endpoint that sends nothing until the
// deadline of the response head is reported as ErrSilent.
func TestSilentEndpointTimesOut(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	_, err := exchange(newPool(t), e.Addr().String(), getRequest("a"), 30*time.Millisecond)
	assert.ErrorIs(t, err, upstream.ErrSilent)
}

// TestContextEndClosesConnection checks that the end of the context ends the
// exchange and that the endpoint notices the close of the connection.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	e := newFakeEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := newPool(t).Do(ctx, e.Addr().String(), getRequest("a"), time.Now().Add(10*time.Second), idOf)
	assert.Assert(t, err != nil && !errors.Is(err, upstream.ErrNotSent))
	<-closed
}

// TestResponseBeforeBodyIsSent checks that a response that arrives before the
// complete body was sent is returned. It guards against reusing the connection: the
// endpoint would read the next request as the rest of the body.
func TestResponseBeforeBodyIsSent(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, completeResponse))
		time.Sleep(20 * time.Millisecond)
		return err == nil
	})
	pool := newPool(t)
	for range 3 {
		r := getRequest("a")
		r.Method, r.Body = "POST", make([]byte, 64<<20)
		body, err := exchange(pool, e.Addr().String(), r, 5*time.Second)
		if err != nil { // the reset may arrive before the response was read
			assert.ErrorIs(t, err, upstream.ErrBroken)
			continue
		}
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, e.conns.Load(), int64(3))
	assert.Equal(t, e.requests.Load(), int64(3))
}

// TestAtMostOnceAvoidsLongIdleConnections guards against sending a request that can't
// be retried on a connection that was idle for long and may be stale.
func TestAtMostOnceAvoidsLongIdleConnections(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, completeResponse))
		return err == nil
	})
	fake := clock.NewFake(time.Now())
	settings := upstream.DefaultSettings()
	settings.DefaultIdleTimeout, settings.AtMostOnceMaxIdle = 10*time.Second, time.Second
	pool := upstream.NewPool(settings, fake, metrics.NewSet())
	defer pool.Close()
	for i, c := range []struct {
		idle       time.Duration
		atMostOnce bool
		conns      int64
	}{{0, true, 1}, {500 * time.Millisecond, true, 1}, {2 * time.Second, false, 1}, {2 * time.Second, true, 2}, {11 * time.Second, false, 3}} {
		fake.Advance(c.idle)
		r := getRequest(strconv.Itoa(i))
		r.AtMostOnce = c.atMostOnce
		_, err := exchange(pool, e.Addr().String(), r, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, e.conns.Load(), c.conns)
	}
}

// FuzzResponse uses arbitrary bytes as response. The exchange must not panic, the
// status must be valid, and a success must carry the request's id. A failure may lack
// the id.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{strings.ReplaceAll(completeResponse, "ID", "a"), "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "", "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil && r != nil {
				_, _ = server.Write(response)
			}
		}()
		resp, err := upstream.ExchangeOn(client, getRequest("a"), time.Now().Add(time.Second), idOf)
		if err != nil {
			return
		}
		defer resp.Abort()
		assert.Assert(t, resp.Status >= 200 && resp.Status <= 599, "status %d", resp.Status)
		if id := resp.Header.Get("Id"); resp.Status < 300 || id != "" {
			assert.Equal(t, id, "a")
		}
		_, _ = io.ReadAll(resp) // any result without a panic is correct
	})
}

// TestRequestNotNeededIsNotSent guards against a request that reaches an endpoint though it was
// dropped while its connection was made.
func TestRequestNotNeededIsNotSent(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, completeResponse))
		return err == nil
	})
	pool := newPool(t)
	r := getRequest("a")
	notNeeded := errors.New("not needed any more")
	r.OnConnected = func() error { return notNeeded }
	_, err := exchange(pool, e.Addr().String(), r, time.Second)
	assert.ErrorIs(t, err, upstream.ErrNotSent)
	assert.ErrorIs(t, err, notNeeded)
	_, err = exchange(pool, e.Addr().String(), getRequest("b"), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, e.requests.Load(), int64(1))
}
