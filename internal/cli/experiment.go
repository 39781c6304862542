package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/experiment"
	"daisyslip.dev/daisyslip/internal/logs"
)

// Names of the files of a report in its directory. Plots are named after their
// kind.
const (
	reportMarkdownFile = "report.md"
	reportJSONFile     = "report.json"
)

// File modes of a report and of its directory.
const (
	reportFileMode = 0o644
	reportDirMode  = 0o755
)

func (a *app) newExperiment() *cobra.Command {
	var dir, level string
	cmd := &cobra.Command{
		Use:   "experiment SCENARIO",
		Short: "Run a fleet through load and faults, and report what callers saw",
		Long: `experiment runs a development fleet through the phases of a scenario file:
rates of requests, and faults of the platform, the engines and the service.
It prints the report, and with --dir also writes it as a page, as JSON and as
plots. The directory scenarios holds examples.`,
		Example: `  daisyslip experiment scenarios/slow-engines.json
  daisyslip experiment scenarios/outage.json --dir out`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := experiment.Read(args[0])
			if err != nil {
				return &usageError{err: err}
			}
			ctx, stop, log, err := startExperiment(cmd, level)
			if err != nil {
				return err
			}
			defer stop()
			report, err := a.runExperiment(ctx, cmd, scenario, log)
			if err != nil || dir == "" {
				return err
			}
			return writeReport(dir, report)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "directory to write the report to")
	cmd.Flags().StringVar(&level, "log-level", "error", "debug, info, warn or error")
	cmd.AddCommand(a.newExperimentSite())
	return cmd
}

// startExperiment returns the log of an experiment, and a context that SIGTERM, SIGINT
// and the returned function end.
func startExperiment(cmd *cobra.Command, level string) (context.Context, context.CancelFunc, *slog.Logger, error) {
	log, err := logs.New(cmd.ErrOrStderr(), level, "text")
	if err != nil {
		return nil, nil, nil, &usageError{err: err}
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	return ctx, stop, log, nil
}

// runExperiment runs a scenario and prints its report. The phases are announced
// on standard error.
func (a *app) runExperiment(ctx context.Context, cmd *cobra.Command, s experiment.Scenario, log *slog.Logger) (experiment.Report, error) {
	report, err := experiment.Run(ctx, s, log, func(p experiment.Phase) {
		fmt.Fprintf(cmd.ErrOrStderr(), "phase %s, %s\n", p.Name, p.Duration)
	})
	if err != nil {
		return report, err
	}
	if a.output == "json" {
		return report, a.print(cmd.OutOrStdout(), report, table{})
	}
	return report, report.WriteMarkdown(cmd.OutOrStdout())
}

// writeReport writes the report to dir as Markdown, as JSON and as SVG plots. It
// creates dir if it is missing.
func writeReport(dir string, r experiment.Report) error {
	if err := os.MkdirAll(dir, reportDirMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	errs := []error{
		writeFile(filepath.Join(dir, reportMarkdownFile), r.WriteMarkdown),
		writeFile(filepath.Join(dir, reportJSONFile), func(w io.Writer) error { return json.NewEncoder(w).Encode(r) }),
	}
	for _, p := range experiment.Plots() {
		errs = append(errs, writeFile(filepath.Join(dir, string(p)+".svg"), func(w io.Writer) error { return r.WriteSVG(w, p) }))
	}
	return errors.Join(errs...)
}

// writeFile creates or truncates the file at path and calls write with it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, reportFileMode)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return errors.Join(write(f), f.Close())
}
