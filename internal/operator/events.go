package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/internal/timeline"
)

// pager is a store of events that is read page by page.
type pager interface {
	Page(q timeline.Query) timeline.Page
}

// getEvents returns a page of the router's own events.
func (s *Server) getEvents(c echo.Context) error {
	return writePage(c, s.deps.Events)
}

// getCopies returns a page of the copies of other routers' events.
func (s *Server) getCopies(c echo.Context) error {
	return writePage(c, s.deps.Copies)
}

// writePage writes the page of source that the query parameters describe.
func writePage(c echo.Context, source pager) error {
	query, err := timeline.ParseQuery(c.QueryParams())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, source.Page(query))
}
