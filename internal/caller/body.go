package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/failure"
)

// readBody reads the complete body, bounded by MaxBodyBytes and BodyTimeout.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	controller := http.NewResponseController(c.Response())
	if err := controller.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout)); err != nil {
		return nil, fmt.Errorf("bound the body's time: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, failure.New(failure.TooLarge, "read body", "caller", fmt.Sprintf("the body is larger than %d bytes", s.settings.MaxBodyBytes))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure.New(failure.BadRequest, "read body", "caller", fmt.Sprintf("the body did not arrive within %s", s.settings.BodyTimeout))
	case err != nil:
		return nil, failure.Wrap(failure.BadRequest, "read body", "caller", err)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("end the bound on the body: %w", err)
	}
	return body, nil
}
