// Package cli is the command line of daisyslip.
package cli

import (
	"github.com/spf13/cobra"
)

// Exit codes of daisyslip.
const (
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitRefused  = 4
)

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "daisyslip",
		Short: "Operate a daisyslip fleet, or run one for development",
		Long: `daisyslip drives a fleet of routers: workspaces, prepaid budgets, pools,
endpoints, labels, selectors, rules, status and events.

It also runs a whole fleet in one process for a first look (daisyslip dev),
stand-ins for the systems around a router (daisyslip standin) and load
(daisyslip load).`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDev(), newStandin())
	return root
}
