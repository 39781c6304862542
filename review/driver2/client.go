//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a caller with one connection that it keeps.
type client struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
	// answered counts the complete responses on the connection.
	answered int
}

// answer is how a request ended for the client.
type answer struct {
	status int // 0 without a response
	stamp  string
	body   string
	err    error
	// kept is set if the connection had carried a complete response before.
	kept bool
}

// String returns the form of the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer, connection closed (%v)", a.err)
	}
	return fmt.Sprintf("status %d, stamp %q, body %.200q, err %v", a.status, a.stamp, a.body, a.err)
}

// close ends the connection.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// errConnect: there was no connection, so that nothing was sent.
var errConnect = errors.New("no connection")

// send sends the bytes of a request and reads its response. A connection that failed is closed.
func (c *client) send(method, request string, wait time.Duration) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return answer{err: fmt.Errorf("%w: %w", errConnect, err)}
		}
		c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	}
	a := answer{kept: c.answered > 0}
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, a.err = io.WriteString(c.conn, request); a.err != nil {
		c.close()
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Daisyslip-Server-Stamp")
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
	if err != nil || response.Close {
		c.close()
		return a
	}
	c.answered++
	return a
}

// head returns the first lines of a request, which ends with further header lines, a blank line
// and the body.
func head(method, target, id, key string, deadline time.Duration) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Deadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	if key != "" {
		text += "X-Daisyslip-Credential: " + key + "\r\n"
	}
	return text
}
