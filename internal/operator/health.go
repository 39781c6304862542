package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// healthRoutes serve probes without a token.
func (s *Server) healthRoutes() {
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.echo.GET("/readyz", s.readyz)
}

// readyz says why the router should get no requests.
func (s *Server) readyz(c echo.Context) error {
	status := s.duties.Status()
	reasons := status.UnreadyReasons
	if status.Draining {
		reasons = append(reasons, "draining")
	}
	if len(reasons) > 0 {
		return c.JSON(http.StatusServiceUnavailable, Readiness{Reasons: reasons})
	}
	return c.JSON(http.StatusOK, Readiness{Ready: true})
}
