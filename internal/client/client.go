// Package client calls the operator API of routers.
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
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/operator"
)

// callTimeout bounds one call.
const callTimeout = 35 * time.Second

// Client calls the operator API of one router.
type Client struct {
	base   string
	token  string
	author string
	http   *http.Client
}

// New returns a client of the API at base that authenticates with token and
// signs changes as author.
func New(base, token, author string) *Client {
	return &Client{base: strings.TrimRight(base, "/"), token: token, author: author, http: &http.Client{Timeout: callTimeout}}
}

// WithTLS makes the client use config for https URLs, and returns it.
func (c *Client) WithTLS(config *tls.Config) *Client {
	c.http.Transport = &http.Transport{TLSClientConfig: config}
	return c
}

// Config returns the configuration in force at the router.
func (c *Client) Config(ctx context.Context) (catalog.Document, error) {
	var d catalog.Document
	return d, c.call(ctx, http.MethodGet, "/v1/config", nil, &d)
}

// Commit commits a change.
func (c *Client) Commit(ctx context.Context, change conf.Change) (conf.RevisionStatus, error) {
	var r conf.RevisionStatus
	return r, c.call(ctx, http.MethodPost, "/v1/config/changes", change, &r)
}

// TopUp adds paid tokens to a budget; the same id is applied once.
func (c *Client) TopUp(ctx context.Context, a budget.Account, id string, tokens int64) (budget.Balance, error) {
	var b budget.Balance
	return b, c.call(ctx, http.MethodPost, budgetPath(a)+"/topups", operator.TopUp{ID: id, Tokens: tokens}, &b)
}

// Balance reads a budget.
func (c *Client) Balance(ctx context.Context, a budget.Account) (budget.Balance, error) {
	var b budget.Balance
	return b, c.call(ctx, http.MethodGet, budgetPath(a), nil, &b)
}

// Status returns what the router says of itself.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

func budgetPath(a budget.Account) string {
	return "/v1/workspaces/" + url.PathEscape(a.Workspace) + "/budgets/" + url.PathEscape(a.Budget)
}

// call sends one request and decodes its answer into result.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	return c.do(req, result)
}

// callAgainst is call for a change against the revision base.
func (c *Client) callAgainst(ctx context.Context, base int64, method, path string, body, result any) error {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(base, 10)))
	return c.do(req, result)
}

func (c *Client) do(req *http.Request, result any) error {
	method, path := req.Method, req.URL.Path
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call %s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer of %s %s: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return fmt.Errorf("decode answer of %s %s: %w", method, path, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", method, path, err)
		}
		content = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return nil, fmt.Errorf("make %s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Daisyslip-Author", c.author)
	return req, nil
}

// decodeFailure returns the failure that the API answered.
func decodeFailure(status int, answer []byte) error {
	var body operator.ErrorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("status %d: %s", status, answer)
	}
	f := &failure.Error{Code: body.Error.Code, Step: body.Error.Step, Peer: body.Error.Peer, Message: body.Error.Message}
	if len(body.Error.Others) > 0 {
		f.Err = &conf.ConflictError{Others: body.Error.Others}
	}
	return f
}
