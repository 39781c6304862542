package balancer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// getCurrent returns the JSON response to a GET request, all within PollTimeout. On a
// reused connection, the endpoint may write an earlier response once more, also that to
// a request for something else. A response on such a connection is therefore returned
// only if current reports that it cannot be an earlier one; otherwise the request is
// sent again over a new connection. With a nil current, it is only sent over a new one.
func getCurrent[T any](ctx context.Context, b *Balancer, url string, current func(T) bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, b.settings.PollTimeout)
	defer cancel()
	if current != nil {
		response, reused, err := getJSON[T](ctx, b.pooledClient, url)
		if !reused || err == nil && current(response) {
			return response, err
		}
	}
	response, _, err := getJSON[T](ctx, b.newConnClient, url)
	return response, err
}

// getJSON sends a GET request and decodes the JSON response. It also reports whether
// the connection had carried another request before. Any status other than 200 is an
// error.
func getJSON[T any](ctx context.Context, client *http.Client, url string) (response T, reused bool, err error) {
	var connReused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connReused.Store(info.Reused) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return response, false, fmt.Errorf("create poll request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response, connReused.Load(), fmt.Errorf("send poll request: %w", err)
	}
	defer resp.Body.Close()
	err = decodeJSON(resp, &response)
	return response, connReused.Load(), err
}

// decodeJSON decodes the body of a response with status 200 and reads it to its end.
func decodeJSON(resp *http.Response, v any) error {
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("poll: unexpected status %d", resp.StatusCode)
	}
	body := io.LimitReader(resp.Body, maxReportBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode poll response: %w", err)
	}
	// The HTTP client reuses the connection only if the body was read to its end.
	if _, err := io.Copy(io.Discard, body); err != nil {
		return fmt.Errorf("read end of poll response: %w", err)
	}
	return nil
}
