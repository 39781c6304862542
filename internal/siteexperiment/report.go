package siteexperiment

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteMarkdown writes the report to w as a Markdown page.
func (r Report) WriteMarkdown(w io.Writer) error {
	t := r.Totals
	_, err := fmt.Fprintf(w, `# %s

Seed %d.

| | |
|---|---|
| sound requests served | %d |
| sound requests failed or refused | %d |
| crashes of endpoints | %d |
| requests with the crashing segment refused | %d |
| of them at endpoints later than %s after the fifth crash | %d |
| requests at endpoints with a rate limit | %d |
| most at one of them in %s | %d |
`, r.Name, r.Seed, t.SoundServed, t.SoundFailed, t.Crashes, t.CrashRefused, contactTime, r.LateCrashRequests, t.Limited, limitWindow, r.BusiestWindow)
	return err
}

// WriteSVG writes a plot of the counts of each second to w.
func (r Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "a second"
	p.Y.Min = 0
	p.Legend.Top = true
	lines := []any{
		"sound requests served", r.line(func(s Point) int { return s.SoundServed }),
		"sound requests failed", r.line(func(s Point) int { return s.SoundFailed }),
		"crashes", r.line(func(s Point) int { return s.Crashes }),
		"requests at limited endpoints", r.line(func(s Point) int { return s.Limited }),
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	canvas, err := p.WriterTo(24*vg.Centimeter, 10*vg.Centimeter, "svg")
	if err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	_, err = canvas.WriteTo(w)
	return err
}

// line returns the points of one count.
func (r Report) line(value func(Point) int) plotter.XYs {
	line := make(plotter.XYs, len(r.Series))
	for i, s := range r.Series {
		line[i] = plotter.XY{X: float64(s.Second), Y: float64(value(s))}
	}
	return line
}
