package cli

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/client"
)

func (a *app) newDoubts() *cobra.Command {
	return &cobra.Command{
		Use:   "doubts",
		Short: "List the grants of lost routers, whose rest may be spent or not",
		Args:  cobra.NoArgs,
		RunE: a.run(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			doubts, err := c.Doubts(ctx)
			if err != nil {
				return err
			}
			t := table{header: []string{"BUDGET", "INCARNATION", "HOLDER", "BILLED", "IN DOUBT"}}
			for _, d := range doubts {
				t.rows = append(t.rows, []string{d.Account.String(), d.Incarnation, d.Holder,
					strconv.FormatInt(d.Billed, 10), strconv.FormatInt(d.Rest, 10)})
			}
			return a.print(cmd.OutOrStdout(), doubts, t)
		}),
	}
}

func (a *app) newSettle() *cobra.Command {
	var order budget.Settlement
	cmd := &cobra.Command{
		Use:   "settle WORKSPACE BUDGET INCARNATION [--gone --spent N]",
		Short: "Settle the grant of a lost router",
		Long: `settle ends a doubt. Without --gone the rest is burned: it is charged to the
budget, which is safe even if the router was only paused and wakes.

With --gone you say that the router's process has ended for good; --spent
tokens of the rest are charged and the others go back to the budget. If the
process still runs, it can spend them a second time.

A settled router that still runs must be started anew. The same command again
answers the first result.`,
		Example: "  daisyslip budget settle coop-7 default 5f0c... --gone --spent 1200",
		Args:    cobra.ExactArgs(3),
		RunE: a.run(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			if cmd.Flags().Changed("spent") && !order.Gone {
				return usagef("--spent needs --gone")
			}
			order.Account, order.Incarnation = budget.Account{Workspace: args[0], Budget: args[1]}, args[2]
			done, err := c.SettleDoubt(ctx, order)
			if err != nil {
				return err
			}
			t := table{header: []string{"BUDGET", "BILLED", "BURNED", "RETURNED"}, rows: [][]string{{done.Account.String(),
				strconv.FormatInt(done.Billed, 10), strconv.FormatInt(done.Burned, 10), strconv.FormatInt(done.Returned, 10)}}}
			return a.print(cmd.OutOrStdout(), done, t)
		}),
	}
	cmd.Flags().BoolVar(&order.Gone, "gone", false, "the router's process has ended for good")
	cmd.Flags().Int64Var(&order.Spent, "spent", 0, "tokens of the rest to charge")
	return cmd
}
