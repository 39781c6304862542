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
type doubtsSeen struct {
	mu   sync.Mutex // guards seen
	seen map[string]bool
}

// maxDoubtsSeen bounds the memory of doubtsSeen; past it doubts are recorded
// again.
const maxDoubtsSeen = 10_000

// first reports whether the doubt is new.
func (d *doubtsSeen) first(doubt budget.InDoubtGrant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := doubt.Account.String() + "/" + doubt.Incarnation
	if d.seen[key] {
		return false
	}
	if d.seen == nil || len(d.seen) >= maxDoubtsSeen {
		d.seen = make(map[string]bool)
	}
	d.seen[key] = true
	return true
}

func (s *Server) doubtRoutes(api *echo.Group) {
	api.GET("/doubts", s.getDoubts)
	api.POST("/doubts/settle", s.postSettle)
}

func (s *Server) getDoubts(c echo.Context) error {
	doubts, err := s.duties.Ledger.InDoubtGrants(c.Request().Context())
	if err != nil {
		return err
	}
	for _, d := range doubts {
		if s.seen.first(d) {
			s.recordDoubt(event.GrantInDoubt, d.Account, d.Incarnation, d.Remaining, "holder "+d.Holder+" is no member")
		}
	}
	return c.JSON(http.StatusOK, InDoubtGrantList{Grants: doubts})
}

func (s *Server) recordDoubt(kind event.Kind, a budget.Account, incarnation string, tokens int64, detail string) {
	s.duties.Events.Record(event.Event{
		Component: event.ComponentBudget, Kind: kind, Workspace: a.Workspace, Peer: incarnation, Tokens: tokens, Detail: detail,
	})
}

func (s *Server) postSettle(c echo.Context) error {
	var order budget.Resolution
	if err := decodeBody(c, &order); err != nil {
		return err
	}
	if order.Account.Workspace == "" || order.Account.Budget == "" || order.Incarnation == "" {
		return failure.New(failure.BadRequest, "check settlement", "operator", "send account and incarnation, as GET /v1/doubts lists them")
	}
	ctx := c.Request().Context()
	if err := s.duties.Replicas.Flush(ctx, order.Incarnation); err != nil && order.ProcessDead {
		return failure.New(failure.Conflict, "flush copies of bills", "", fmt.Sprintf(
			"a router may keep bills of this grant that are not written yet; wait, or settle without gone, which burns the rest: %v", err))
	}
	done, err := s.duties.Ledger.ResolveInDoubtGrant(ctx, order)
	if err != nil {
		return err
	}
	s.recordDoubt(event.InDoubtGrantResolved, done.Account, done.Incarnation, done.WrittenOff,
		fmt.Sprintf("burned %d, returned %d", done.WrittenOff, done.Returned))
	return c.JSON(http.StatusOK, done)
}
