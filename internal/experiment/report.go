package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/load"
)

// Report contains what callers observed in an experiment, and the budget after it.
type Report struct {
	Name   string         `json:"name"`
	Seed   uint64         `json:"seed"`
	Phases []PhaseReport  `json:"phases"`
	Series []Point        `json:"series"`
	Budget budget.Balance `json:"budget"`
}

// PhaseReport contains what callers observed in one phase.
type PhaseReport struct {
	Name string `json:"name"`
	// StartSeconds is the time from the start of the experiment to that of the
	// phase, in seconds.
	StartSeconds float64 `json:"start_s"`
	// Completed is the number of responses that ended with their end marker.
	Completed          int64   `json:"answers"`
	CompletedPerSecond float64 `json:"answers_per_second"`
	Tokens             int64   `json:"tokens"`
	// Failures is the number of failed requests by load.Observation.Failure.
	Failures   map[string]int64 `json:"failures,omitempty"`
	FirstToken load.Quantiles   `json:"first_token"`
	// LongestGap has the quantiles of the longest gap of each response.
	LongestGap   load.Quantiles `json:"longest_gap"`
	ResponseTime load.Quantiles `json:"total"`
}

// Point contains what callers observed in one second of the experiment, of the requests
// that ended in it.
type Point struct {
	Second          int     `json:"second"`
	Completed       int64   `json:"answers"`
	Failures        int64   `json:"failures"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
}

// report returns the report of all phases.
func (r *runner) report() Report {
	report := Report{Name: r.scenario.Name, Seed: r.scenario.Seed, Budget: r.finalBalance}
	points := make(map[int]Point)
	for _, t := range r.tallies {
		report.Phases = append(report.Phases, t.report())
		t.addPoints(points)
	}
	for _, second := range slices.Sorted(maps.Keys(points)) {
		report.Series = append(report.Series, points[second])
	}
	return report
}

// report returns the report of the tally's phase.
func (t *tally) report() PhaseReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return PhaseReport{
		Name:               t.phase.Name,
		StartSeconds:       t.startOffset.Seconds(),
		Completed:          t.completed,
		CompletedPerSecond: float64(t.completed) / t.phase.Duration.Seconds(),
		Tokens:             t.tokens,
		Failures:           t.failures,
		FirstToken:         quantiles(t.firstToken),
		LongestGap:         quantiles(t.longestGap),
		ResponseTime:       quantiles(t.responseTime),
	}
}

// addPoints adds the phase's figures to points, by second of the experiment. A second
// that belongs to two phases gets the requests of both, and the larger of the two
// percentiles of the first token.
func (t *tally) addPoints(points map[int]Point) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for second, s := range t.seconds {
		p := points[second]
		p.Second = second
		p.Completed += s.completed
		p.Failures += s.failures
		p.FirstTokenP95MS = max(p.FirstTokenP95MS, quantiles(s.firstToken).P95)
		points[second] = p
	}
}

// quantiles returns the quantiles of a histogram of microseconds, in milliseconds.
func quantiles(h *hdrhistogram.Histogram) load.Quantiles {
	milliseconds := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return load.Quantiles{P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99)}
}

// WriteMarkdown writes the report to w as a Markdown page.
func (r Report) WriteMarkdown(w io.Writer) error {
	var page strings.Builder
	fmt.Fprintf(&page, "# %s\n\nSeed %d. Times in milliseconds.\n\n", r.Name, r.Seed)
	page.WriteString("| Phase | Answers | A second | Failed | First token p50 / p95 / p99 | Longest gap p50 / p95 / p99 | Whole p50 / p95 / p99 |\n")
	page.WriteString("|---|---|---|---|---|---|---|\n")
	for _, p := range r.Phases {
		fmt.Fprintf(&page, "| %s | %d | %.0f | %s | %s | %s | %s |\n", p.Name, p.Completed, p.CompletedPerSecond, failureCell(p.Failures),
			quantileCell(p.FirstToken), quantileCell(p.LongestGap), quantileCell(p.ResponseTime))
	}
	b := r.Budget
	fmt.Fprintf(&page, "\nBudget: paid %d, unspent %d, held %d, settled %d, in doubt %d tokens.\n", b.Paid, b.Unspent, b.Held, b.Settled, b.InDoubt)
	_, err := io.WriteString(w, page.String())
	return err
}

// quantileCell formats quantiles for a table cell.
func quantileCell(q load.Quantiles) string {
	return fmt.Sprintf("%.1f / %.1f / %.1f", q.P50, q.P95, q.P99)
}

// failureCell formats failure counts for a table cell.
func failureCell(failures map[string]int64) string {
	if len(failures) == 0 {
		return "0"
	}
	var parts []string
	for _, failure := range slices.Sorted(maps.Keys(failures)) {
		parts = append(parts, fmt.Sprintf("%d %s", failures[failure], failure))
	}
	return strings.Join(parts, ", ")
}
