package experiment

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot's image.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot names a plot of a report's figures over time. Its value is also the base name of
// the file.
type Plot string

// The plots of a report.
const (
	// PlotCompleted shows completed responses and failures per second.
	PlotCompleted Plot = "answers"
	// PlotFirstToken shows the 95th percentile of the time to the first token.
	PlotFirstToken Plot = "first_token"
)

// Plots lists all plots.
func Plots() []Plot { return []Plot{PlotCompleted, PlotFirstToken} }

// WriteSVG draws a plot of the report and writes it to w as SVG.
func (r Report) WriteSVG(w io.Writer, which Plot) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "seconds"
	lines := r.plotLines(p, which)
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw %s: %w", which, err)
	}
	p.Legend.Top = true
	p.Y.Min = 0
	if err := r.addPhaseLabels(p); err != nil {
		return fmt.Errorf("draw phases of %s: %w", which, err)
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("draw %s: %w", which, err)
	}
	_, err = canvas.WriteTo(w)
	return err
}

// plotLines returns the names and the points of a plot's lines, alternating, as
// plotutil.AddLinePoints expects them. It sets the label of the y axis of p.
func (r Report) plotLines(p *plot.Plot, which Plot) []any {
	if which == PlotFirstToken {
		p.Y.Label.Text = "milliseconds"
		return []any{"first token p95", r.points(func(s Point) float64 { return s.FirstTokenP95MS })}
	}
	p.Y.Label.Text = "a second"
	return []any{
		"whole answers", r.points(func(s Point) float64 { return float64(s.Completed) }),
		"failures", r.points(func(s Point) float64 { return float64(s.Failures) }),
	}
}

// points returns one plot point per second of the report, with the y value that value
// takes from it.
func (r Report) points(value func(Point) float64) plotter.XYs {
	xys := make(plotter.XYs, len(r.Series))
	for i, s := range r.Series {
		xys[i] = plotter.XY{X: float64(s.Second), Y: value(s)}
	}
	return xys
}

// addPhaseLabels adds the name of each phase at the second in which it starts.
func (r Report) addPhaseLabels(p *plot.Plot) error {
	var labels plotter.XYLabels
	for _, phase := range r.Phases {
		labels.XYs = append(labels.XYs, plotter.XY{X: phase.StartSeconds, Y: p.Y.Max})
		labels.Labels = append(labels.Labels, "| "+phase.Name)
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(names)
	return nil
}
