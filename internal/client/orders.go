package client

import (
	"context"
	"net/http"
	"net/url"

	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/orders"
)

// Order gives one order to an endpoint; the same id is carried out once.
func (c *Client) SendOrder(ctx context.Context, endpoint string, o orders.Order) (engine.OrderResult, error) {
	var r engine.OrderResult
	return r, c.call(ctx, http.MethodPost, "/v1/endpoints/"+url.PathEscape(endpoint)+"/orders", o, &r)
}
