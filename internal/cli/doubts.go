package cli

import (
	"context"
	"errors"
	"fmt"
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
			doubts, err := c.InDoubtGrants(ctx)
			if err != nil {
				return err
			}
			t := table{header: []string{"BUDGET", "INCARNATION", "HOLDER", "BILLED", "IN DOUBT"}}
			for _, d := range doubts {
				t.rows = append(t.rows, []string{d.Account.String(), d.Incarnation, d.Holder,
					strconv.FormatInt(d.Billed, 10), strconv.FormatInt(d.Remaining, 10)})
			}
			return a.print(cmd.OutOrStdout(), doubts, t)
		}),
	}
}

func (a *app) newSettle() *cobra.Command {
	var order budget.Resolution
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
			if cmd.Flags().Changed("spent") && !order.ProcessDead {
				return usagef("--spent needs --gone")
			}
			order.Account, order.Incarnation = budget.Account{Workspace: args[0], Budget: args[1]}, args[2]
			done, err := c.ResolveInDoubtGrant(ctx, order)
			if err != nil {
				return err
			}
			return a.printSettled(cmd, []budget.ResolvedGrant{done})
		}),
	}
	cmd.Flags().BoolVar(&order.ProcessDead, "gone", false, "the router's process has ended for good")
	cmd.Flags().Int64Var(&order.Spent, "spent", 0, "tokens of the rest to charge")
	return cmd
}

// printSettled prints the results of settlements.
func (a *app) printSettled(cmd *cobra.Command, all []budget.ResolvedGrant) error {
	t := table{header: []string{"BUDGET", "BILLED", "BURNED", "RETURNED"}}
	for _, done := range all {
		t.rows = append(t.rows, []string{done.Account.String(), strconv.FormatInt(done.Billed, 10),
			strconv.FormatInt(done.WrittenOff, 10), strconv.FormatInt(done.Returned, 10)})
	}
	return a.print(cmd.OutOrStdout(), all, t)
}

func (a *app) newSettleRouter() *cobra.Command {
	var gone bool
	cmd := &cobra.Command{
		Use:   "settle-router INCARNATION [--gone]",
		Short: "Settle all grants of a lost router",
		Long: `settle-router settles every doubt of one incarnation, as settle does for one
budget. Without --gone the rests are burned; with --gone, your word that the
process has ended for good, what is not known to be spent goes back. It can be
run again when it was broken off.`,
		Example: "  daisyslip budget settle-router 5f0c... --gone",
		Args:    cobra.ExactArgs(1),
		RunE: a.run(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			doubts, err := c.InDoubtGrants(ctx)
			if err != nil {
				return err
			}
			var settled []budget.ResolvedGrant
			for _, d := range doubts {
				if d.Incarnation != args[0] {
					continue
				}
				done, err := c.ResolveInDoubtGrant(ctx, budget.Resolution{Account: d.Account, Incarnation: d.Incarnation, ProcessDead: gone})
				if err != nil {
					return errors.Join(a.printSettled(cmd, settled), fmt.Errorf("settle %s: %w", d.Account, err))
				}
				settled = append(settled, done)
			}
			return a.printSettled(cmd, settled)
		}),
	}
	cmd.Flags().BoolVar(&gone, "gone", false, "the router's process has ended for good")
	return cmd
}
