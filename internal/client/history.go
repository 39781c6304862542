package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/operator"
)

// Replace commits a whole document on top of the revision base.
func (c *Client) Replace(ctx context.Context, base int64, document catalog.Document, note, id string) (conf.RevisionStatus, error) {
	query := url.Values{"note": {note}, "id": {id}}
	var r conf.RevisionStatus
	return r, c.callAgainst(ctx, base, http.MethodPut, "/v1/config?"+query.Encode(), document, &r)
}

// Rollback commits the document of an earlier revision on top of base.
func (c *Client) Rollback(ctx context.Context, base int64, r operator.Rollback) (conf.RevisionStatus, error) {
	var result conf.RevisionStatus
	return result, c.callAgainst(ctx, base, http.MethodPost, "/v1/config/rollback", r, &result)
}

// History returns the newest revisions, at most limit, oldest first.
func (c *Client) History(ctx context.Context, limit int) ([]conf.Revision, error) {
	var revisions []conf.Revision
	return revisions, c.call(ctx, http.MethodGet, "/v1/config/revisions?limit="+strconv.Itoa(limit), nil, &revisions)
}

// RevisionStatus says how far a revision has come, after waiting for it to be
// accepted for at most wait.
func (c *Client) RevisionStatus(ctx context.Context, revision int64, wait time.Duration) (conf.RevisionStatus, error) {
	var r conf.RevisionStatus
	return r, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/config/revisions/%d?wait=%s", revision, wait), nil, &r)
}

// Diff returns the operations that lead from one revision to another.
func (c *Client) Diff(ctx context.Context, from, to int64) ([]conf.Op, error) {
	var ops []conf.Op
	return ops, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/config/diff?from=%d&to=%d", from, to), nil, &ops)
}

// Members lists the other routers that the router knows.
func (c *Client) Members(ctx context.Context) ([]member.Status, error) {
	var all []member.Status
	return all, c.call(ctx, http.MethodGet, "/v1/members", nil, &all)
}
