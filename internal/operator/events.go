package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/internal/timeline"
)

// pager returns pages of events.
type pager interface {
	Page(q timeline.Query) timeline.Page
}

// events answers with a page of the router's time line.
func (s *Server) getEvents(c echo.Context) error {
	return writePage(c, s.deps.Events)
}

// copies answers with a page of the copies kept for other routers.
func (s *Server) getCopies(c echo.Context) error {
	return writePage(c, s.deps.Copies)
}

func writePage(c echo.Context, source pager) error {
	query, err := timeline.ParseQuery(c.QueryParams())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, source.Page(query))
}
