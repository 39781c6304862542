// Package client is a client of the operator API of routers. Methods return the
// failure that the router responded with as a *failure.Error.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/operator"
)

// requestTimeout is the maximum duration of one request. It is longer than the
// router's own limit of 30 seconds.
const requestTimeout = 35 * time.Second

// Client sends requests to the operator API of one router.
type Client struct {
	baseURL    string
	token      string
	author     string
	httpClient *http.Client
}

// New returns a client of the API at baseURL that authenticates with token and
// names author as the author of changes.
func New(baseURL, token, author string) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), token: token, author: author, httpClient: &http.Client{Timeout: requestTimeout}}
}

// WithTLS makes the client use config for https URLs, and returns the client. It
// must be called before the first request.
func (c *Client) WithTLS(config *tls.Config) *Client {
	c.httpClient.Transport = &http.Transport{TLSClientConfig: config}
	return c
}

// Config returns the applied configuration of the router.
func (c *Client) Config(ctx context.Context) (catalog.Document, error) {
	var d catalog.Document
	return d, c.call(ctx, http.MethodGet, "/v1/config", nil, &d)
}

// Commit commits a change against its base revision. If other changes were
// committed since, the failure.Conflict that it returns wraps a
// *fleetconfig.ConflictError.
func (c *Client) Commit(ctx context.Context, change fleetconfig.Change) (fleetconfig.RevisionStatus, error) {
	var r fleetconfig.RevisionStatus
	return r, c.call(ctx, http.MethodPost, "/v1/config/changes", change, &r)
}

// TopUp adds paid tokens to a budget and returns its balance. A retry with the
// same id is applied once; with another number of tokens it fails with
// failure.Conflict.
func (c *Client) TopUp(ctx context.Context, a budget.Account, id string, tokens int64) (budget.Balance, error) {
	var b budget.Balance
	return b, c.call(ctx, http.MethodPost, budgetPath(a)+"/topups", operator.TopUp{ID: id, Tokens: tokens}, &b)
}

// Balance returns the balance of a budget, in tokens. A budget that does not exist
// is failure.NotFound.
func (c *Client) Balance(ctx context.Context, a budget.Account) (budget.Balance, error) {
	var b budget.Balance
	return b, c.call(ctx, http.MethodGet, budgetPath(a), nil, &b)
}

// Status returns the state of the router.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// budgetPath returns the path of a budget in the API.
func budgetPath(a budget.Account) string {
	return "/v1/workspaces/" + url.PathEscape(a.Workspace) + "/budgets/" + url.PathEscape(a.Budget)
}

// call sends one request with body as JSON, or without a body if it is nil, and
// decodes the response into result.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	return c.send(req, result)
}

// callWithBase is like call, for a change against the revision base, which it
// sends as If-Match.
func (c *Client) callWithBase(ctx context.Context, base int64, method, path string, body, result any) error {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(base, 10)))
	return c.send(req, result)
}

// send sends a request and decodes the response into result. A status other than
// 200 is an error.
func (c *Client) send(req *http.Request, result any) error {
	method, path := req.Method, req.URL.Path
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("call %s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer of %s %s: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode answer of %s %s: %w", method, path, err)
	}
	return nil
}

// newRequest returns a request with body as JSON and the headers that all
// requests to the API carry.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode body of %s %s: %w", method, path, err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, fmt.Errorf("make %s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Daisyslip-Author", c.author)
	return req, nil
}

// decodeFailure returns the failure in the body of a response. If the body is not
// an operator.ErrorBody, it returns an error with the status and the body.
func decodeFailure(status int, data []byte) error {
	var errorBody operator.ErrorBody
	if err := json.Unmarshal(data, &errorBody); err != nil || errorBody.Error.Code == "" {
		return fmt.Errorf("status %d: %s", status, data)
	}
	f := &failure.Error{Code: errorBody.Error.Code, Step: errorBody.Error.Step, Peer: errorBody.Error.Peer, Message: errorBody.Error.Message}
	if len(errorBody.Error.Others) > 0 {
		f.Err = &fleetconfig.ConflictError{Others: errorBody.Error.Others}
	}
	return f
}
