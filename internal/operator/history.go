package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/conf"
)

// Bounds of the history API.
const (
	defaultHistory = 50
	maxHistory     = 1000
	maxWait        = 20 * time.Second
)

// Rollback asks for an earlier revision's document as a new revision.
type Rollback struct {
	To   int64  `json:"to"`
	Note string `json:"note,omitempty"`
	// ID identifies the change, as in conf.Change.
	ID string `json:"id,omitempty"`
}

func (s *Server) historyRoutes(api *echo.Group) {
	api.PUT("/config", s.putConfig)
	api.GET("/config/revisions", s.getRevisions)
	api.GET("/config/revisions/:revision", s.getRevision)
	api.GET("/config/diff", s.getDiff)
	api.POST("/config/rollback", s.postRollback)
	api.GET("/members", s.getMembers)
	api.POST("/endpoints/:name/orders", s.postOrder)
}

// putConfig replaces the whole document of the revision of If-Match.
func (s *Server) putConfig(c echo.Context) error {
	change, err := s.changeOf(c)
	if err != nil {
		return err
	}
	var document catalog.Document
	if err := decodeBody(c, &document); err != nil {
		return err
	}
	change.Note = c.QueryParam("note")
	change.ID = c.QueryParam("id")
	return answerChange(c)(s.duties.Config.Replace(c.Request().Context(), change, document))
}

// changeOf starts a change against the revision of If-Match.
func (s *Server) changeOf(c echo.Context) (conf.Change, error) {
	base, err := s.baseRevision(c)
	return conf.Change{Base: base, Author: c.Request().Header.Get(authorHeader)}, err
}

// answerChange answers with the result of a change.
func answerChange(c echo.Context) func(conf.RevisionStatus, error) error {
	return func(result conf.RevisionStatus, err error) error {
		if err != nil {
			return err
		}
		c.Response().Header().Set("ETag", etag(result.Revision))
		return c.JSON(http.StatusOK, result)
	}
}

// getRevisions lists the history after a revision; without one, the newest.
func (s *Server) getRevisions(c echo.Context) error {
	limit, err := numberParam(c, "limit")
	if err != nil {
		return err
	}
	if limit == 0 {
		limit = defaultHistory
	}
	limit = min(limit, maxHistory)
	after, err := numberParam(c, "after")
	if err != nil {
		return err
	}
	if c.QueryParam("after") == "" {
		after = max(0, s.duties.Config.Catalog().Revision-limit)
	}
	revisions, err := s.duties.Config.History(c.Request().Context(), after, int(limit))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, revisions)
}

// getRevision says how far a revision has come, after waiting as long as the
// parameter wait says, a duration such as 5s.
func (s *Server) getRevision(c echo.Context) error {
	revision, err := strconv.ParseInt(c.Param("revision"), 10, 64)
	if err != nil || revision <= 0 {
		return failure.New(failure.BadRequest, "read revision", "", fmt.Sprintf("%q is no revision", c.Param("revision")))
	}
	wait := time.Duration(0)
	if text := c.QueryParam("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return failure.Wrap(failure.BadRequest, "read wait", "", err)
		}
	}
	return answerChange(c)(s.duties.Config.Status(c.Request().Context(), revision, min(wait, maxWait)))
}

// getDiff lists the operations that lead from one revision to another.
func (s *Server) getDiff(c echo.Context) error {
	from, err := numberParam(c, "from")
	if err != nil {
		return err
	}
	to, err := numberParam(c, "to")
	if err != nil {
		return err
	}
	ops, err := s.duties.Config.Compare(c.Request().Context(), from, to)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, append([]conf.Op{}, ops...))
}

func (s *Server) postRollback(c echo.Context) error {
	change, err := s.changeOf(c)
	if err != nil {
		return err
	}
	var body Rollback
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	change.Note, change.ID = body.Note, body.ID
	return answerChange(c)(s.duties.Config.Rollback(c.Request().Context(), change, body.To))
}

// getMembers lists the other routers that this one knows.
func (s *Server) getMembers(c echo.Context) error {
	return c.JSON(http.StatusOK, s.duties.Members())
}

// othersOf returns the changes that came before a refused one.
func othersOf(err error) []conf.Revision {
	var conflict *conf.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Others
	}
	return nil
}
