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
const requestInfoKey = "daisyslip.source"

// maxKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 256

func requestInfo(c echo.Context) work.RequestInfo {
	info, _ := c.Get(requestInfoKey).(work.RequestInfo)
	return info
}

func requestID(c echo.Context) string { return requestInfo(c).RequestID }

// authenticate finds the workspace of the caller's key, reads the headers
// that all requests share and bounds the request by its deadline.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		info := work.RequestInfo{RequestID: uuid.NewString()}
		c.Set(requestInfoKey, info)
		c.Response().Header().Set(headerRequestID, info.RequestID)
		if err := s.confirmView(c.Request().Context()); err != nil {
			return err
		}
		principal, err := s.principal(c.Request())
		if err != nil {
			return err
		}
		info.Workspace, info.Budget = principal.Workspace.Name, principal.Budget
		if err := s.readHeaders(c.Request().Header, &info); err != nil {
			return err
		}
		c.Set(requestInfoKey, info)
		ctx := event.WithRequest(c.Request().Context(), info.RequestID)
		ctx, cancel := context.WithDeadline(ctx, info.Deadline)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		s.record(info, event.RequestReceived, c.Request().URL.Path)
		err = next(c)
		s.recordOutcome(info, err)
		return err
	}
}

// conclude records how a request ended.
func (s *Server) recordOutcome(info work.RequestInfo, err error) {
	switch {
	case err == nil:
		s.record(info, event.RequestAnswered, "")
	case asFailure(err).Ran == failure.RanNo:
		s.record(info, event.RequestRefused, err.Error())
	default:
		s.record(info, event.RequestBroken, err.Error())
	}
}

func (s *Server) record(info work.RequestInfo, kind event.Kind, detail string) {
	s.deps.Events.Record(event.Event{
		Duty:      event.DutyCaller,
		Kind:      kind,
		Request:   info.RequestID,
		Workspace: info.Workspace,
		Key:       event.KeyHash(info.Workspace, info.IdempotencyKey),
		Detail:    detail,
	})
}

// fresh refuses work while the revision in force may be too old.
func (s *Server) confirmView(ctx context.Context) error {
	if s.deps.ConfirmView == nil {
		return nil
	}
	return s.deps.ConfirmView(ctx)
}

// principal finds who the bearer token acts for.
func (s *Server) principal(r *http.Request) (catalog.Principal, error) {
	secret, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || secret == "" {
		return catalog.Principal{}, failure.New(failure.Unauthorized, "authenticate", "", "send the workspace's key as Authorization: Bearer KEY")
	}
	principal, found := s.deps.Config.Catalog().Authenticate(catalog.HashKey(secret))
	if !found {
		return catalog.Principal{}, failure.New(failure.Unauthorized, "authenticate", "", "no workspace has this key")
	}
	if principal.Workspace.Disabled {
		return catalog.Principal{}, failure.New(failure.Forbidden, "authenticate", "", "the workspace is disabled")
	}
	return principal, nil
}

// readHeaders fills the source from the caller's headers.
func (s *Server) readHeaders(h http.Header, info *work.RequestInfo) error {
	info.IdempotencyKey = h.Get(headerIdempotencyKey)
	if len(info.IdempotencyKey) > maxIdempotencyKeyBytes {
		return failure.New(failure.BadRequest, "read headers", "", fmt.Sprintf("%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	priority, ok := work.ParsePriority(h.Get(headerPriority))
	if !ok {
		return failure.New(failure.BadRequest, "read headers", "", headerPriority+" must be batch, normal or urgent")
	}
	info.Priority = priority
	deadline := s.settings.DefaultDeadline
	if text := h.Get(headerDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds <= 0 || milliseconds > s.settings.MaxDeadline.Milliseconds() {
			return failure.New(failure.BadRequest, "read headers", "",
				fmt.Sprintf("%s must be a number of milliseconds from 1 to %d", headerDeadline, s.settings.MaxDeadline.Milliseconds()))
		}
		deadline = time.Duration(milliseconds) * time.Millisecond
	}
	info.Deadline = time.Now().Add(deadline)
	return nil
}
