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

// Doubts are the duties behind the operators' view of doubts.
type ReplicaFlusher struct {
	// Flush has all routers write the bills that they keep for a lost one.
	Flush func(ctx context.Context, incarnation string) error
}

// DoubtList is the answer that lists doubts.
type InDoubtGrantList struct {
	Grants []budget.InDoubtGrant `json:"doubts"`
}

// doubtsSeen remembers which doubts were recorded as events.
type recordedGrants struct {
	mu   sync.Mutex // guards seen
	keys map[string]bool
}

// maxDoubtsSeen bounds the memory of doubtsSeen; past it doubts are recorded
// again.
const maxRecordedGrants = 10_000

// first reports whether the doubt is new.
func (d *recordedGrants) add(grant budget.InDoubtGrant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := grant.Account.String() + "/" + grant.Incarnation
	if d.keys[key] {
		return false
	}
	if d.keys == nil || len(d.keys) >= maxRecordedGrants {
		d.keys = make(map[string]bool)
	}
	d.keys[key] = true
	return true
}

func (s *Server) inDoubtRoutes(api *echo.Group) {
	api.GET("/doubts", s.getInDoubtGrants)
	api.POST("/doubts/settle", s.postResolution)
}

func (s *Server) getInDoubtGrants(c echo.Context) error {
	grants, err := s.deps.Ledger.InDoubtGrants(c.Request().Context())
	if err != nil {
		return err
	}
	for _, g := range grants {
		if s.recorded.add(g) {
			s.recordGrantEvent(event.DoubtRaised, g.Account, g.Incarnation, g.Remaining, "holder "+g.Holder+" is no member")
		}
	}
	return c.JSON(http.StatusOK, InDoubtGrantList{Grants: grants})
}

func (s *Server) recordGrantEvent(kind event.Kind, a budget.Account, incarnation string, tokens int64, detail string) {
	s.deps.Events.Record(event.Event{
		Duty: event.DutyBudget, Kind: kind, Workspace: a.Workspace, Peer: incarnation, Tokens: tokens, Detail: detail,
	})
}

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
	s.recordGrantEvent(event.DoubtSettled, resolved.Account, resolved.Incarnation, resolved.WrittenOff,
		fmt.Sprintf("burned %d, returned %d", resolved.WrittenOff, resolved.Returned))
	return c.JSON(http.StatusOK, resolved)
}
