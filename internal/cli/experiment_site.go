package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/siteexperiment"
)

// plotSVGFile is the name of the plot of a site's experiment in its directory.
const plotSVGFile = "counts.svg"

func (a *app) newExperimentSite() *cobra.Command {
	var dir, level string
	cmd := &cobra.Command{
		Use:   "site SCENARIO",
		Short: "Run routers on a stand-in of the users' platform, with crashes and rate limits",
		Long: `site runs several routers on a stand-in of the users' platform, while prompts with
one segment crash the endpoints that respond to them and some endpoints state a rate
limit. It prints how many crashes there were, how many sound requests were served and
what the limited endpoints received, and with --dir also writes the counts of each
second as JSON and as a plot.`,
		Example: "  daisyslip experiment site scenarios/site/crashing-segment.json --dir out",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := siteexperiment.Read(args[0])
			if err != nil {
				return &usageError{err: err}
			}
			ctx, stop, log, err := startExperiment(cmd, level)
			if err != nil {
				return err
			}
			defer stop()
			report, err := siteexperiment.Run(ctx, scenario, log)
			if err != nil {
				return err
			}
			if a.output == "json" {
				err = a.print(cmd.OutOrStdout(), report, table{})
			} else {
				err = report.WriteMarkdown(cmd.OutOrStdout())
			}
			if err != nil || dir == "" {
				return err
			}
			return writeSiteReport(dir, report)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "directory to write the report to")
	cmd.Flags().StringVar(&level, "log-level", "error", "debug, info, warn or error")
	return cmd
}

// writeSiteReport writes the report to dir as Markdown, as JSON and as a plot. It
// creates dir if it is missing.
func writeSiteReport(dir string, r siteexperiment.Report) error {
	if err := os.MkdirAll(dir, reportDirMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return errors.Join(
		writeFile(filepath.Join(dir, reportMarkdownFile), r.WriteMarkdown),
		writeFile(filepath.Join(dir, reportJSONFile), func(w io.Writer) error { return json.NewEncoder(w).Encode(r) }),
		writeFile(filepath.Join(dir, plotSVGFile), r.WriteSVG),
	)
}
