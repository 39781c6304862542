package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"

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
			return writeJournalTable(cmd.OutOrStdout(), entries)
		},
	}
}

// writeJournalTable writes a row for each day, and for each entry the mean worth of its
// standard days with trouble.
func writeJournalTable(w io.Writer, entries []benchjournal.Entry) error {
	var b strings.Builder
	b.WriteString("| site | day | routers | worth | served | refused | failed | gate | broken rules | store calls | store MB | processor s | memory GB s |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, e := range entries {
		sum, n := 0.0, 0
		for _, d := range e.Days {
			writeJournalDay(&b, e.Site, d)
			if strings.HasPrefix(d.Name, "trouble-") || strings.HasPrefix(d.Name, "scale-") {
				sum += d.Worth
				n++
			}
		}
		if n > 0 {
			fmt.Fprintf(&b, "| %s | mean of the %d standard days with trouble (journal entry %s) | | %.3f | | | | | | | | | |\n", e.Site, n, e.ID, sum/float64(n))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeJournalDay writes the row of one day.
func writeJournalDay(b *strings.Builder, site string, d benchjournal.Day) {
	const mbPerGB = 1000
	gate := "passed"
	if !d.GatePassed {
		gate = "failed"
	}
	fmt.Fprintf(b, "| %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %s | %s | %.0f | %.0f | %.1f | %.1f |\n", site, d.Name, d.Routers,
		d.Worth, d.Served, d.Refused, d.Failed, gate, brokenRules(d), d.StoreCalls, mbPerGB*d.StoreGB, d.ProcessorSeconds, d.MemoryGBSeconds)
}

// brokenRules returns the broken rules of a day with the numbers of cases, and its
// fault, or "-" without any.
func brokenRules(d benchjournal.Day) string {
	var names []string
	for rule, cases := range d.BrokenRules {
		names = append(names, fmt.Sprintf("%s %.0f", rule, cases))
	}
	if d.Fault != "" {
		names = append(names, "fault "+d.Fault)
	}
	if len(names) == 0 {
		return "-"
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
