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
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/httpserver"
	"daisyslip.dev/daisyslip/internal/orders"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// headerTimeout bounds the reading of a request's headers, and callTimeout
// the work of one request.
const (
	headerTimeout = 5 * time.Second
	callTimeout   = 30 * time.Second
)

// Status is what a router says of itself.
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

// Duties are the other duties that the operator API uses.
type Dependencies struct {
	Config   *conf.Keeper
	Ledger   *budget.Ledger
	Replicas ReplicaFlusher
	Events   *timeline.Ring
	Copies   *timeline.Copies
	Metrics  *metrics.Set
	Log      *slog.Logger
	Status   func() Status
	// Members lists the routers known; nil if there is no membership.
	Members func() []member.Status
	// Orders gives orders to endpoints.
	Orders *orders.Sender
}

// Server serves the operator API.
type Server struct {
	*httpserver.Server

	settings Settings
	duties   Dependencies
	echo     *echo.Echo
	seen     doubtsSeen
}

// New returns a server that does not listen yet.
func New(s Settings, d Dependencies) *Server {
	server := &Server{settings: s, duties: d, echo: echo.New()}
	server.echo.HideBanner = true
	server.echo.HTTPErrorHandler = server.handleError
	server.routes()
	server.Server = httpserver.New("operators", s.Listen, s.TLS, &http.Server{
		Handler:           server.echo,
		ReadHeaderTimeout: headerTimeout,
	}, d.Log)
	return server
}

func (s *Server) routes() {
	s.echo.GET("/metrics", s.metrics)
	s.healthRoutes()
	// The middleware stands on the whole API, since a group with middleware
	// would answer a wrong method as an unknown path.
	s.echo.Use(s.authenticate, s.bound)
	api := s.echo.Group(apiPrefix)
	api.GET("/status", s.status)
	api.GET("/events", s.events)
	api.GET("/events/copies", s.copies)
	s.configRoutes(api)
	s.budgetRoutes(api)
	s.doubtRoutes(api)
}

// apiPrefix starts the paths that need the operators' token; probes and
// metrics stand outside.
const apiPrefix = "/v1"

// authenticate requires the operators' token.
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

// bound limits the time and the body of a request.
func (s *Server) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.settings.MaxBodyBytes)
		c.SetRequest(r.WithContext(ctx))
		return next(c)
	}
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.duties.Metrics.WritePrometheus(c.Response())
	metrics.WriteProcessMetrics(c.Response())
	return nil
}

func (s *Server) status(c echo.Context) error { return c.JSON(http.StatusOK, s.duties.Status()) }

// numberParam reads a query parameter that is a number; absent is 0.
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

// decodeBody reads the JSON body strictly.
func decodeBody(c echo.Context, v any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return badBody(err)
	}
	return nil
}

// badBody is the failure of a body that could not be read or decoded.
func badBody(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.TooLarge, "read body", "operator", fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	}
	return failure.Wrap(failure.BadRequest, "decode body", "operator", err)
}

// statuses maps the codes that operators meet to HTTP statuses.
var statuses = map[failure.Code]int{
	failure.BadRequest:       http.StatusBadRequest,
	failure.Unauthorized:     http.StatusUnauthorized,
	failure.NotFound:         http.StatusNotFound,
	failure.MethodNotAllowed: http.StatusMethodNotAllowed,
	failure.TooLarge:         http.StatusRequestEntityTooLarge,
	failure.Conflict:         http.StatusConflict,
	failure.StoreUnavailable: http.StatusServiceUnavailable,
	failure.PeerUnavailable:  http.StatusServiceUnavailable,
}

// ErrorBody is the body of every failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Code    failure.Code `json:"code"`
	Message string       `json:"message"`
	Step    string       `json:"step"`
	Peer    string       `json:"peer"`
	// Others are the changes that came before a refused one.
	Others []conf.Revision `json:"others,omitempty"`
}

func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f, status := describe(err)
	body := ErrorBody{Error: ErrorDetail{Code: f.Code, Message: f.Message, Step: f.Step, Peer: f.Peer}}
	body.Error.Others = othersOf(err)
	if err := c.JSON(status, body); err != nil {
		s.duties.Log.Debug("Answer not written.", "err", err)
	}
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

// describe turns an error into a failure and its status.
func describe(err error) (*failure.Error, int) {
	if f := failure.As(err); f != nil {
		status := statuses[f.Code]
		if status == 0 {
			status = http.StatusInternalServerError
		}
		return f, status
	}
	var fromEcho *echo.HTTPError
	switch {
	case errors.As(err, &fromEcho):
		return failure.New(codeOfStatus(fromEcho.Code), "route request", "", fmt.Sprint(fromEcho.Message)), fromEcho.Code
	case errors.Is(err, budget.ErrNotFound):
		return failure.Wrap(failure.NotFound, "read budget", "", err), http.StatusNotFound
	case errors.Is(err, budget.ErrConflict):
		return failure.Wrap(failure.Conflict, "change budget", "", err), http.StatusConflict
	}
	return failure.Wrap(failure.StoreUnavailable, "serve operator", "platform", err), http.StatusServiceUnavailable
}
