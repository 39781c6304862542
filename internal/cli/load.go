package cli

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/load"
)

// directName names the target of --direct in the output.
const directName = "direct"

func (a *app) newLoad() *cobra.Command {
	o := load.DefaultOptions()
	var routers, directs []string
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
				o.Targets = append(o.Targets, load.Target{Name: url, URL: url, Key: key})
			}
			for _, url := range directs {
				o.Targets = append(o.Targets, load.Target{Name: directName + " " + url, URL: url})
			}
			results, err := load.Run(cmd.Context(), o)
			if err != nil {
				return &usageError{err: err}
			}
			return a.print(cmd.OutOrStdout(), results, loadTable(results))
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&routers, "target", nil, "base URLs of routers")
	flags.StringSliceVar(&directs, "direct", nil, "base URLs of engines, for comparison")
	flags.StringVar(&key, "key", "", "key of the workspace that pays")
	flags.StringVar(&o.Model, "model", "", "model to ask for")
	flags.IntVar(&o.Streams, "streams", o.Streams, "requests in flight")
	flags.Int64Var(&o.Requests, "requests", o.Requests, "requests in all; 0 is no bound")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "how long to start requests")
	flags.Float64Var(&o.Rate, "rate", o.Rate, "requests started a second; 0 is as fast as the streams go")
	flags.IntVar(&o.MaxTokens, "max-tokens", o.MaxTokens, "longest answer")
	flags.IntVar(&o.PromptWords, "prompt-words", o.PromptWords, "words in a prompt")
	flags.IntVar(&o.SharedPrefixWords, "shared-words", o.SharedPrefixWords, "words that the prompts of a group share at their start")
	flags.IntVar(&o.PromptGroups, "groups", o.PromptGroups, "groups of prompts")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the prompts")
	flags.DurationVar(&o.Deadline, "deadline", o.Deadline, "deadline of each request; 0 sends none")
	flags.StringVar(&o.Priority, "priority", o.Priority, "batch, normal or urgent")
	return cmd
}

func loadTable(results []*load.Result) table {
	t := table{header: []string{"TARGET", "ANSWERS", "A SECOND", "FAILED", "FIRST p50", "p95", "p99", "GAP p50", "p95", "p99", "TOTAL p50", "p95", "p99"}}
	var base *load.Summary
	for _, r := range results {
		s := r.Summary()
		if strings.HasPrefix(s.Target.Name, directName) && base == nil {
			base = &s
		}
		row := []string{s.Target.Name, strconv.FormatInt(s.Completed, 10), fmt.Sprintf("%.0f", s.CompletedPerSecond), formatFailures(s.Failures)}
		t.rows = append(t.rows, append(row, quantileCells(s.FirstToken, s.TokenGap, s.ResponseTime)...))
	}
	if base == nil {
		return t
	}
	for _, r := range results {
		s := r.Summary()
		if strings.HasPrefix(s.Target.Name, directName) {
			continue
		}
		row := []string{"added by " + s.Target.Name, "", "", ""}
		t.rows = append(t.rows, append(row, quantileCells(s.FirstToken.Sub(base.FirstToken), s.TokenGap.Sub(base.TokenGap), s.ResponseTime.Sub(base.ResponseTime))...))
	}
	return t
}

func quantileCells(all ...load.Quantiles) []string {
	var cells []string
	for _, q := range all {
		cells = append(cells, fmt.Sprintf("%.2f", q.P50), fmt.Sprintf("%.2f", q.P95), fmt.Sprintf("%.2f", q.P99))
	}
	return cells
}

// formatFailures lists failures by reason.
func formatFailures(failures map[string]int64) string {
	if len(failures) == 0 {
		return "0"
	}
	var parts []string
	for why, n := range failures {
		parts = append(parts, fmt.Sprintf("%d %s", n, why))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
