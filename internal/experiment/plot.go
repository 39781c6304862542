package experiment

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot is a picture of the report over time.
type Plot string

// The plots of a report.
const (
	// PlotAnswers shows whole answers and failures a second.
	PlotCompleted Plot = "answers"
	// PlotFirstToken shows the 95th percentile of the first token.
	PlotFirstToken Plot = "first_token"
)

// Plots lists all plots.
func Plots() []Plot { return []Plot{PlotCompleted, PlotFirstToken} }

// WriteSVG draws a plot.
func (r Report) WriteSVG(w io.Writer, which Plot) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "seconds"
	lines := r.lines(p, which)
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw %s: %w", which, err)
	}
	p.Legend.Top = true
	p.Y.Min = 0
	if err := r.addPhases(p); err != nil {
		return fmt.Errorf("draw phases of %s: %w", which, err)
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("draw %s: %w", which, err)
	}
	_, err = canvas.WriteTo(w)
	return err
}

// lines returns the names and points of a plot's lines, as plotutil takes
// them, and labels the axis.
func (r Report) lines(p *plot.Plot, which Plot) []any {
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

func (r Report) points(value func(Point) float64) plotter.XYs {
	xys := make(plotter.XYs, len(r.Series))
	for i, s := range r.Series {
		xys[i] = plotter.XY{X: float64(s.Second), Y: value(s)}
	}
	return xys
}

// addPhases writes each phase's name where it begins.
func (r Report) addPhases(p *plot.Plot) error {
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
