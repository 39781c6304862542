package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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

// peer is an endpoint that reads requests and writes what it is told to.
type peer struct {
	net.Listener
	conns atomic.Int64
	heads atomic.Int64
}

// newPeer starts a peer that calls answer for each request on a connection,
// until that reports false.
func newPeer(t *testing.T, answer func(c net.Conn, r *http.Request) bool) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &peer{Listener: l}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(c, answer)
		}
	}()
	t.Cleanup(func() {
		assert.NilError(t, l.Close())
		<-ended
	})
	return p
}

func (p *peer) serve(c net.Conn, answer func(c net.Conn, r *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.heads.Add(1)
		if !answer(c, r) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

func newPool(t *testing.T) *upstream.Pool {
	p := upstream.NewPool(upstream.DefaultSettings(), clock.Real{}, metrics.NewSet())
	t.Cleanup(p.Close)
	return p
}

func idOf(h http.Header) string { return h.Get("Id") }

func get(id string) *upstream.Request {
	return &upstream.Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
}

// exchange makes one exchange and returns the body.
func exchange(p *upstream.Pool, addr string, r *upstream.Request, wait time.Duration) (string, error) {
	a, err := p.Do(context.Background(), addr, r, time.Now().Add(wait), idOf)
	if err != nil {
		return "", err
	}
	defer a.Finish()
	body, err := io.ReadAll(a)
	return string(body), err
}

const whole = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"

// message returns the answer for a request, with its id.
func message(r *http.Request, text string) string {
	return strings.ReplaceAll(text, "ID", r.Header.Get("Id"))
}

func TestConnectionIsKept(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, message(r, whole))
		return err == nil
	})
	pool := newPool(t)
	for range 5 {
		body, err := exchange(pool, p.Addr().String(), get("a"), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, p.conns.Load(), int64(1))
}

// TestConnectionIsNotKept: after each of these answers the next request needs a
// new connection.
func TestConnectionIsNotKept(t *testing.T) {
	for name, text := range map[string]string{
		"close":        strings.Replace(whole, "Id:", "Connection: close\r\nId:", 1),
		"left over":    whole + "rubbish",
		"extra answer": whole + strings.ReplaceAll(whole, "ID", "other"),
		"no timeout":   strings.Replace(whole, "Id:", "Keep-Alive: timeout=0\r\nId:", 1),
		"no length":    "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, r *http.Request) bool {
				_, err := io.WriteString(c, message(r, text))
				return err == nil && name != "no length"
			})
			pool := newPool(t)
			for i := range 3 {
				body, err := exchange(pool, p.Addr().String(), get("a"), time.Second)
				assert.NilError(t, err)
				assert.Equal(t, body, "hello")
				assert.Equal(t, p.conns.Load(), int64(i+1))
			}
		})
	}
}

// TestIdleClosedByPeer: a connection that the endpoint closed while it was idle
// is not taken again.
func TestIdleClosedByPeer(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, message(r, whole))
		return false
	})
	pool := newPool(t)
	for range 3 {
		body, err := exchange(pool, p.Addr().String(), get("a"), time.Second)
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLateAnswerIsSkipped: an answer to an earlier request is not taken for the
// one that is due.
func TestLateAnswerIsSkipped(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r *http.Request) bool {
		late := strings.ReplaceAll(strings.Replace(whole, "hello", "wrong", 1), "ID", "earlier")
		_, err := io.WriteString(c, late+message(r, whole))
		return err == nil
	})
	body, err := exchange(newPool(t), p.Addr().String(), get("a"), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
}

// TestResetBetweenAnyTwoBytes: an answer that is cut anywhere is never whole,
// and never said not to have been sent.
func TestResetBetweenAnyTwoBytes(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, text := range []string{strings.ReplaceAll(whole, "ID", "a"), chunked} {
		var cut atomic.Int64
		p := newPeer(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, text[:cut.Load()])
			if tcp, ok := c.(*net.TCPConn); ok && cut.Load()%2 == 0 {
				_ = tcp.SetLinger(0)
			}
			return false
		})
		pool := newPool(t)
		for n := range len(text) {
			cut.Store(int64(n))
			_, err := exchange(pool, p.Addr().String(), get("a"), time.Second)
			assert.Assert(t, err != nil, "whole after %d bytes", n)
			assert.Assert(t, !errors.Is(err, upstream.ErrNotSent), "after %d bytes: %v", n, err)
		}
		cut.Store(int64(len(text)))
		body, err := exchange(pool, p.Addr().String(), get("a"), time.Second)
		assert.Assert(t, err == nil && body == "hello" || errors.Is(err, upstream.ErrBroken), "%q %v", body, err)
	}
}

func TestMalformedAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"no protocol":    "hello\r\n\r\n",
		"bad length":     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: x\r\n\r\nhello",
		"wrong id":       strings.ReplaceAll(whole, "ID", "other"),
		"no id":          strings.ReplaceAll(whole, "Id: ID\r\n", ""),
		"status unclear": "HTTP/1.1 2x0 OK\r\nId: ID\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, message(r, text))
				return false
			})
			_, err := exchange(newPool(t), p.Addr().String(), get("a"), time.Second)
			assert.Assert(t, errors.Is(err, upstream.ErrMalformed) || errors.Is(err, upstream.ErrBroken), "%v", err)
		})
	}
}

func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = exchange(newPool(t), addr, get("a"), time.Second)
	assert.ErrorIs(t, err, upstream.ErrNotSent)
}

func TestSilence(t *testing.T) {
	p := newPeer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	_, err := exchange(newPool(t), p.Addr().String(), get("a"), 30*time.Millisecond)
	assert.ErrorIs(t, err, upstream.ErrSilent)
}

// TestContextEndsExchange: the endpoint sees the connection close.
func TestContextEndsExchange(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := newPool(t).Do(ctx, p.Addr().String(), get("a"), time.Now().Add(10*time.Second), idOf)
	assert.Assert(t, err != nil && !errors.Is(err, upstream.ErrNotSent))
	<-closed
}

// TestEarlyAnswer: an answer that comes before the body is sent is passed on,
// and the connection gets no other bytes where the rest of the body is due.
func TestEarlyAnswer(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, message(r, whole))
		time.Sleep(20 * time.Millisecond)
		return err == nil
	})
	pool := newPool(t)
	for range 3 {
		r := get("a")
		r.Method, r.Body = "POST", make([]byte, 64<<20)
		body, err := exchange(pool, p.Addr().String(), r, 5*time.Second)
		if err != nil { // the reset may overtake the answer
			assert.ErrorIs(t, err, upstream.ErrBroken)
			continue
		}
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, p.conns.Load(), int64(3))
	assert.Equal(t, p.heads.Load(), int64(3))
}

// TestOnceTakesFreshConnections: a request that must not be lost does not go on
// a connection that was idle for long.
func TestOnceTakesFreshConnections(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, message(r, whole))
		return err == nil
	})
	fake := clock.NewFake(time.Now())
	settings := upstream.DefaultSettings()
	settings.DefaultIdleTimeout, settings.AtMostOnceMaxIdle = 10*time.Second, time.Second
	pool := upstream.NewPool(settings, fake, metrics.NewSet())
	defer pool.Close()
	once := get("a")
	once.AtMostOnce = true
	for _, c := range []struct {
		idle  time.Duration
		r     *upstream.Request
		conns int64
	}{{0, once, 1}, {500 * time.Millisecond, once, 1}, {2 * time.Second, get("a"), 1}, {2 * time.Second, once, 2}, {11 * time.Second, get("a"), 3}} {
		fake.Advance(c.idle)
		_, err := exchange(pool, p.Addr().String(), c.r, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, p.conns.Load(), c.conns)
	}
}

// FuzzAnswer feeds any bytes as an answer: no panic, a status that HTTP has, and
// a success only with the request's id. Failures may lack it.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{strings.ReplaceAll(whole, "ID", "a"), "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "", "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil && r != nil {
				_, _ = server.Write(answer)
			}
		}()
		a, err := upstream.ExchangeOn(client, get("a"), time.Now().Add(time.Second), idOf)
		if err != nil {
			return
		}
		defer a.Abort()
		assert.Assert(t, a.Status >= 200 && a.Status <= 599, "status %d", a.Status)
		if id := a.Header.Get("Id"); a.Status < 300 || id != "" {
			assert.Equal(t, id, "a")
		}
		_, _ = io.ReadAll(a) // any outcome is right that does not panic
	})
}
