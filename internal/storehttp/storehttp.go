// Package storehttp makes the calls of a row store that is spoken over HTTP. Its
// errors say whether a call may have been performed, on which the recovery of
// callers rests.
package storehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/tcpalive"
)

const (
	// connectTimeout bounds the making of a connection: many times a path's
	// delay.
	connectTimeout = 500 * time.Millisecond
	// silentAfter is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// maxIdle bounds the idle connections kept: a few calls at once.
	maxIdleConns = 8
	// idleTimeout ends idle connections before servers usually do.
	idleTimeout = 10 * time.Second
	// maxAnswer bounds an answer: 1 MB of rows in base64 and their keys.
	maxResponseBytes = 4 << 20
)

// Client makes calls. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the store at an address, host:port.
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, client: &http.Client{Transport: &http.Transport{
		DialContext:         tcpalive.Dialer(connectTimeout, userTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Call makes one call, with a JSON body if that is not nil, and returns the status
// and the body of the answer. The error is rowstore.ErrUnavailable if the call never
// left, rowstore.ErrInvalid if none can be made of it, and rowstore.ErrUnknown
// otherwise. Nothing is sent again.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", rowstore.ErrInvalid, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		// Without a body to rewind, the transport does not send a transaction
		// again by itself.
		request.GetBody = nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, classifyTransportError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", rowstore.ErrUnknown, err)
	}
	return response.StatusCode, data, nil
}

// unanswered tells a call that never left from one whose answer is lost.
func classifyTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", rowstore.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", rowstore.ErrUnknown, err)
}
