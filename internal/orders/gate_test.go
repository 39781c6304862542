package orders

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// bodyCopy keeps a request's body, so that the request can be handed on after
// its connection has ended.
type bodyCopy struct{ data []byte }

func (b *bodyCopy) read(r *http.Request) { b.data, _ = io.ReadAll(r.Body) }

// request returns the request anew, free of its connection.
func (b *bodyCopy) request(r *http.Request) *http.Request {
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(b.data))
	return again
}
