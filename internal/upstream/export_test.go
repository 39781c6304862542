package upstream

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
)

// MaxCarried is the greatest number of requests on a connection.
const MaxCarried = maxCarried

// ExchangeOn makes one exchange on an open connection. It is used for fuzzing.
func ExchangeOn(raw net.Conn, r *Request, headDeadline time.Time, idOf func(http.Header) string) (*Response, error) {
	c := newConn(NewPool(DefaultSettings(), clock.Real{}, metrics.NewSet()), "", raw)
	resp := &Response{conn: c, detachContext: func() bool { return true }}
	c.writeRequest(r)
	if err := resp.readHead(r, headDeadline, idOf); err != nil {
		resp.Abort()
		return nil, err
	}
	return resp, nil
}
