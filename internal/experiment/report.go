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

// Report is what callers saw of an experiment.
type Report struct {
	Name   string         `json:"name"`
	Seed   uint64         `json:"seed"`
	Phases []PhaseReport  `json:"phases"`
	Series []Point        `json:"series"`
	Budget budget.Balance `json:"budget"`
}

// PhaseReport is what callers saw in one phase.
type PhaseReport struct {
	Name string `json:"name"`
	// StartSeconds is when the phase began, from the start of the experiment.
	StartSeconds       float64          `json:"start_s"`
	Completed          int64            `json:"answers"`
	CompletedPerSecond float64          `json:"answers_per_second"`
	Tokens             int64            `json:"tokens"`
	Failures           map[string]int64 `json:"failures,omitempty"`
	FirstToken         load.Quantiles   `json:"first_token"`
	// LongestGap is over the longest gap of each answer.
	LongestGap   load.Quantiles `json:"longest_gap"`
	ResponseTime load.Quantiles `json:"total"`
}

// Point is what callers saw in one second.
type Point struct {
	Second          int     `json:"second"`
	Completed       int64   `json:"answers"`
	Failures        int64   `json:"failures"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
}

// report sums up the phases.
func (r *runner) report() Report {
	report := Report{Name: r.scenario.Name, Seed: r.scenario.Seed, Budget: r.final}
	points := make(map[int]Point)
	for _, t := range r.phases {
		report.Phases = append(report.Phases, t.report())
		t.addPoints(points)
	}
	for _, second := range slices.Sorted(maps.Keys(points)) {
		report.Series = append(report.Series, points[second])
	}
	return report
}

func (t *tally) report() PhaseReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return PhaseReport{
		Name:               t.phase.Name,
		StartSeconds:       t.start.Seconds(),
		Completed:          t.answers,
		CompletedPerSecond: float64(t.answers) / t.phase.Duration.Seconds(),
		Tokens:             t.tokens,
		Failures:           t.failures,
		FirstToken:         quantiles(t.first),
		LongestGap:         quantiles(t.gap),
		ResponseTime:       quantiles(t.total),
	}
}

// addPoints adds the seconds of a phase; the second in which two phases meet
// has the requests of both and the slower first token.
func (t *tally) addPoints(points map[int]Point) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for at, s := range t.seconds {
		p := points[at]
		p.Second = at
		p.Completed += s.answers
		p.Failures += s.failures
		p.FirstTokenP95MS = max(p.FirstTokenP95MS, quantiles(s.first).P95)
		points[at] = p
	}
}

// quantiles reads a histogram in microseconds.
func quantiles(h *hdrhistogram.Histogram) load.Quantiles {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return load.Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// WriteMarkdown writes the report as a page.
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

func quantileCell(q load.Quantiles) string {
	return fmt.Sprintf("%.1f / %.1f / %.1f", q.P50, q.P95, q.P99)
}

func failureCell(failures map[string]int64) string {
	if len(failures) == 0 {
		return "0"
	}
	var parts []string
	for _, why := range slices.Sorted(maps.Keys(failures)) {
		parts = append(parts, fmt.Sprintf("%d %s", failures[why], why))
	}
	return strings.Join(parts, ", ")
}
