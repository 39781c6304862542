package cli

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/load"
)

// directPrefix starts the names of targets given with --direct in the output, and
// distinguishes them from routers.
const directPrefix = "direct"

func (a *app) newLoad() *cobra.Command {
	options := load.DefaultOptions()
	var routers, engines []string
	var key string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send chat completions and measure what callers see",
		Long: `load sends streaming chat completions to routers and prints the time to the
first token, the gaps between tokens and the whole time, in milliseconds.
With --direct, each stream sends a prompt to routers and engines in turn, so
that the difference is what the routers add.`,
		Example: `  daisyslip load --target http://127.0.0.1:7300 --key KEY --model grain-7b --streams 200
  daisyslip load --target http://127.0.0.1:7300 --direct http://127.0.0.1:9101 --key KEY --model grain-7b`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, url := range routers {
				options.Targets = append(options.Targets, load.Target{Name: url, URL: url, Key: key})
			}
			for _, url := range engines {
				options.Targets = append(options.Targets, load.Target{Name: directPrefix + " " + url, URL: url})
			}
			results, err := load.Run(cmd.Context(), options)
			if err != nil {
				return &usageError{err: err}
			}
			return a.print(cmd.OutOrStdout(), results, loadTable(results))
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&routers, "target", nil, "base URLs of routers")
	flags.StringSliceVar(&engines, "direct", nil, "base URLs of engines, for comparison")
	flags.StringVar(&key, "key", "", "key of the workspace that pays")
	flags.StringVar(&options.Model, "model", "", "model to ask for")
	flags.IntVar(&options.Streams, "streams", options.Streams, "requests in flight")
	flags.Int64Var(&options.Requests, "requests", options.Requests, "requests in all; 0 is no bound")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "how long to start requests")
	flags.Float64Var(&options.Rate, "rate", options.Rate, "requests started a second; 0 is as fast as the streams go")
	flags.IntVar(&options.MaxTokens, "max-tokens", options.MaxTokens, "longest answer")
	flags.IntVar(&options.PromptWords, "prompt-words", options.PromptWords, "words in a prompt")
	flags.IntVar(&options.SharedPrefixWords, "shared-words", options.SharedPrefixWords, "words that the prompts of a group share at their start")
	flags.IntVar(&options.PromptGroups, "groups", options.PromptGroups, "groups of prompts")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the prompts")
	flags.DurationVar(&options.Deadline, "deadline", options.Deadline, "deadline of each request; 0 sends none")
	flags.StringVar(&options.Priority, "priority", options.Priority, "batch, normal or urgent")
	return cmd
}

// loadTable returns one row for each target and, if engines were measured directly,
// one more row for each router: by how much its times exceed those of the first of
// these engines.
func loadTable(results []*load.Result) table {
	t := table{header: []string{"TARGET", "ANSWERS", "A SECOND", "FAILED", "FIRST p50", "p95", "p99", "GAP p50", "p95", "p99", "TOTAL p50", "p95", "p99"}}
	var direct *load.Summary
	for _, r := range results {
		s := r.Summary()
		if strings.HasPrefix(s.Target.Name, directPrefix) && direct == nil {
			direct = &s
		}
		row := []string{s.Target.Name, strconv.FormatInt(s.Completed, 10), fmt.Sprintf("%.0f", s.CompletedPerSecond), formatFailures(s.Failures)}
		t.rows = append(t.rows, append(row, quantileCells(s.FirstToken, s.TokenGap, s.ResponseTime)...))
	}
	if direct == nil {
		return t
	}
	for _, r := range results {
		s := r.Summary()
		if strings.HasPrefix(s.Target.Name, directPrefix) {
			continue
		}
		row := []string{"added by " + s.Target.Name, "", "", ""}
		t.rows = append(t.rows, append(row, quantileCells(s.FirstToken.Sub(direct.FirstToken), s.TokenGap.Sub(direct.TokenGap), s.ResponseTime.Sub(direct.ResponseTime))...))
	}
	return t
}

// quantileCells returns the p50, p95 and p99 columns of each of quantiles.
func quantileCells(quantiles ...load.Quantiles) []string {
	var cells []string
	for _, q := range quantiles {
		cells = append(cells, fmt.Sprintf("%.2f", q.P50), fmt.Sprintf("%.2f", q.P95), fmt.Sprintf("%.2f", q.P99))
	}
	return cells
}

// formatFailures lists the numbers of failures by reason, or "0" if there are
// none.
func formatFailures(failures map[string]int64) string {
	if len(failures) == 0 {
		return "0"
	}
	var counts []string
	for reason, n := range failures {
		counts = append(counts, fmt.Sprintf("%d %s", n, reason))
	}
	sort.Strings(counts)
	return strings.Join(counts, ", ")
}
