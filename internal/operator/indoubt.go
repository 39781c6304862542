package operator

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
)

// ReplicaFlusher has the bill replicas of a lost router written to the store
// before one of its in-doubt grants is resolved.
type ReplicaFlusher struct {
	// Flush makes all routers write the bill replicas that they store of the
	// router with this incarnation. The error names the routers that failed to
	// write or did not respond.
	Flush func(ctx context.Context, incarnation string) error
}

// InDoubtGrantList is the response of GET /v1/doubts.
type InDoubtGrantList struct {
	Grants []budget.InDoubtGrant `json:"doubts"`
}

// recordedGrants is the set of in-doubt grants for which an event was recorded.
// With it, listing the same grant again does not record another event.
type recordedGrants struct {
	mu   sync.Mutex // guards keys
	keys map[string]bool
}

// maxRecordedGrants limits the memory of recordedGrants. When the set is full it
// is emptied, and grants that were in it are recorded again.
const maxRecordedGrants = 10_000

// add adds a grant, identified by its account and the incarnation of its holder, to
// the set and reports whether it was new.
func (r *recordedGrants) add(grant budget.InDoubtGrant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := grant.Account.String() + "/" + grant.Incarnation
	if r.keys[key] {
		return false
	}
	if r.keys == nil || len(r.keys) >= maxRecordedGrants {
		r.keys = make(map[string]bool)
	}
	r.keys[key] = true
	return true
}

func (s *Server) inDoubtRoutes(api *echo.Group) {
	api.GET("/doubts", s.getInDoubtGrants)
	api.POST("/doubts/settle", s.postResolution)
}

// getInDoubtGrants lists the in-doubt grants of all budgets and records an event
// for each new one.
func (s *Server) getInDoubtGrants(c echo.Context) error {
	grants, err := s.deps.Ledger.InDoubtGrants(c.Request().Context())
	if err != nil {
		return err
	}
	for _, g := range grants {
		if s.recorded.add(g) {
			s.recordGrantEvent(event.GrantInDoubt, g.Account, g.Incarnation, g.Remaining, "holder "+g.Holder+" is no member")
		}
	}
	return c.JSON(http.StatusOK, InDoubtGrantList{Grants: grants})
}

// recordGrantEvent records an event about an in-doubt grant of an incarnation,
// with the number of tokens that are in doubt or were written off.
func (s *Server) recordGrantEvent(kind event.Kind, a budget.Account, incarnation string, tokens int64, detail string) {
	s.deps.Events.Record(event.Event{
		Component: event.ComponentBudget, Kind: kind, Workspace: a.Workspace, Peer: incarnation, Tokens: tokens, Detail: detail,
	})
}

// postResolution resolves an in-doubt grant. Before that, all routers write the
// bill replicas of the lost router, so that the tokens in them are counted as
// spent. If some replicas may be unwritten, a resolution that returns tokens to
// the budget is refused with status 409, because it could return tokens that were
// spent. A resolution that writes off all remaining tokens is safe without the
// bills.
func (s *Server) postResolution(c echo.Context) error {
	var resolution budget.Resolution
	if err := decodeBody(c, &resolution); err != nil {
		return err
	}
	if resolution.Account.Workspace == "" || resolution.Account.Budget == "" || resolution.Incarnation == "" {
		return failure.New(failure.BadRequest, "check settlement", "operator", "send account and incarnation, as GET /v1/doubts lists them")
	}
	ctx := c.Request().Context()
	if err := s.deps.Replicas.Flush(ctx, resolution.Incarnation); err != nil && resolution.ProcessDead {
		return failure.New(failure.Conflict, "flush copies of bills", "", fmt.Sprintf(
			"a router may keep bills of this grant that are not written yet; wait, or settle without gone, which burns the rest: %v", err))
	}
	resolved, err := s.deps.Ledger.ResolveInDoubtGrant(ctx, resolution)
	if err != nil {
		return err
	}
	s.recordGrantEvent(event.InDoubtGrantResolved, resolved.Account, resolved.Incarnation, resolved.WrittenOff,
		fmt.Sprintf("burned %d, returned %d", resolved.WrittenOff, resolved.Returned))
	return c.JSON(http.StatusOK, resolved)
}
