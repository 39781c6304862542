package client

import (
	"context"
	"net/http"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/operator"
)

// Doubts lists the grants of lost routers.
func (c *Client) InDoubtGrants(ctx context.Context) ([]budget.InDoubtGrant, error) {
	var list operator.InDoubtGrantList
	err := c.call(ctx, http.MethodGet, "/v1/doubts", nil, &list)
	return list.Grants, err
}

// SettleDoubt settles the grant of a lost router, once.
func (c *Client) ResolveInDoubtGrant(ctx context.Context, s budget.Resolution) (budget.ResolvedGrant, error) {
	var done budget.ResolvedGrant
	return done, c.call(ctx, http.MethodPost, "/v1/doubts/settle", s, &done)
}
