package orders

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// bodyCopy keeps a request's body, so that the request can be handed on after
// its connection has ended.
type bufferedBody struct{ data []byte }

func (b *bufferedBody) read(r *http.Request) { b.data, _ = io.ReadAll(r.Body) }

// request returns the request anew, free of its connection.
func (b *bufferedBody) request(r *http.Request) *http.Request {
	replay := r.Clone(context.Background())
	replay.Body = io.NopCloser(bytes.NewReader(b.data))
	return replay
}
