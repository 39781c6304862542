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

// maxAnswerBytes bounds the answers of the platform.
const maxAnswerBytes = 64 << 20

// maxIdleConns bounds the idle connections kept to the platform.
const maxIdleConns = 16

// Settings are the settings of the platform client.
type Settings struct {
	// URL is the base URL of the platform's services.
	URL string `json:"url"`
	// Timeout bounds one call.
	Timeout time.Duration `json:"timeout"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Timeout: 3 * time.Second}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.URL(path+".url", s.URL)
	l.Duration(path+".timeout", s.Timeout, 10*time.Millisecond, time.Minute)
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	settings Settings
	vm       string
	http     *http.Client
	traffic  *Traffic
}

var _ platform.Platform = (*Client)(nil)

// NewClient returns a client that calls itself vm.
func NewClient(s Settings, vm string) *Client {
	traffic := &Traffic{}
	transport := &http.Transport{
		DialContext:         traffic.count((&net.Dialer{Timeout: s.Timeout}).DialContext),
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{settings: s, vm: vm, http: &http.Client{Transport: transport}, traffic: traffic}
}

// Traffic returns the counts of the bytes on the client's connections.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Close drops the idle connections.
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
	answer, err := c.do(ctx, "list VMs", http.MethodGet, PathVMs, nil)
	if err != nil {
		return nil, err
	}
	var list VMList
	if err := json.Unmarshal(answer, &list); err != nil {
		return nil, &platform.Error{Kind: platform.KindUnavailable, Step: "list VMs", Err: err}
	}
	return list.VMs, nil
}

// post sends a JSON body and decodes the JSON answer.
func (c *Client) post(ctx context.Context, step, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &platform.Error{Kind: platform.KindInvalid, Step: step, Err: err}
	}
	raw, err := c.do(ctx, step, http.MethodPost, path, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return &platform.Error{Kind: platform.KindUnknown, Step: step, Err: fmt.Errorf("decode answer: %w", err)}
	}
	return nil
}

// do sends one call and returns the body of a 200 answer.
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
		return nil, &platform.Error{Kind: kindOfTransport(err), Step: step, Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, &platform.Error{Kind: platform.KindUnknown, Step: step, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(step, resp.StatusCode, answer)
	}
	return answer, nil
}

// kindOfTransport classes an error of the transport: only a connection that
// was never made proves that nothing was written.
func kindOfTransport(err error) platform.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platform.KindUnavailable
	}
	return platform.KindUnknown
}

// decodeError returns the service's own error, or KindUnknown if the answer
// is not the service's.
func decodeError(step string, status int, answer []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Kind == "" {
		return &platform.Error{Kind: platform.KindUnknown, Step: step, Err: fmt.Errorf("status %d", status)}
	}
	return &platform.Error{Kind: body.Kind, Step: step, Key: body.Key, Err: fmt.Errorf("status %d: %s", status, body.Message)}
}
