package cli

import (
	"context"
	"strconv"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/orders"
)

func (a *app) newOrder() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "order ENDPOINT KIND [TARGET]",
		Short: "Order an endpoint to load, to change role or to drain",
		Long: `order gives one order to an endpoint, under a lease whose fencing number it
carries. KIND is load_model, load_adapter, load_version, set_role or drain.
If the outcome is unknown, give the order again with the same --id.`,
		Example: `  daisyslip order engine-3 load_model grain-7b
  daisyslip order engine-3 drain`,
		Args: cobra.RangeArgs(2, 3),
		RunE: a.run(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			if id == "" {
				id = uuid.NewString()
			}
			o := orders.Order{ID: id, Kind: engine.OrderKind(args[1])}
			if len(args) == 3 {
				o.Target = args[2]
			}
			result, err := c.SendOrder(ctx, args[0], o)
			if err != nil {
				return err
			}
			row := []string{args[0], id, strconv.FormatInt(result.Fencing, 10), result.Message}
			return a.print(cmd.OutOrStdout(), result, table{header: []string{"ENDPOINT", "ORDER", "FENCING", "MESSAGE"}, rows: [][]string{row}})
		}),
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the order; empty makes a new one")
	return cmd
}
