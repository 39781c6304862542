package client

import (
	"context"
	"net/http"

	"daisyslip.dev/daisyslip/internal/timeline"
)

var _ timeline.Source = (*Client)(nil)

// Name returns the base URL of the router; it implements timeline.Source.
func (c *Client) Name() string { return c.base }

// Page returns a page of the router's events; it implements timeline.Source.
func (c *Client) Page(ctx context.Context, q timeline.Query) (timeline.Page, error) {
	var page timeline.Page
	return page, c.call(ctx, http.MethodGet, "/v1/events?"+q.Values().Encode(), nil, &page)
}
