package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/failure"
)

// TopUp is the body of a request that adds paid tokens to a budget.
type TopUp struct {
	// ID identifies the payment. A top-up that is retried with the same ID, for
	// example because its response was lost, is applied once. With another number
	// of tokens it is refused with status 409.
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

func (s *Server) budgetRoutes(api *echo.Group) {
	api.GET("/workspaces/:workspace/budgets/:budget", s.getBudget)
	api.POST("/workspaces/:workspace/budgets/:budget/topups", s.postTopUp)
}

// accountOf returns the budget that the path of a request names.
func accountOf(c echo.Context) budget.Account {
	return budget.Account{Workspace: c.Param("workspace"), Budget: c.Param("budget")}
}

func (s *Server) getBudget(c echo.Context) error {
	balance, err := s.deps.Ledger.Balance(c.Request().Context(), accountOf(c))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, balance)
}

// postTopUp adds paid tokens to a budget of a workspace in the applied
// configuration. A budget that does not exist is created.
func (s *Server) postTopUp(c echo.Context) error {
	var topUp TopUp
	if err := decodeBody(c, &topUp); err != nil {
		return err
	}
	if topUp.ID == "" || topUp.Tokens <= 0 {
		return failure.New(failure.BadRequest, "check top-up", "operator", "send an id and a number of tokens above 0")
	}
	if s.deps.Config.Catalog().Workspace(c.Param("workspace")) == nil {
		return failure.New(failure.NotFound, "check top-up", "", "no such workspace")
	}
	balance, err := s.deps.Ledger.TopUp(c.Request().Context(), accountOf(c), topUp.ID, topUp.Tokens)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, balance)
}
