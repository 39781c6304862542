package client

import (
	"context"
	"net/http"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/operator"
)

// InDoubtGrants lists the grants of lost routers in all budgets.
func (c *Client) InDoubtGrants(ctx context.Context) ([]budget.InDoubtGrant, error) {
	var list operator.InDoubtGrantList
	err := c.call(ctx, http.MethodGet, "/v1/doubts", nil, &list)
	return list.Grants, err
}

// ResolveInDoubtGrant resolves the grant of a lost router. A retry returns the
// result of the first resolution. It fails with failure.NotFound if there is no
// such grant, and with failure.Conflict if the router is live, if more tokens are
// to be charged than are in doubt, or if tokens are to be returned while some of
// the router's bills may be unwritten.
func (c *Client) ResolveInDoubtGrant(ctx context.Context, resolution budget.Resolution) (budget.ResolvedGrant, error) {
	var resolved budget.ResolvedGrant
	return resolved, c.call(ctx, http.MethodPost, "/v1/doubts/settle", resolution, &resolved)
}
