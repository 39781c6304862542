package caller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/httpserver"
	"daisyslip.dev/daisyslip/internal/work"
)

// Configuration gives the revision in force.
type Configuration interface {
	Catalog() *catalog.Index
}

// Duties are the other duties that the caller API uses.
type Dependencies struct {
	Config Configuration
	// Fresh, unless nil, returns why the revision in force may not be served.
	ConfirmView func(ctx context.Context) error
	Budgets     budget.Holder
	Generator   work.Generator
	Calls       work.CallRunner
	Events      event.Recorder
	Metrics     *metrics.Set
	Log         *slog.Logger
	// Unready returns why the router should get no requests; empty is ready.
	UnreadyReasons func() []string
}

// Server serves the caller API.
type Server struct {
	*httpserver.Server

	settings Settings
	duties   Dependencies
	metrics  *serverMetrics
	inFlight chan struct{}
	draining atomic.Bool
}

// New returns a server that does not listen yet.
func New(s Settings, d Dependencies) *Server {
	server := &Server{
		settings: s,
		duties:   d,
		metrics:  newServerMetrics(d.Metrics),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
	server.Server = httpserver.New("callers", s.Listen, s.TLS, &http.Server{
		Handler:           server.routes(),
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
	}, d.Log)
	return server
}

// Drain turns /readyz false, goes on serving until the balancer must have
// seen it, then stops listening and waits for the requests in flight, until
// ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := clock.Sleep(ctx, clock.Real{}, s.settings.ReadinessLag); err != nil {
		return fmt.Errorf("wait for the balancer: %w", err)
	}
	if err := s.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for %d requests in flight: %w", len(s.inFlight), err)
	}
	return nil
}

// Draining reports whether Drain has begun.
func (s *Server) Draining() bool { return s.draining.Load() }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return len(s.inFlight) }

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
	// The middleware stands on each route, since a group with middleware would
	// answer a wrong method as an unknown path.
	e.POST("/v1/chat/completions", s.chat, s.timed, s.bound, s.authenticate)
	e.GET("/v1/models", s.models, s.timed, s.bound, s.authenticate)
	e.GET("/v1/models/:model", s.model, s.timed, s.bound, s.authenticate)
	e.Any("/v1/services/:service", s.service, s.timed, s.bound, s.authenticate)
	e.Any("/v1/services/:service/*", s.service, s.timed, s.bound, s.authenticate)
	return e
}

func (s *Server) healthz(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

func (s *Server) readyz(c echo.Context) error {
	reasons := s.duties.UnreadyReasons()
	if s.draining.Load() {
		reasons = append(reasons, "draining")
	}
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

// bound refuses requests beyond the number that may be in flight.
func (s *Server) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case s.inFlight <- struct{}{}:
		default:
			return failure.New(failure.Overloaded, "admit request", "", "the router serves as many requests as it may; try again")
		}
		defer func() { <-s.inFlight }()
		if s.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// handleError writes errors that a handler returned before its answer began.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var fromEcho *echo.HTTPError
	f := failure.As(err)
	switch {
	case f != nil:
	case errors.As(err, &fromEcho):
		f = failure.New(codeOfStatus(fromEcho.Code), "route request", "", fmt.Sprint(fromEcho.Message))
	default:
		f = asFailure(err)
	}
	s.metrics.refused(f.Code)
	refuse(c.Response(), requestID(c), f)
}

// codeOfStatus names the failure of a status that echo answers by itself.
func codeOfStatus(status int) failure.Code {
	switch status {
	case http.StatusNotFound:
		return failure.NotFound
	case http.StatusMethodNotAllowed:
		return failure.MethodNotAllowed
	}
	return failure.BadRequest
}
