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
func (s *Server) events(c echo.Context) error {
	return answerPage(c, s.duties.Events)
}

// copies answers with a page of the copies kept for other routers.
func (s *Server) copies(c echo.Context) error {
	return answerPage(c, s.duties.Copies)
}

func answerPage(c echo.Context, from pager) error {
	query, err := timeline.ParseQuery(c.QueryParams())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, from.Page(query))
}
