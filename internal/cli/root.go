// Package cli implements daisyslip, the command-line tool of operators and
// developers.
package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/daemon"
)

// Exit codes of daisyslip. ExitPartial is declared in events.go.
const (
	// ExitFailure means that the command failed, for example because no router
	// responded.
	ExitFailure = 1
	// ExitUsage means that the command line or a file it names is wrong.
	ExitUsage = 2
	// ExitConflict means that another change was committed first.
	ExitConflict = 3
	// ExitRefused means that the router refused the command for another reason.
	ExitRefused = 4
)

// IDs of the groups of commands in the help.
const (
	groupOperate = "operate"
	groupObserve = "observe"
	groupTry     = "try"
)

// NewCommand returns the root command with all subcommands. Execute its result
// and pass the error to ExitCode.
func NewCommand() *cobra.Command {
	a := &app{}
	root := &cobra.Command{
		Use:   "daisyslip",
		Short: "Operate a daisyslip fleet, or run one for development",
		Long: `daisyslip drives a fleet of routers: workspaces, prepaid budgets, pools,
endpoints, labels, selectors, rules, status and events.

It also runs a whole fleet in one process for a first look (daisyslip dev),
stand-ins for the systems around a router (daisyslip standin) and load
(daisyslip load).

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with another
change, 4 refused by the router, 5 some routers did not answer.`,
		Example: `  export DAISYSLIP_OPERATOR=http://127.0.0.1:7301 DAISYSLIP_TOKEN=...
  daisyslip workspace create coop-7 --key-budget default
  daisyslip budget topup coop-7 default --tokens 500000 --id invoice-4711
  daisyslip label endpoint engine-3 zone=b heat-
  daisyslip status`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	a.addFlags(root)
	root.AddGroup(
		&cobra.Group{ID: groupOperate, Title: "Operate a fleet:"},
		&cobra.Group{ID: groupObserve, Title: "See what it does:"},
		&cobra.Group{ID: groupTry, Title: "Try it out:"},
	)
	addCommands(root, groupOperate, a.newWorkspace(), a.newPool(), a.newEndpoint(), a.newRule(), a.newLabel(), a.newBudget(), a.newApply(), a.newOrder(), newToken(), a.newCertificate())
	addCommands(root, groupObserve, a.newConfig(), a.newStatus(), a.newMembers(), a.newEvents(), newExplain(), newJournal())
	addCommands(root, groupTry, newDev(), newStandin(), a.newLoad(), a.newExperiment(), a.newCapacity())
	root.AddCommand(newVersion())
	markUsageErrors(root)
	return root
}

// addCommands adds commands to root, in a group of the help.
func addCommands(root *cobra.Command, group string, commands ...*cobra.Command) {
	for _, c := range commands {
		c.GroupID = group
		root.AddCommand(c)
	}
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "daisyslip "+daemon.Version)
		},
	}
}
