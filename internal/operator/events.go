package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/internal/timeline"
)

// events answers with a page of the router's time line.
func (s *Server) events(c echo.Context) error {
	query, err := timeline.ParseQuery(c.QueryParams())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.duties.Events.Page(query))
}
