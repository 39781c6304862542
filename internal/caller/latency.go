package caller

import (
	"fmt"
	"time"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/internal/requests"
)

// measureDuration is middleware that measures the duration of requests by route.
// The label is the route's fixed pattern, so the number of series is bounded.
func (s *Server) measureDuration(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := time.Now()
		err := next(c)
		name := fmt.Sprintf("daisyslip_caller_request_duration_seconds{route=%q}", c.Path())
		s.metrics.set.GetOrCreateHistogram(name).Update(time.Since(start).Seconds())
		return err
	}
}

// timedSink returns a sink that forwards to the given one and measures the time
// from now to the first piece and the gaps between the following pieces. Like any
// requests.Sink, it must not be called concurrently.
func (m *serverMetrics) timedSink(sink requests.Sink) requests.Sink {
	previous, isFirst := time.Now(), true
	return func(p requests.Piece) error {
		now := time.Now()
		if isFirst {
			m.firstPiece.Update(now.Sub(previous).Seconds())
		} else {
			m.pieceGap.Update(now.Sub(previous).Seconds())
		}
		previous, isFirst = now, false
		return sink(p)
	}
}
