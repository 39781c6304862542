package capacity

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"daisyslip.dev/daisyslip/internal/settings"
)

// Role is a part that a process plays in the fleet.
type Role string

// Budget says which bound a line counts against.
type Resource string

// The bounds.
const (
	ResourceCPU          Resource = "control cores a daemon"
	ResourceMemory       Resource = "bytes of memory a daemon"
	ResourceControlBytes Resource = "control bytes a second a daemon"
	ResourceTableWrites  Resource = "table rows written a second, fleet"
	ResourceTableReads   Resource = "table rows read a second, fleet"
	// BudgetData is the work on callers' requests themselves, which the
	// bounds of control do not cover.
	ResourceDataPath Resource = "data path cores a daemon"
)

// bounds maps each budget to its bound; the data path has none.
var resourceBounds = map[Resource]float64{
	ResourceCPU: MaxControlCPU, ResourceMemory: MaxMemory, ResourceControlBytes: MaxControlBytes,
	ResourceTableWrites: MaxTableWrites, ResourceTableReads: MaxTableReads,
}

// Budgets lists the budgets in the order of the page.
func Resources() []Resource {
	return []Resource{ResourceCPU, ResourceMemory, ResourceControlBytes, ResourceTableWrites, ResourceTableReads, ResourceDataPath}
}

// Line is one cost at the target.
type Line struct {
	Role     Role     `json:"role"`
	Item     string   `json:"item"`
	Resource Resource `json:"budget"`
	Value    float64  `json:"value"`
	// Formula shows how Value follows from slopes and the target.
	Formula string `json:"formula"`
	// Carrier names the mechanism that carries the line today.
	Mechanism string `json:"carrier"`
	// Planned is the value under the design that Plan names; without a plan
	// it is Value.
	PlannedValue float64 `json:"planned"`
	Plan         string  `json:"plan,omitempty"`
}

// Fits reports whether the line alone is within its bound today.
func (l Line) Fits() bool {
	bound, bounded := resourceBounds[l.Resource]
	return !bounded || l.Value <= bound
}

// Total is the sum of a budget's lines.
type Total struct {
	Resource Resource `json:"budget"`
	Value    float64  `json:"value"`
	// Planned is the sum under the plans of the lines.
	PlannedValue float64 `json:"planned"`
	// Bound is 0 for a budget without one.
	Bound float64 `json:"bound"`
}

// within reports whether a sum is within the bound.
func (t Total) isWithinBound(sum float64) bool { return t.Bound == 0 || sum <= t.Bound }

// Totals sums the lines by budget.
func Totals(lines []Line) []Total {
	var totals []Total
	for _, resource := range Resources() {
		total := Total{Resource: resource, Bound: resourceBounds[resource]}
		for _, l := range lines {
			if l.Resource == resource {
				total.Value += l.Value
				total.PlannedValue += l.PlannedValue
			}
		}
		totals = append(totals, total)
	}
	return totals
}

// Markdown writes the totals, the lines and the slopes as tables.
func Markdown(w io.Writer, lines []Line, slopes Slopes) error {
	p := &linePrinter{w: w}
	p.printf("| Sum over all lines | Today | Fits | With the plans | Fits | Bound |")
	p.printf("|---|---|---|---|---|---|")
	for _, t := range Totals(lines) {
		p.printf("| %s | %s | %s | %s | %s | %s |", t.Resource, formatNumber(t.Value), formatFits(t.isWithinBound(t.Value)),
			formatNumber(t.PlannedValue), formatFits(t.isWithinBound(t.PlannedValue)), formatBound(t.Bound))
	}
	for _, resource := range Resources() {
		p.printResource(resource, lines)
	}
	p.printf("")
	p.printf("### Slopes")
	p.printf("")
	p.printf("| Slope | Value | Unit | Per | Standard error | Intercept | R² | Points (x: y) |")
	p.printf("|---|---|---|---|---|---|---|---|")
	for _, s := range slopes {
		p.printf("| %s | %s | %s | %s | %s | %s | %.4f | %s |", s.Name, formatNumber(s.Fit.Slope), s.Unit, s.Per,
			formatNumber(s.Fit.SlopeError), formatNumber(s.Fit.Intercept), s.Fit.R2, formatPoints(s.Points))
	}
	return p.err
}

// printer writes lines until one fails.
type linePrinter struct {
	w   io.Writer
	err error
}

func (p *linePrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// lines writes the table of one budget.
func (p *linePrinter) printResource(resource Resource, lines []Line) {
	p.printf("")
	p.printf("### %s", strings.ToUpper(string(resource[:1]))+string(resource[1:]))
	p.printf("")
	p.printf("| Role | Line | Today | Fits alone | Worked out as | Carried by | Planned | By |")
	p.printf("|---|---|---|---|---|---|---|---|")
	for _, l := range lines {
		if l.Resource == resource {
			p.printf("| %s | %s | %s | %s | %s | %s | %s | %s |", l.Role, l.Item, formatNumber(l.Value), formatFits(l.Fits()),
				l.Formula, l.Mechanism, formatNumber(l.PlannedValue), l.Plan)
		}
	}
}

func formatPoints(points []Point) string {
	text := ""
	for i, p := range points {
		if i > 0 {
			text += ", "
		}
		text += formatNumber(p.X) + ": " + formatNumber(p.Y)
	}
	return text
}

func formatBound(bound float64) string {
	if bound == 0 {
		return "none"
	}
	return formatNumber(bound)
}

func formatFits(b bool) string {
	if b {
		return "yes"
	}
	return "**no**"
}

// number formats a value with three digits and its power of thousand.
func formatNumber(v float64) string {
	for _, step := range []struct {
		size float64
		name string
	}{{1e9, " G"}, {1e6, " M"}, {1e3, " k"}, {1, ""}, {1e-3, " m"}, {1e-6, " µ"}, {1e-9, " n"}} {
		if math.Abs(v) >= step.size {
			return fmt.Sprintf("%.3g%s", v/step.size, step.name)
		}
	}
	return "0"
}

// model gathers lines and the slopes that they lack.
type costModel struct {
	target        Target
	settings      settings.Settings
	slopes        Slopes
	lines         []Line
	missingSlopes []error
}

// slope returns a slope's fit and notes one that is missing.
func (m *costModel) fitOf(name SlopeName) Fit {
	s, err := m.slopes.Get(name)
	if err != nil {
		m.missingSlopes = append(m.missingSlopes, err)
	}
	return s.Usable()
}

// add adds lines; one without a plan stays as it is.
func (m *costModel) add(lines ...Line) {
	for _, l := range lines {
		if l.Plan == "" {
			l.PlannedValue = l.Value
		}
		m.lines = append(m.lines, l)
	}
}

// Lines works out all lines at the target for routers with the settings.
func Lines(target Target, s settings.Settings, slopes Slopes) ([]Line, error) {
	m := &costModel{target: target, settings: s, slopes: slopes}
	m.addRequestLines()
	m.addBudgetLines()
	m.addCallLines()
	m.addConfigurationLines()
	m.addMemberLines()
	m.addEndpointLines()
	m.addTimelineLines()
	return m.lines, errors.Join(m.missingSlopes...)
}
