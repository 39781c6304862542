package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Readiness is the response to GET /readyz. Reasons are why the router is not
// ready; it is empty if Ready is true.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// healthRoutes registers the probes, which need no token.
func (s *Server) healthRoutes() {
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.echo.GET("/readyz", s.getReadiness)
}

// getReadiness responds with status 200 if the router is ready, and otherwise with
// status 503 and the reasons. A draining router is not ready.
func (s *Server) getReadiness(c echo.Context) error {
	status := s.deps.Status()
	reasons := status.UnreadyReasons
	if status.Draining {
		reasons = append(reasons, "draining")
	}
	if len(reasons) > 0 {
		return c.JSON(http.StatusServiceUnavailable, Readiness{Reasons: reasons})
	}
	return c.JSON(http.StatusOK, Readiness{Ready: true})
}
