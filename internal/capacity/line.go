package capacity

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"daisyslip.dev/daisyslip/internal/settings"
)

// Role is a function that a daemon has in the fleet. Each line belongs to one role.
type Role string

// Resource is what a line uses. Its value is also its title in reports. It has nothing to
// do with the token budgets of workspaces.
type Resource string

// Resources that lines use. All but ResourceDataPath have a bound.
const (
	ResourceCPU          Resource = "control cores a daemon"
	ResourceMemory       Resource = "bytes of memory a daemon"
	ResourceControlBytes Resource = "control bytes a second a daemon"
	ResourceTableWrites  Resource = "table rows written a second, fleet"
	ResourceTableReads   Resource = "table rows read a second, fleet"
	// ResourceDataPath is the work on callers' requests themselves, which the bounds
	// on control work do not cover.
	ResourceDataPath Resource = "data path cores a daemon"
)

// resourceBounds has the bound of each resource, in the resource's unit.
var resourceBounds = map[Resource]float64{
	ResourceCPU: MaxControlCPU, ResourceMemory: MaxMemory, ResourceControlBytes: MaxControlBytes,
	ResourceTableWrites: MaxTableWrites, ResourceTableReads: MaxTableReads,
}

// Resources returns all resources in the order of Markdown.
func Resources() []Resource {
	return []Resource{ResourceCPU, ResourceMemory, ResourceControlBytes, ResourceTableWrites, ResourceTableReads, ResourceDataPath}
}

// Line is one cost of a fleet at its target.
type Line struct {
	Role Role `json:"role"`
	// Item is the work or the state that the line is the cost of.
	Item     string   `json:"item"`
	Resource Resource `json:"budget"`
	// Value is in the unit of Resource.
	Value float64 `json:"value"`
	// Formula shows how Value is computed from slopes and the target.
	Formula string `json:"formula"`
	// Mechanism is what does the work or bounds the cost today.
	Mechanism string `json:"carrier"`
	// PlannedValue is the value with the design that Plan describes, which is not
	// implemented. Without a plan it equals Value.
	PlannedValue float64 `json:"planned"`
	Plan         string  `json:"plan,omitempty"`
}

// Fits reports whether the line's Value alone is within the bound of its resource.
func (l Line) Fits() bool {
	bound, bounded := resourceBounds[l.Resource]
	return !bounded || l.Value <= bound
}

// Total is the sum of a resource's lines.
type Total struct {
	Resource Resource `json:"budget"`
	Value    float64  `json:"value"`
	// PlannedValue is the sum of the planned values of the lines.
	PlannedValue float64 `json:"planned"`
	// Bound is 0 for a resource without a bound.
	Bound float64 `json:"bound"`
}

// isWithinBound reports whether a sum is within the bound of the resource.
func (t Total) isWithinBound(sum float64) bool { return t.Bound == 0 || sum <= t.Bound }

// Totals returns the sum of the lines of each resource, in the order of Resources.
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

// Markdown writes the totals, the lines of each resource and the slopes to w as Markdown
// tables.
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

// linePrinter writes lines of text to w. After the first error, which it keeps in err, it
// writes no more.
type linePrinter struct {
	w   io.Writer
	err error
}

// printf writes one line.
func (p *linePrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// printResource writes the table of one resource's lines.
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

// formatPoints lists points as "x: y", separated by commas.
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

// formatBound formats a bound, which is 0 if there is none.
func formatBound(bound float64) string {
	if bound == 0 {
		return "none"
	}
	return formatNumber(bound)
}

// formatFits formats whether a value is within its bound.
func formatFits(b bool) string {
	if b {
		return "yes"
	}
	return "**no**"
}

// formatNumber formats a value with three significant digits and an SI prefix, from nano
// to giga.
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

// costModel computes lines. It collects an error for each slope that it needs and that is
// missing.
type costModel struct {
	target        Target
	settings      settings.Settings
	slopes        Slopes
	lines         []Line
	missingSlopes []error
}

// fitOf returns the usable fit of a slope. If the slope is missing, it adds an error to
// missingSlopes and returns the zero Fit.
func (m *costModel) fitOf(name SlopeName) Fit {
	s, err := m.slopes.Get(name)
	if err != nil {
		m.missingSlopes = append(m.missingSlopes, err)
	}
	return s.Usable()
}

// add adds lines. The planned value of a line without a plan is its value.
func (m *costModel) add(lines ...Line) {
	for _, l := range lines {
		if l.Plan == "" {
			l.PlannedValue = l.Value
		}
		m.lines = append(m.lines, l)
	}
}

// Lines computes all lines of a fleet at the target, for daemons with the settings. The
// error names every slope that is missing.
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
