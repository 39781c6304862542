package upstream

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
)

// ExchangeOn makes one exchange on a connection, for fuzzing.
func ExchangeOn(raw net.Conn, r *Request, headBy time.Time, idOf func(http.Header) string) (*Response, error) {
	c := &conn{Conn: raw, pool: NewPool(DefaultSettings(), clock.Real{}, metrics.NewSet()), reader: newReader(raw)}
	a := &Response{conn: c, release: func() bool { return true }}
	c.send(r)
	if err := a.readHead(r, headBy, idOf); err != nil {
		a.Abort()
		return nil, err
	}
	return a, nil
}
