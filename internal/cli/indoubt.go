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

// newInDoubtGrants returns the command "budget doubts", which lists the in-doubt
// grants of all budgets.
func (a *app) newInDoubtGrants() *cobra.Command {
	return &cobra.Command{
		Use:   "doubts",
		Short: "List the grants of lost routers, whose rest may be spent or not",
		Args:  cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			inDoubt, err := c.InDoubtGrants(ctx)
			if err != nil {
				return err
			}
			t := table{header: []string{"BUDGET", "INCARNATION", "HOLDER", "BILLED", "IN DOUBT"}}
			for _, g := range inDoubt {
				t.rows = append(t.rows, []string{g.Account.String(), g.Incarnation, g.Holder,
					strconv.FormatInt(g.Billed, 10), strconv.FormatInt(g.Remaining, 10)})
			}
			return a.print(cmd.OutOrStdout(), inDoubt, t)
		}),
	}
}

// newResolveGrant returns the command "budget settle", which resolves one
// in-doubt grant.
func (a *app) newResolveGrant() *cobra.Command {
	var resolution budget.Resolution
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
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			if cmd.Flags().Changed("spent") && !resolution.ProcessDead {
				return usagef("--spent needs --gone")
			}
			resolution.Account, resolution.Incarnation = budget.Account{Workspace: args[0], Budget: args[1]}, args[2]
			resolved, err := c.ResolveInDoubtGrant(ctx, resolution)
			if err != nil {
				return err
			}
			return a.printResolved(cmd, []budget.ResolvedGrant{resolved})
		}),
	}
	cmd.Flags().BoolVar(&resolution.ProcessDead, "gone", false, "the router's process has ended for good")
	cmd.Flags().Int64Var(&resolution.Spent, "spent", 0, "tokens of the rest to charge")
	return cmd
}

// printResolved prints the results of resolutions, in tokens.
func (a *app) printResolved(cmd *cobra.Command, grants []budget.ResolvedGrant) error {
	t := table{header: []string{"BUDGET", "BILLED", "BURNED", "RETURNED"}}
	for _, g := range grants {
		t.rows = append(t.rows, []string{g.Account.String(), strconv.FormatInt(g.Billed, 10),
			strconv.FormatInt(g.WrittenOff, 10), strconv.FormatInt(g.Returned, 10)})
	}
	return a.print(cmd.OutOrStdout(), grants, t)
}

// newResolveRouter returns the command "budget settle-router", which resolves
// all in-doubt grants of one incarnation of a router. If a resolution fails, it
// prints the results of the earlier ones and returns the error.
func (a *app) newResolveRouter() *cobra.Command {
	var processDead bool
	cmd := &cobra.Command{
		Use:   "settle-router INCARNATION [--gone]",
		Short: "Settle all grants of a lost router",
		Long: `settle-router settles every doubt of one incarnation, as settle does for one
budget. Without --gone the rests are burned; with --gone, your word that the
process has ended for good, what is not known to be spent goes back. It can be
run again when it was broken off.`,
		Example: "  daisyslip budget settle-router 5f0c... --gone",
		Args:    cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			inDoubt, err := c.InDoubtGrants(ctx)
			if err != nil {
				return err
			}
			var resolved []budget.ResolvedGrant
			for _, g := range inDoubt {
				if g.Incarnation != args[0] {
					continue
				}
				result, err := c.ResolveInDoubtGrant(ctx, budget.Resolution{Account: g.Account, Incarnation: g.Incarnation, ProcessDead: processDead})
				if err != nil {
					return errors.Join(a.printResolved(cmd, resolved), fmt.Errorf("settle %s: %w", g.Account, err))
				}
				resolved = append(resolved, result)
			}
			return a.printResolved(cmd, resolved)
		}),
	}
	cmd.Flags().BoolVar(&processDead, "gone", false, "the router's process has ended for good")
	return cmd
}
