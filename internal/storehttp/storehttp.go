// Package storehttp is the HTTP client for calls to a row store. Its errors tell
// whether a call may have taken effect; the recovery of callers depends on that.
package storehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/httplimit"
	"daisyslip.dev/daisyslip/internal/tcpalive"
)

const (
	// connectTimeout bounds the time to connect. It is many times the round-trip
	// time of a path to the store.
	connectTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections. It allows for a few
	// concurrent calls.
	maxIdleConns = 8
	// idleTimeout closes idle connections before servers usually do, so that a call
	// isn't sent on a connection that the server is closing.
	idleTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of a response: 1 MB of rows, encoded in
	// base64, and their keys.
	maxResponseBytes = 4 << 20
)

// ErrTooLarge is wrapped by the error of a call whose response has more bytes than are
// read.
var ErrTooLarge = fmt.Errorf("response over %d bytes", maxResponseBytes)

// Client makes calls to one store. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
	// eraHeader names the header with the store's era in every response.
	eraHeader string
	eras      rowstore.Eras
}

// NewClient returns a client of the store at addr, which is host:port, and which states
// its era in the header eraHeader. It connects at the first call.
func NewClient(addr, eraHeader string) *Client {
	return &Client{base: "http://" + addr, eraHeader: eraHeader, client: &http.Client{Transport: &http.Transport{
		DialContext:         tcpalive.Dialer(connectTimeout, unackedTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
	}}}
}

// Era returns the newest era of all responses, as rowstore.Store does.
func (c *Client) Era() int64 { return c.eras.Newest() }

// EraEnded returns a channel that is closed once a response has carried a later era, as
// that of rowstore.Store.
func (c *Client) EraEnded(era int64) <-chan struct{} { return c.eras.Ended(era) }

// observeEra returns the era in the header of a response, or the newest one that is
// known if the header states none.
func (c *Client) observeEra(h http.Header) int64 {
	era, err := strconv.ParseInt(h.Get(c.eraHeader), 10, 64)
	if err != nil || era < 0 {
		return c.eras.Newest()
	}
	c.eras.Observe(era)
	return era
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Response is the response to a call.
type Response struct {
	Status int
	// Era is the era of the store that the response states, or the newest known one.
	Era  int64
	Body []byte
}

// Call makes one call, with a JSON body unless body is nil. A status other than 200 is not an error. The error
// wraps rowstore.ErrUnavailable if the call was not sent, rowstore.ErrInvalid if no
// request can be built from the arguments, and rowstore.ErrUnknown otherwise, when the
// call may have taken effect. A call with a body is never sent a second time.
func (c *Client) Call(ctx context.Context, method, path string, body []byte) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", rowstore.ErrInvalid, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		// Without GetBody the transport can't rewind the body, so it doesn't
		// retry a transaction on its own.
		request.GetBody = nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Response{}, classifyTransportError(err)
	}
	defer response.Body.Close()
	rowstore.ReportProgress(ctx)
	data, err := io.ReadAll(io.LimitReader(progressReader{ctx: ctx, body: response.Body}, maxResponseBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", rowstore.ErrUnknown, err)
	}
	if len(data) > maxResponseBytes {
		return Response{}, fmt.Errorf("%w: %w", rowstore.ErrUnknown, ErrTooLarge)
	}
	return Response{Status: response.StatusCode, Era: c.observeEra(response.Header), Body: data}, nil
}

// progressReader reads the body of a response and reports the progress of the call.
type progressReader struct {
	ctx  context.Context
	body io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		rowstore.ReportProgress(r.ctx)
	}
	return n, err
}

// classifyTransportError wraps err with rowstore.ErrUnavailable if dialing failed, so
// that the call was not sent, and otherwise with rowstore.ErrUnknown.
func classifyTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", rowstore.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", rowstore.ErrUnknown, err)
}
