package cli

import (
	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/platform/benchjournal"
)

func newJournal() *cobra.Command {
	return &cobra.Command{
		Use:   "journal FILE...",
		Short: "Print journal entries of the users' bench as a table",
		Long: `journal prints a Markdown table of the days that the given journal entries hold,
and for each entry the mean worth over its standard days with trouble.`,
		Example: "  daisyslip journal journal/20261204T144137-7c3e02ee.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			var entries []benchjournal.Entry
			for _, path := range paths {
				entry, err := benchjournal.Read(path)
				if err != nil {
					return err
				}
				entries = append(entries, entry)
			}
			return benchjournal.WriteTable(cmd.OutOrStdout(), entries)
		},
	}
}
