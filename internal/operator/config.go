package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// authorHeader is the request header with the name of the operator who makes a
// change. The name is recorded in the history and not verified.
const authorHeader = "Daisyslip-Author"

// entityPaths maps path segments to kinds of entities: /v1/pools/NAME is the path
// of a pool.
var entityPaths = map[string]fleetconfig.EntityKind{
	"workspaces": fleetconfig.KindWorkspace,
	"pools":      fleetconfig.KindPool,
	"endpoints":  fleetconfig.KindEndpoint,
	"rules":      fleetconfig.KindRule,
}

func (s *Server) configRoutes(api *echo.Group) {
	api.GET("/config", s.getConfig)
	api.POST("/config/changes", s.postChange)
	s.historyRoutes(api)
	for path, kind := range entityPaths {
		api.PUT("/"+path+"/:name", s.putEntity(kind))
		api.DELETE("/"+path+"/:name", s.deleteEntity(kind))
	}
}

// getConfig returns the applied configuration, with its revision as the ETag.
func (s *Server) getConfig(c echo.Context) error {
	catalog := s.deps.Config.Catalog()
	c.Response().Header().Set("ETag", etag(catalog.Revision))
	return c.JSON(http.StatusOK, catalog.Document())
}

// etag returns the ETag of a revision: its number in quotes.
func etag(revision int64) string { return strconv.Quote(strconv.FormatInt(revision, 10)) }

// postChange commits a change of several entities against the base revision in
// the body. An author in the body takes precedence over authorHeader.
func (s *Server) postChange(c echo.Context) error {
	var change fleetconfig.Change
	if err := decodeBody(c, &change); err != nil {
		return err
	}
	if change.Author == "" {
		change.Author = c.Request().Header.Get(authorHeader)
	}
	return s.commit(c, change)
}

// commit commits a change and returns its result with the new revision as the
// ETag.
func (s *Server) commit(c echo.Context, change fleetconfig.Change) error {
	result, err := s.deps.Config.Commit(c.Request().Context(), change)
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(result.Revision))
	return c.JSON(http.StatusOK, result)
}

// putEntity returns the handler that creates or replaces one entity. The handler
// only checks that the body is JSON; the commit validates the fields.
func (s *Server) putEntity(kind fleetconfig.EntityKind) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return bodyFailure(err)
		}
		if !json.Valid(body) {
			return failure.New(failure.BadRequest, "decode body", "operator", "the body is no JSON")
		}
		return s.commitOp(c, fleetconfig.Op{Kind: kind, Name: c.Param("name"), Put: body})
	}
}

// deleteEntity returns the handler that deletes one entity.
func (s *Server) deleteEntity(kind fleetconfig.EntityKind) echo.HandlerFunc {
	return func(c echo.Context) error {
		return s.commitOp(c, fleetconfig.Op{Kind: kind, Name: c.Param("name")})
	}
}

// commitOp commits one operation against the revision in If-Match.
func (s *Server) commitOp(c echo.Context, op fleetconfig.Op) error {
	base, err := s.baseRevision(c)
	if err != nil {
		return err
	}
	return s.commit(c, fleetconfig.Change{Base: base, Author: c.Request().Header.Get(authorHeader), Ops: []fleetconfig.Op{op}})
}

// baseRevision returns the revision in If-Match, with or without quotes. It
// fails if the header is missing or not a number, because without the revision a
// change could overwrite one that the operator has not seen.
func (s *Server) baseRevision(c echo.Context) (int64, error) {
	text := strings.Trim(c.Request().Header.Get("If-Match"), `"`)
	base, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, failure.New(failure.BadRequest, "read If-Match", "operator", "send the revision that the change was made against, from the ETag of GET /v1/config")
	}
	return base, nil
}
