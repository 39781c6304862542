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
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/operator"
)

// Replace commits a whole document on top of the revision base. The id identifies
// the change: a retry with the same id commits it once.
func (c *Client) Replace(ctx context.Context, base int64, document catalog.Document, note, id string) (fleetconfig.RevisionStatus, error) {
	query := url.Values{"note": {note}, "id": {id}}
	var r fleetconfig.RevisionStatus
	return r, c.callWithBase(ctx, base, http.MethodPut, "/v1/config?"+query.Encode(), document, &r)
}

// Rollback commits the document of the earlier revision r.To on top of the
// revision base.
func (c *Client) Rollback(ctx context.Context, base int64, r operator.Rollback) (fleetconfig.RevisionStatus, error) {
	var result fleetconfig.RevisionStatus
	return result, c.callWithBase(ctx, base, http.MethodPost, "/v1/config/rollback", r, &result)
}

// History returns the newest revisions, at most limit, oldest first.
func (c *Client) History(ctx context.Context, limit int) ([]fleetconfig.Revision, error) {
	var revisions []fleetconfig.Revision
	return revisions, c.call(ctx, http.MethodGet, "/v1/config/revisions?limit="+strconv.Itoa(limit), nil, &revisions)
}

// RevisionStatus returns whether all routers have accepted a revision. The router
// waits for the acceptance for the duration wait, but at most 20 seconds.
func (c *Client) RevisionStatus(ctx context.Context, revision int64, wait time.Duration) (fleetconfig.RevisionStatus, error) {
	var r fleetconfig.RevisionStatus
	return r, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/config/revisions/%d?wait=%s", revision, wait), nil, &r)
}

// Diff returns the operations that change the revision from into the revision to.
func (c *Client) Diff(ctx context.Context, from, to int64) ([]fleetconfig.Op, error) {
	var ops []fleetconfig.Op
	return ops, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/config/diff?from=%d&to=%d", from, to), nil, &ops)
}

// Members returns the other members of the fleet that the router knows.
func (c *Client) Members(ctx context.Context) ([]member.Status, error) {
	var members []member.Status
	return members, c.call(ctx, http.MethodGet, "/v1/members", nil, &members)
}
