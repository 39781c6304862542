package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/httpserver"
	"daisyslip.dev/daisyslip/internal/orders"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// headerTimeout is the time in which a client must have sent the headers of a
// request. requestTimeout is the maximum duration of one request to the API.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
)

// Status is the state of one router, as GET /v1/status returns it. Revision is that of
// the applied configuration, InFlight the number of callers' requests, and
// UnreadyReasons is empty if the router is ready. Draining is not one of the reasons.
type Status struct {
	Self           bus.Peer   `json:"self"`
	Version        string     `json:"version"`
	StartedAt      time.Time  `json:"started"`
	Revision       int64      `json:"revision"`
	InFlight       int        `json:"in_flight"`
	Draining       bool       `json:"draining"`
	UnreadyReasons []string   `json:"unready,omitempty"`
	Peers          []bus.Peer `json:"peers"`
}

// Dependencies are the components of the router that the operator API uses.
type Dependencies struct {
	Config   *fleetconfig.Keeper
	Ledger   *budget.Ledger
	Replicas ReplicaFlusher
	// Events has this router's own events, and Copies the copies of other routers'
	// events that it stores.
	Events  *timeline.Ring
	Copies  *timeline.Copies
	Metrics *metrics.Set
	Log     *slog.Logger
	Status  func() Status
	// Members returns the other members of the fleet that this router knows; nil
	// if there is no membership.
	Members func() []member.Status
	// Orders sends orders to endpoints.
	Orders *orders.Sender
}

// Server serves the operator API over HTTP. The embedded httpserver.Server has the
// methods of its life cycle, from Provision to Cleanup.
type Server struct {
	*httpserver.Server

	settings Settings
	deps     Dependencies
	echo     *echo.Echo
	recorded recordedGrants
}

// New returns a server. It listens after Provision and serves in Run.
func New(s Settings, d Dependencies) *Server {
	server := &Server{settings: s, deps: d, echo: echo.New()}
	server.echo.HideBanner = true
	server.echo.HTTPErrorHandler = server.handleError
	server.registerRoutes()
	server.Server = httpserver.New("operators", s.Listen, s.TLS, &http.Server{
		Handler:           server.echo,
		ReadHeaderTimeout: headerTimeout,
	}, d.Log)
	return server
}

func (s *Server) registerRoutes() {
	s.echo.GET("/metrics", s.getMetrics)
	s.healthRoutes()
	// The middleware is installed on the root and not on the group, because a
	// group with middleware responds to a wrong method with 404 instead of 405.
	s.echo.Use(s.authenticate, s.limitRequest)
	api := s.echo.Group(apiPrefix)
	api.GET("/status", s.getStatus)
	api.GET("/events", s.getEvents)
	api.GET("/events/copies", s.getCopies)
	s.configRoutes(api)
	s.budgetRoutes(api)
	s.inDoubtRoutes(api)
}

// apiPrefix is the prefix of the paths that require the operators' token. Probes
// and metrics are outside of it and need none.
const apiPrefix = "/v1"

// authenticate is middleware that requires the operators' token for paths below
// apiPrefix. It compares hashes in constant time.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !strings.HasPrefix(c.Request().URL.Path, apiPrefix+"/") {
			return next(c)
		}
		token, found := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		hash := catalog.HashKey(token)
		if !found || subtle.ConstantTimeCompare([]byte(hash), []byte(s.settings.TokenHash)) != 1 {
			return failure.New(failure.Unauthorized, "authenticate", "", "send the operators' token as Authorization: Bearer TOKEN")
		}
		return next(c)
	}
}

// limitRequest is middleware that limits the duration and the body size of a
// request.
func (s *Server) limitRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.settings.MaxBodyBytes)
		c.SetRequest(r.WithContext(ctx))
		return next(c)
	}
}

func (s *Server) getMetrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.deps.Metrics.WritePrometheus(c.Response())
	metrics.WriteProcessMetrics(c.Response())
	return nil
}

func (s *Server) getStatus(c echo.Context) error { return c.JSON(http.StatusOK, s.deps.Status()) }

// numberParam returns the value of a query parameter that is an integer of 0 or
// more. A missing parameter is 0.
func numberParam(c echo.Context, name string) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, failure.New(failure.BadRequest, "read "+name, "", fmt.Sprintf("%q is no number from 0", text))
	}
	return n, nil
}

// decodeBody decodes the JSON body of a request into v and refuses unknown
// fields.
func decodeBody(c echo.Context, v any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return bodyFailure(err)
	}
	return nil
}

// bodyFailure returns the failure for a body that could not be read or decoded.
func bodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.TooLarge, "read body", "operator", fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	}
	return failure.Wrap(failure.BadRequest, "decode body", "operator", err)
}

// httpStatuses maps failure codes to HTTP statuses. toFailure uses status 500 for
// codes that are missing here.
var httpStatuses = map[failure.Code]int{
	failure.BadRequest:       http.StatusBadRequest,
	failure.Unauthorized:     http.StatusUnauthorized,
	failure.NotFound:         http.StatusNotFound,
	failure.MethodNotAllowed: http.StatusMethodNotAllowed,
	failure.TooLarge:         http.StatusRequestEntityTooLarge,
	failure.Conflict:         http.StatusConflict,
	failure.StoreUnavailable: http.StatusServiceUnavailable,
	failure.PeerUnavailable:  http.StatusServiceUnavailable,
}

// ErrorBody is the JSON body of every response with a status other than 200,
// except those of the probes.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure: its code, what went wrong, in which step, and
// at which peer.
type ErrorDetail struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
	Step    string       `json:"step"`
	Peer    string       `json:"peer"`
	// Others are the changes that were committed since the base revision of a
	// change that conflicts with them, oldest first.
	Others []fleetconfig.Revision `json:"others,omitempty"`
}

// handleError writes the response for an error that a handler returned.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f, status := toFailure(err)
	body := ErrorBody{Error: ErrorDetail{Code: f.Code, Message: f.Message, Step: f.Step, Peer: f.Peer}}
	body.Error.Others = conflictingRevisions(err)
	if err := c.JSON(status, body); err != nil {
		s.deps.Log.Debug("operator API could not write an error response", "err", err)
	}
}

// codeForStatus returns the failure code for the HTTP status of an error that
// echo itself returned, such as for an unknown path. A status without a code of
// its own is a bad request.
func codeForStatus(status int) failure.Code {
	switch status {
	case http.StatusNotFound:
		return failure.NotFound
	case http.StatusMethodNotAllowed:
		return failure.MethodNotAllowed
	}
	return failure.BadRequest
}

// toFailure converts an error of a handler to a failure and its HTTP status.
// Errors of unknown origin are reported as an unavailable store.
func toFailure(err error) (*failure.Error, int) {
	if f := failure.As(err); f != nil {
		status := httpStatuses[f.Code]
		if status == 0 {
			status = http.StatusInternalServerError
		}
		return f, status
	}
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &httpErr):
		return failure.New(codeForStatus(httpErr.Code), "route request", "", fmt.Sprint(httpErr.Message)), httpErr.Code
	case errors.Is(err, budget.ErrNotFound):
		return failure.Wrap(failure.NotFound, "read budget", "", err), http.StatusNotFound
	case errors.Is(err, budget.ErrConflict):
		return failure.Wrap(failure.Conflict, "change budget", "", err), http.StatusConflict
	}
	return failure.Wrap(failure.StoreUnavailable, "serve operator", "platform", err), http.StatusServiceUnavailable
}
