package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"daisyslip.dev/daisyslip/internal/orders"
)

// postOrder sends one order to the endpoint that the path names, and returns the
// endpoint's result.
func (s *Server) postOrder(c echo.Context) error {
	var order orders.Order
	if err := decodeBody(c, &order); err != nil {
		return err
	}
	result, err := s.deps.Orders.Send(c.Request().Context(), c.Param("name"), order)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result)
}
