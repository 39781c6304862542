package client

import (
	"context"
	"net/http"

	"daisyslip.dev/daisyslip/internal/timeline"
)

var _ timeline.Source = (*Client)(nil)

// Name returns the base URL of the router. It implements timeline.Source.
func (c *Client) Name() string { return c.baseURL }

// Backup returns an event source that reads the copies that the router keeps of
// other routers' events.
func (c *Client) Backup() timeline.Backup { return copySource{client: c} }

// copySource reads the event copies at one router.
type copySource struct{ client *Client }

// Name implements timeline.Source.
func (s copySource) Name() string { return s.client.baseURL }

// IsBackup implements timeline.Backup.
func (s copySource) IsBackup() {}

// Page implements timeline.Source.
func (s copySource) Page(ctx context.Context, q timeline.Query) (timeline.Page, error) {
	var page timeline.Page
	return page, s.client.call(ctx, http.MethodGet, "/v1/events/copies?"+q.Values().Encode(), nil, &page)
}

// Page returns a page of the router's own events. It implements timeline.Source.
func (c *Client) Page(ctx context.Context, q timeline.Query) (timeline.Page, error) {
	var page timeline.Page
	return page, c.call(ctx, http.MethodGet, "/v1/events?"+q.Values().Encode(), nil, &page)
}
