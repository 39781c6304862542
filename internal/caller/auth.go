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
	"daisyslip.dev/daisyslip/internal/requests"
)

// requestInfoKey is the key under which echo's context holds the request's
// requests.RequestInfo.
const requestInfoKey = "daisyslip.source"

// maxIdempotencyKeyBytes bounds the length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// requestInfo returns what authenticate stored for the request, or the zero value
// for a request that did not pass through it.
func requestInfo(c echo.Context) requests.RequestInfo {
	info, _ := c.Get(requestInfoKey).(requests.RequestInfo)
	return info
}

// requestID returns the request's id, or "" if it has none.
func requestID(c echo.Context) string { return requestInfo(c).RequestID }

// authenticate is middleware that assigns the request id, identifies the
// workspace by the caller's key, reads the headers that all requests share and
// applies the request's deadline to its context. It records the events for the
// start and the outcome of the request.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		info := requests.RequestInfo{RequestID: uuid.NewString()}
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

// recordOutcome records the event for the outcome of a request: completed, refused
// if it failed and was not executed, or broken otherwise.
func (s *Server) recordOutcome(info requests.RequestInfo, err error) {
	switch {
	case err == nil:
		s.record(info, event.RequestCompleted, "")
	case asFailure(err).Ran == failure.RanNo:
		s.record(info, event.RequestRefused, err.Error())
	default:
		s.record(info, event.RequestBroken, err.Error())
	}
}

// record records an event of a request. The idempotency key is recorded as a hash.
func (s *Server) record(info requests.RequestInfo, kind event.Kind, detail string) {
	s.deps.Events.Record(event.Event{
		Component: event.ComponentCaller,
		Kind:      kind,
		Request:   info.RequestID,
		Workspace: info.Workspace,
		Key:       event.KeyHash(info.Workspace, info.IdempotencyKey),
		Detail:    detail,
	})
}

// confirmView returns an error while the applied configuration may be too old to
// be used.
func (s *Server) confirmView(ctx context.Context) error {
	if s.deps.ConfirmView == nil {
		return nil
	}
	return s.deps.ConfirmView(ctx)
}

// principal returns the workspace and budget that the request's bearer token
// belongs to. It fails for a missing or unknown token and for a disabled
// workspace.
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

// readHeaders sets the idempotency key, the priority and the deadline in info from
// the caller's headers.
func (s *Server) readHeaders(h http.Header, info *requests.RequestInfo) error {
	info.IdempotencyKey = h.Get(headerIdempotencyKey)
	if len(info.IdempotencyKey) > maxIdempotencyKeyBytes {
		return failure.New(failure.BadRequest, "read headers", "", fmt.Sprintf("%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	priority, ok := requests.ParsePriority(h.Get(headerPriority))
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
