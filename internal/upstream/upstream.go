// Package upstream makes exchanges with endpoints over connections that it
// keeps. It never sends anything again by itself, and its errors say whether
// bytes of the request may have reached the endpoint.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request is one request to an endpoint. Its bytes are sent as they are.
type Request struct {
	Method string
	// Target is the request target: path and query as the caller sent them.
	Target string
	Host   string
	// Header is sent but for the framing of the body.
	Header http.Header
	Body   []byte
	// ID is the id that the answer must bear.
	ID string
	// Once says that a request on a connection that turns out to be stale is
	// lost, so that only connections that were in use lately are taken.
	AtMostOnce bool
}

// Errors of exchanges. They are wrapped with the step and the endpoint.
var (
	// ErrNotSent: no byte has left.
	ErrNotSent = errors.New("not sent")
	// ErrBroken: the connection ended before the answer was whole.
	ErrBroken = errors.New("connection broken")
	// ErrMalformed: the endpoint sent what is no answer to this request.
	ErrMalformed = errors.New("malformed answer")
	// ErrSilent: the endpoint sent nothing for too long.
	ErrSilent = errors.New("endpoint silent")
)

// Answer is an endpoint's answer, whose body is read from it.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not told ahead.
	Length int64

	conn     *conn
	response *http.Response
	whole    bool // the body was read to its end
	closing  bool // the connection can't be used again
	// release detaches the exchange's context and reports false if that has
	// ended already.
	release func() bool
}

// maxStatus is the greatest status that HTTP has a class for.
const maxStatus = 599

// maxStale is the number of answers to earlier requests that are skipped.
const maxStale = 4

// Do sends a request and reads the head of its answer. It waits for the head
// until headBy; the exchange ends when ctx does. Exactly one of Finish and
// Abort must follow.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, headBy time.Time, idOf func(http.Header) string) (*Response, error) {
	c, err := p.take(ctx, addr, r.AtMostOnce)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", addr, ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	a := &Response{conn: c, release: stop}
	sent := c.send(r)
	if err := a.readHead(r, headBy, idOf); err != nil {
		a.Abort()
		if errors.Is(err, ErrBroken) && c.nothingSent(sent) {
			return nil, fmt.Errorf("send to %s: %w: %w", addr, ErrNotSent, err)
		}
		return nil, fmt.Errorf("read answer of %s: %w", addr, err)
	}
	if !c.sendDone(sent) {
		a.closing = true // the endpoint answered early; the rest of the body is not sent
	}
	return a, nil
}

// readHead reads heads until one bears the request's id.
func (a *Response) readHead(r *Request, headBy time.Time, idOf func(http.Header) string) error {
	if err := a.conn.setReadDeadline(headBy); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	for range maxStale {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return classify(err)
		}
		if response.StatusCode < http.StatusOK {
			continue // interim
		}
		if response.StatusCode > maxStatus {
			return fmt.Errorf("%w: status %d", ErrMalformed, response.StatusCode)
		}
		if id := idOf(response.Header); id != r.ID && (id != "" || response.StatusCode < http.StatusMultipleChoices) {
			// Late or doubled answer to another request.
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				return fmt.Errorf("%w: answer to request %q", ErrMalformed, id)
			}
			continue
		}
		a.response, a.Status, a.Header, a.Length = response, response.StatusCode, response.Header, response.ContentLength
		a.closing = response.Close
		return nil
	}
	return fmt.Errorf("%w: %d answers to other requests", ErrMalformed, maxStale)
}

// classify tells a broken connection from one that was silent or sent rubbish.
func classify(err error) error {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %w", ErrSilent, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isReset(err):
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// ReadBy sets until when the next Read waits.
func (a *Response) SetReadDeadline(t time.Time) error { return a.conn.setReadDeadline(t) }

// Read reads the body. It returns io.EOF only at its end as the endpoint framed
// it, and otherwise one of the errors of this package.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		a.whole = true
		return n, io.EOF
	}
	return n, classify(err)
}

// Finish ends the exchange. The connection is kept if the answer was read to
// its end and nothing is left over.
func (a *Response) Finish() {
	if !a.release() || !a.whole || a.closing || a.conn.reader.Buffered() > 0 {
		a.conn.close()
		return
	}
	a.conn.pool.put(a.conn, keepAlive(a.Header))
}

// Abort ends the exchange and the connection, by which the endpoint learns that
// nobody waits.
func (a *Response) Abort() {
	a.release()
	a.conn.close()
}

// unsaid stands for an idle timeout that the endpoint does not tell.
const unsaid = time.Duration(-1)

// keepAlive returns for how long the endpoint keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for field := range splitList(v) {
			name, value, _ := cut(field, '=')
			if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds >= 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return unsaid
}

// encode returns the head of a request.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readerBytes is the size of a connection's read buffer: an event of a stream
// or a usual answer.
const readerBytes = 4 << 10

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReaderSize(c, readerBytes) }
