package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/docs/measurements"
	"daisyslip.dev/daisyslip/internal/capacity"
	"daisyslip.dev/daisyslip/internal/settings"
)

func (a *app) newCapacity() *cobra.Command {
	target := capacity.DefaultTarget()
	var slopesPath string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out what a fleet of a given size needs, from measured slopes",
		Long: `capacity works out processor time, memory, network and table rows for a fleet,
line by line, from slopes that were measured on one machine, and says which
lines do not fit their bounds. Its default size is the target of
docs/CAPACITY.md, and its output as a table is that page's.`,
		Example: `  daisyslip capacity
  daisyslip capacity --daemons 9 --requests 40 --budgets 20 -o json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := readSlopes(slopesPath)
			if err != nil {
				return err
			}
			lines, err := capacity.Lines(target, settings.Default(), slopes)
			if err != nil {
				return err
			}
			if a.output == "json" {
				return a.print(cmd.OutOrStdout(), lines, table{})
			}
			return capacity.Markdown(cmd.OutOrStdout(), lines, slopes)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&slopesPath, "slopes", "", "file of slopes; empty takes those of this build")
	flags.Float64Var(&target.Daemons, "daemons", target.Daemons, "routers")
	flags.Float64Var(&target.Endpoints, "workers", target.Endpoints, "endpoints")
	flags.Float64Var(&target.RequestsPerSec, "requests", target.RequestsPerSec, "requests a second")
	flags.Float64Var(&target.TokensPerSec, "tokens", target.TokensPerSec, "tokens generated a second")
	flags.Float64Var(&target.Budgets, "budgets", target.Budgets, "prepaid budgets in use")
	flags.Float64Var(&target.Workspaces, "workspaces", target.Workspaces, "workspaces")
	flags.Float64Var(&target.FailureDomains, "domains", target.FailureDomains, "failure domains")
	flags.Float64Var(&target.ChangesPerDay, "changes", target.ChangesPerDay, "changes of configuration a day")
	return cmd
}

// readSlopes reads a file of slopes, or those of this build.
func readSlopes(path string) (capacity.Slopes, error) {
	if path == "" {
		return capacity.ParseSlopes(measurements.Slopes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	return capacity.ParseSlopes(data)
}
