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
	"daisyslip.dev/daisyslip/internal/requests"
)

// Configuration provides the applied revision of the configuration.
type Configuration interface {
	Catalog() *catalog.Index
}

// Dependencies are the components that the caller API uses.
type Dependencies struct {
	Config Configuration
	// ConfirmView returns an error if the applied configuration may be too old
	// to be used. A nil function means that it may always be used.
	ConfirmView func(ctx context.Context) error
	Budgets     budget.Holder
	Generator   requests.Generator
	Calls       requests.CallRunner
	Events      event.Recorder
	Metrics     *metrics.Set
	Log         *slog.Logger
	// UnreadyReasons returns the reasons why the router should get no requests;
	// an empty result means that it is ready.
	UnreadyReasons func() []string
}

// Server serves the caller API. It is safe for concurrent use.
type Server struct {
	*httpserver.Server

	settings Settings
	deps     Dependencies
	metrics  *serverMetrics
	inFlight chan struct{} // holds one element per request being served
	draining atomic.Bool
}

// New returns a server that does not listen yet; the embedded httpserver.Server
// starts it.
func New(s Settings, d Dependencies) *Server {
	server := &Server{
		settings: s,
		deps:     d,
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

// Drain makes /readyz report that the server is not ready and serves on for
// ReadinessLag, so that load balancers stop sending requests. Then it stops
// listening and waits for the requests in flight. It returns an error if ctx ends
// first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := clock.Sleep(ctx, clock.Real{}, s.settings.ReadinessLag); err != nil {
		return fmt.Errorf("wait for load balancers to stop sending requests: %w", err)
	}
	if err := s.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain: %d requests still in flight: %w", len(s.inFlight), err)
	}
	return nil
}

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool { return s.draining.Load() }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return len(s.inFlight) }

// routes returns the handler of the API.
func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", s.healthz)
	e.GET("/readyz", s.readyz)
	// The middleware is added to each route, because an echo group with
	// middleware responds to a wrong method as to an unknown path.
	e.POST("/v1/chat/completions", s.chat, s.measureDuration, s.limitInFlight, s.authenticate)
	e.GET("/v1/models", s.models, s.measureDuration, s.limitInFlight, s.authenticate)
	e.GET("/v1/models/:model", s.model, s.measureDuration, s.limitInFlight, s.authenticate)
	e.Any("/v1/services/:service", s.service, s.measureDuration, s.limitInFlight, s.authenticate)
	e.Any("/v1/services/:service/*", s.service, s.measureDuration, s.limitInFlight, s.authenticate)
	return e
}

// healthz responds with 200 as long as the process serves requests.
func (s *Server) healthz(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// Readiness is the JSON response of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

// readyz responds with 200 if the router should get requests, otherwise with 503
// and the reasons.
func (s *Server) readyz(c echo.Context) error {
	reasons := s.deps.UnreadyReasons()
	if s.draining.Load() {
		reasons = append(reasons, "draining")
	}
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

// limitInFlight is middleware that refuses requests while MaxInFlight requests are
// being served. During a drain it also makes callers close their connections.
func (s *Server) limitInFlight(next echo.HandlerFunc) echo.HandlerFunc {
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

// handleError writes the error that a handler returned, unless the response has
// started already. It is echo's HTTPErrorHandler.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var echoError *echo.HTTPError
	f := failure.As(err)
	switch {
	case f != nil:
	case errors.As(err, &echoError):
		f = failure.New(codeForStatus(echoError.Code), "route request", "", fmt.Sprint(echoError.Message))
	default:
		f = asFailure(err)
	}
	s.metrics.countFailure(f.Code)
	writeFailure(c.Response(), requestID(c), f)
}

// codeForStatus returns the failure code for a status that echo itself responds
// with.
func codeForStatus(status int) failure.Code {
	switch status {
	case http.StatusNotFound:
		return failure.NotFound
	case http.StatusMethodNotAllowed:
		return failure.MethodNotAllowed
	}
	return failure.BadRequest
}
