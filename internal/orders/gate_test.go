package orders

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// bufferedBody holds the body of a request in memory, so that the request can still
// be forwarded after its connection has been closed.
type bufferedBody struct{ data []byte }

// read reads the complete body of the request. A read error ends the body.
func (b *bufferedBody) read(r *http.Request) { b.data, _ = io.ReadAll(r.Body) }

// request returns a copy of the request that does not depend on the connection.
func (b *bufferedBody) request(r *http.Request) *http.Request {
	replay := r.Clone(context.Background())
	replay.Body = io.NopCloser(bytes.NewReader(b.data))
	return replay
}
