// Package capacity works out what a fleet of a given size needs, from slopes
// that were measured on one machine.
package capacity

import (
	"errors"
	"math"
)

// Point is one measurement: Y units were spent at X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a least-squares line through points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of Y's variance that the line explains.
	R2 float64 `json:"r2"`
}

// minPoints is the fewest points of a fit.
const minPoints = 4

// NewFit fits a line to points, which need at least four different X.
func NewFit(points []Point) (Fit, error) {
	n := float64(len(points))
	if len(points) < minPoints {
		return Fit{}, errors.New("a fit needs at least four points")
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
		syy += (p.Y - meanY) * (p.Y - meanY)
	}
	if sxx == 0 {
		return Fit{}, errors.New("all points have the same x")
	}
	fit := Fit{Slope: sxy / sxx, R2: 1}
	fit.Intercept = meanY - fit.Slope*meanX
	residual := max(0, syy-fit.Slope*sxy)
	fit.SlopeError = math.Sqrt(residual / (n - 2) / sxx)
	if syy > 0 {
		fit.R2 = 1 - residual/syy
	}
	return fit, nil
}
