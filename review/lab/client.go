//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// Host and Key are those of the clients' requests.
const (
	Host   = "rota.example"
	Key    = "xd9dnn2ctnfzs989anu6"
	Tenant = "huka270"
)

// Limits are those of the example configuration of the pages.
func Limits() standin.Limits {
	return standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}
}

// Client is a client with one connection to a router.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection within the second that clients allow.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Answer is what a client has received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is why the answer is not complete.
	Err error
}

// Send sends a request with a deadline and a body of a length.
func (c *Client) Send(method, path, id string, deadline time.Duration, body []byte, header ...string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Deadline-Ms: %d\r\nX-Daisyslip-Credential: %s\r\n",
		method, path, Host, id, deadline.Milliseconds(), Key)
	for _, h := range header {
		head += h + "\r\n"
	}
	if len(body) > 0 || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if err := c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return err
	}
	_, err := c.conn.Write(body)
	return err
}

// Receive reads one answer to its end.
func (c *Client) Receive(method string) Answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}

// Ask sends a request on a new connection and reads the answer.
func Ask(addr, method, path, id string, deadline time.Duration, body []byte, header ...string) Answer {
	c, err := Dial(addr)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	if err := c.Send(method, path, id, deadline, body, header...); err != nil {
		return Answer{Err: err}
	}
	return c.Receive(method)
}
