package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/internal/check"
)

// maxResponseBytes bounds the body of a response of the platform.
const maxResponseBytes = 64 << 20

// maxIdleConns is the maximum number of idle connections to the platform.
const maxIdleConns = 16

// Settings configure a Client.
type Settings struct {
	// URL is the base URL of the platform's services.
	URL string `json:"url"`
	// Timeout bounds one call, from connecting to the end of the response.
	Timeout time.Duration `json:"timeout"`
}

// DefaultSettings returns the default settings. There is no default URL.
func DefaultSettings() Settings {
	return Settings{Timeout: 3 * time.Second}
}

// Validate adds every invalid setting to l; path is the JSON path of s.
func (s Settings) Validate(l *check.List, path string) {
	l.URL(path+".url", s.URL)
	l.Duration(path+".timeout", s.Timeout, 10*time.Millisecond, time.Minute)
}

// Client implements platform.Platform over HTTP. Its errors are of type
// *platform.Error, whose kind tells whether a call may have taken effect. It has no
// retries of its own and is safe for concurrent use.
type Client struct {
	settings Settings
	vm       string
	http     *http.Client
	traffic  *Traffic
}

var _ platform.Platform = (*Client)(nil)

// NewClient returns a client that identifies itself as vm in ClientHeader.
func NewClient(s Settings, vm string) *Client {
	traffic := &Traffic{}
	transport := &http.Transport{
		DialContext:         traffic.countBytes((&net.Dialer{Timeout: s.Timeout}).DialContext),
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{settings: s, vm: vm, http: &http.Client{Transport: transport}, traffic: traffic}
}

// Traffic returns the byte counters of the client's connections.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	var rows RowsResponse
	err := c.post(ctx, "get", PathGet, GetRequest{Keys: keys}, &rows)
	return rows.Rows, err
}

// Range implements platform.Table.
func (c *Client) Range(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	var rows RowsResponse
	err := c.post(ctx, "range", PathRange, RangeRequest{From: from, To: to, Limit: limit}, &rows)
	return rows.Rows, err
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (platform.Receipt, error) {
	var receipt platform.Receipt
	if err := txn.Validate(); err != nil {
		return receipt, &platform.Error{Kind: platform.KindInvalid, Step: "commit", Err: err}
	}
	err := c.post(ctx, "commit", PathCommit, txn, &receipt)
	return receipt, err
}

// Outcome implements platform.Table.
func (c *Client) Outcome(ctx context.Context, opID string) (platform.Receipt, bool, error) {
	var outcome OutcomeResponse
	err := c.post(ctx, "outcome", PathOutcome, OutcomeRequest{OpID: opID}, &outcome)
	return outcome.Receipt, outcome.Done, err
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, "put object", http.MethodPut, PathObjects+url.PathEscape(name), data)
	return err
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, "get object", http.MethodGet, PathObjects+url.PathEscape(name), nil)
}

// ListVMs implements platform.VMs.
func (c *Client) ListVMs(ctx context.Context) ([]platform.VM, error) {
	body, err := c.do(ctx, "list VMs", http.MethodGet, PathVMs, nil)
	if err != nil {
		return nil, err
	}
	var list VMList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, &platform.Error{Kind: platform.KindUnavailable, Step: "list VMs", Err: err}
	}
	return list.VMs, nil
}

// post sends body as JSON and decodes the JSON response into result. The step names
// the call in errors.
func (c *Client) post(ctx context.Context, step, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &platform.Error{Kind: platform.KindInvalid, Step: step, Err: err}
	}
	response, err := c.do(ctx, step, http.MethodPost, path, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, result); err != nil {
		return &platform.Error{Kind: platform.KindUnknown, Step: step, Err: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// do makes one call and returns the body of a response with status 200. Any other
// status is an error.
func (c *Client) do(ctx context.Context, step, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.settings.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &platform.Error{Kind: platform.KindInvalid, Step: step, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(ClientHeader, c.vm)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &platform.Error{Kind: transportErrorKind(err), Step: step, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, &platform.Error{Kind: platform.KindUnknown, Step: step, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(step, resp.StatusCode, data)
	}
	return data, nil
}

// transportErrorKind returns the kind of an error of the HTTP transport. Only a
// failure to connect proves that the call had no effect.
func transportErrorKind(err error) platform.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platform.KindUnavailable
	}
	return platform.KindUnknown
}

// decodeError decodes the ErrorBody of a response. The error has KindUnknown if data
// is not an ErrorBody, which means that the response is not from the platform's
// service but, for example, from a proxy.
func decodeError(step string, status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return &platform.Error{Kind: platform.KindUnknown, Step: step, Err: fmt.Errorf("status %d", status)}
	}
	return &platform.Error{Kind: body.Kind, Step: step, Key: body.Key, Err: fmt.Errorf("status %d: %s", status, body.Message)}
}
