package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/work"
)

// sourceKey is the name of the request's work.Source in echo's context.
const sourceKey = "daisyslip.source"

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

func sourceOf(c echo.Context) work.RequestInfo {
	source, _ := c.Get(sourceKey).(work.RequestInfo)
	return source
}

func requestID(c echo.Context) string { return sourceOf(c).RequestID }

// authenticate finds the workspace of the caller's key, reads the headers
// that all requests share and bounds the request by its deadline.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		source := work.RequestInfo{RequestID: uuid.NewString()}
		c.Set(sourceKey, source)
		c.Response().Header().Set(headerRequestID, source.RequestID)
		if err := s.fresh(c.Request().Context()); err != nil {
			return err
		}
		principal, err := s.principal(c.Request())
		if err != nil {
			return err
		}
		source.Workspace, source.Budget = principal.Workspace.Name, principal.Budget
		if err := s.readHeaders(c.Request().Header, &source); err != nil {
			return err
		}
		c.Set(sourceKey, source)
		ctx := event.WithRequest(c.Request().Context(), source.RequestID)
		ctx, cancel := context.WithDeadline(ctx, source.Deadline)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		s.record(source, event.RequestReceived, c.Request().URL.Path)
		err = next(c)
		s.conclude(source, err)
		return err
	}
}

// conclude records how a request ended.
func (s *Server) conclude(source work.RequestInfo, err error) {
	switch {
	case err == nil:
		s.record(source, event.RequestAnswered, "")
	case asFailure(err).Ran == failure.RanNo:
		s.record(source, event.RequestRefused, err.Error())
	default:
		s.record(source, event.RequestBroken, err.Error())
	}
}

func (s *Server) record(source work.RequestInfo, kind event.Kind, detail string) {
	s.duties.Events.Record(event.Event{
		Duty:      event.DutyCaller,
		Kind:      kind,
		Request:   source.RequestID,
		Workspace: source.Workspace,
		Key:       event.KeyHash(source.Workspace, source.IdempotencyKey),
		Detail:    detail,
	})
}

// fresh refuses work while the revision in force may be too old.
func (s *Server) fresh(ctx context.Context) error {
	if s.duties.ConfirmView == nil {
		return nil
	}
	return s.duties.ConfirmView(ctx)
}

// principal finds who the bearer token acts for.
func (s *Server) principal(r *http.Request) (catalog.Principal, error) {
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return catalog.Principal{}, failure.New(failure.Unauthorized, "authenticate", "", "send the workspace's key as Authorization: Bearer KEY")
	}
	principal, found := s.duties.Config.Catalog().Authenticate(catalog.HashKey(secret))
	if !found {
		return catalog.Principal{}, failure.New(failure.Unauthorized, "authenticate", "", "no workspace has this key")
	}
	if principal.Workspace.Disabled {
		return catalog.Principal{}, failure.New(failure.Forbidden, "authenticate", "", "the workspace is disabled")
	}
	return principal, nil
}

// readHeaders fills the source from the caller's headers.
func (s *Server) readHeaders(h http.Header, source *work.RequestInfo) error {
	source.IdempotencyKey = h.Get(headerKey)
	if len(source.IdempotencyKey) > maxKeyBytes {
		return failure.New(failure.BadRequest, "read headers", "", fmt.Sprintf("%s is longer than %d bytes", headerKey, maxKeyBytes))
	}
	priority, ok := work.ParsePriority(h.Get(headerPriority))
	if !ok {
		return failure.New(failure.BadRequest, "read headers", "", headerPriority+" must be batch, normal or urgent")
	}
	source.Priority = priority
	deadline := s.settings.DefaultDeadline
	if text := h.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > s.settings.MaxDeadline.Milliseconds() {
			return failure.New(failure.BadRequest, "read headers", "",
				fmt.Sprintf("%s must be a number of milliseconds from 1 to %d", headerDeadline, s.settings.MaxDeadline.Milliseconds()))
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	source.Deadline = time.Now().Add(deadline)
	return nil
}
