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
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// Limits of the history API.
const (
	// defaultHistoryLimit and maxHistoryLimit are numbers of revisions in one
	// response.
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
	// maxRevisionWait is the longest wait for a revision to be accepted. It is
	// below requestTimeout.
	maxRevisionWait = 20 * time.Second
)

// Rollback is the body of a request that commits the document of the earlier
// revision To as a new revision.
type Rollback struct {
	To   int64  `json:"to"`
	Note string `json:"note,omitempty"`
	// ID identifies the change, as in fleetconfig.Change. A retry with the same ID
	// commits it once.
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

// putConfig replaces the whole document. It commits the difference to the
// revision in If-Match, which must be the newest one.
func (s *Server) putConfig(c echo.Context) error {
	change, err := s.newChange(c)
	if err != nil {
		return err
	}
	var document catalog.Document
	if err := decodeBody(c, &document); err != nil {
		return err
	}
	change.Note = c.QueryParam("note")
	change.ID = c.QueryParam("id")
	return writeResult(c)(s.deps.Config.Replace(c.Request().Context(), change, document))
}

// newChange returns a change without operations against the revision in
// If-Match, with the author of the request.
func (s *Server) newChange(c echo.Context) (fleetconfig.Change, error) {
	base, err := s.baseRevision(c)
	return fleetconfig.Change{Base: base, Author: c.Request().Header.Get(authorHeader)}, err
}

// writeResult returns a function that takes the results of a method of
// fleetconfig.Keeper and writes the revision's status as the response, with the
// revision as the ETag.
func writeResult(c echo.Context) func(fleetconfig.RevisionStatus, error) error {
	return func(result fleetconfig.RevisionStatus, err error) error {
		if err != nil {
			return err
		}
		c.Response().Header().Set("ETag", etag(result.Revision))
		return c.JSON(http.StatusOK, result)
	}
}

// getRevisions lists the revisions that follow the one in the query parameter
// "after", or the newest ones without that parameter, oldest first. It returns at
// most as many as the parameter "limit" says, and never more than
// maxHistoryLimit. A limit of 0 or none is defaultHistoryLimit.
func (s *Server) getRevisions(c echo.Context) error {
	limit, err := numberParam(c, "limit")
	if err != nil {
		return err
	}
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	limit = min(limit, maxHistoryLimit)
	after, err := numberParam(c, "after")
	if err != nil {
		return err
	}
	if c.QueryParam("after") == "" {
		after = max(0, s.deps.Config.Catalog().Revision-limit)
	}
	revisions, err := s.deps.Config.History(c.Request().Context(), after, int(limit))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, revisions)
}

// getRevision returns whether all routers have accepted a revision, and which
// routers have not. It waits for the acceptance for the duration in the query
// parameter "wait", such as 5s, but at most maxRevisionWait.
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
	return writeResult(c)(s.deps.Config.Status(c.Request().Context(), revision, min(wait, maxRevisionWait)))
}

// getDiff lists the operations that turn the revision in the query parameter
// "from" into the one in the parameter "to".
func (s *Server) getDiff(c echo.Context) error {
	from, err := numberParam(c, "from")
	if err != nil {
		return err
	}
	to, err := numberParam(c, "to")
	if err != nil {
		return err
	}
	ops, err := s.deps.Config.Compare(c.Request().Context(), from, to)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, append([]fleetconfig.Op{}, ops...))
}

// postRollback commits the document of an earlier revision against the revision
// in If-Match.
func (s *Server) postRollback(c echo.Context) error {
	change, err := s.newChange(c)
	if err != nil {
		return err
	}
	var body Rollback
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	change.Note, change.ID = body.Note, body.ID
	return writeResult(c)(s.deps.Config.Rollback(c.Request().Context(), change, body.To))
}

// getMembers lists the other members of the fleet that this router knows.
func (s *Server) getMembers(c echo.Context) error {
	return c.JSON(http.StatusOK, s.deps.Members())
}

// conflictingRevisions returns the changes in a conflict error, oldest first, or
// nil if err is no conflict.
func conflictingRevisions(err error) []fleetconfig.Revision {
	var conflict *fleetconfig.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Others
	}
	return nil
}
