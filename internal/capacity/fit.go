// Package capacity computes what a fleet of a given size needs, from slopes that were
// measured on one machine: the cost of one more unit of load or state.
package capacity

import (
	"errors"
	"math"
)

// Point is one measurement: Y units were used at X units of load or state.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line through points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of the variance of Y that the line explains, from 0 to 1.
	R2 float64 `json:"r2"`
}

// minFitPoints is the smallest number of points of a fit.
const minFitPoints = 4

// NewFit fits a line to at least minFitPoints points. It returns an error if there are
// fewer or if all have the same X.
func NewFit(points []Point) (Fit, error) {
	n := float64(len(points))
	if len(points) < minFitPoints {
		return Fit{}, errors.New("a fit needs at least four points")
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var sumXX, sumXY, sumYY float64
	for _, p := range points {
		sumXX += (p.X - meanX) * (p.X - meanX)
		sumXY += (p.X - meanX) * (p.Y - meanY)
		sumYY += (p.Y - meanY) * (p.Y - meanY)
	}
	if sumXX == 0 {
		return Fit{}, errors.New("all points have the same x")
	}
	fit := Fit{Slope: sumXY / sumXX, R2: 1}
	fit.Intercept = meanY - fit.Slope*meanX
	residual := max(0, sumYY-fit.Slope*sumXY)
	fit.SlopeError = math.Sqrt(residual / (n - 2) / sumXX)
	if sumYY > 0 {
		fit.R2 = 1 - residual/sumYY
	}
	return fit, nil
}
