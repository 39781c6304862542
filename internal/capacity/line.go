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
var bounds = map[Resource]float64{
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
	bound, bounded := bounds[l.Resource]
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
func (t Total) within(sum float64) bool { return t.Bound == 0 || sum <= t.Bound }

// Totals sums the lines by budget.
func Totals(lines []Line) []Total {
	var totals []Total
	for _, b := range Resources() {
		total := Total{Resource: b, Bound: bounds[b]}
		for _, l := range lines {
			if l.Resource == b {
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
	p := &printer{w: w}
	p.line("| Sum over all lines | Today | Fits | With the plans | Fits | Bound |")
	p.line("|---|---|---|---|---|---|")
	for _, t := range Totals(lines) {
		p.line("| %s | %s | %s | %s | %s | %s |", t.Resource, number(t.Value), yesNo(t.within(t.Value)),
			number(t.PlannedValue), yesNo(t.within(t.PlannedValue)), boundText(t.Bound))
	}
	for _, b := range Resources() {
		p.lines(b, lines)
	}
	p.line("")
	p.line("### Slopes")
	p.line("")
	p.line("| Slope | Value | Unit | Per | Standard error | Intercept | R² | Points (x: y) |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, s := range slopes {
		p.line("| %s | %s | %s | %s | %s | %s | %.4f | %s |", s.Name, number(s.Fit.Slope), s.Unit, s.Per,
			number(s.Fit.SlopeError), number(s.Fit.Intercept), s.Fit.R2, pointsText(s.Points))
	}
	return p.err
}

// printer writes lines until one fails.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// lines writes the table of one budget.
func (p *printer) lines(b Resource, lines []Line) {
	p.line("")
	p.line("### %s", strings.ToUpper(string(b[:1]))+string(b[1:]))
	p.line("")
	p.line("| Role | Line | Today | Fits alone | Worked out as | Carried by | Planned | By |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, l := range lines {
		if l.Resource == b {
			p.line("| %s | %s | %s | %s | %s | %s | %s | %s |", l.Role, l.Item, number(l.Value), yesNo(l.Fits()),
				l.Formula, l.Mechanism, number(l.PlannedValue), l.Plan)
		}
	}
}

func pointsText(points []Point) string {
	text := ""
	for i, p := range points {
		if i > 0 {
			text += ", "
		}
		text += number(p.X) + ": " + number(p.Y)
	}
	return text
}

func boundText(bound float64) string {
	if bound == 0 {
		return "none"
	}
	return number(bound)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "**no**"
}

// number formats a value with three digits and its power of thousand.
func number(v float64) string {
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
type model struct {
	target   Target
	settings settings.Settings
	slopes   Slopes
	lines    []Line
	missing  []error
}

// slope returns a slope's fit and notes one that is missing.
func (m *model) slope(name SlopeName) Fit {
	s, err := m.slopes.Get(name)
	if err != nil {
		m.missing = append(m.missing, err)
	}
	return s.Usable()
}

// add adds lines; one without a plan stays as it is.
func (m *model) add(lines ...Line) {
	for _, l := range lines {
		if l.Plan == "" {
			l.PlannedValue = l.Value
		}
		m.lines = append(m.lines, l)
	}
}

// Lines works out all lines at the target for routers with the settings.
func Lines(target Target, s settings.Settings, slopes Slopes) ([]Line, error) {
	m := &model{target: target, settings: s, slopes: slopes}
	m.requests()
	m.budgets()
	m.calls()
	m.configuration()
	m.members()
	m.endpoints()
	m.timeLine()
	return m.lines, errors.Join(m.missing...)
}
