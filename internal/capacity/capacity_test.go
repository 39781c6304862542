package capacity

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/settings"
)

// committedSlopes reads the slopes that are committed to the repository.
func committedSlopes(t *testing.T) Slopes {
	t.Helper()
	data, err := os.ReadFile(slopesPath)
	assert.NilError(t, err)
	slopes, err := ParseSlopes(data)
	assert.NilError(t, err)
	return slopes
}

// TestNewFitComputesLeastSquares checks fits of exact and of noisy points, and that points
// from which no line can be fitted are refused.
func TestNewFitComputesLeastSquares(t *testing.T) {
	exactFit, err := NewFit([]Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	assert.NilError(t, err)
	assert.DeepEqual(t, exactFit, Fit{Slope: 2, Intercept: 3, R2: 1})
	noisyFit, err := NewFit([]Point{{1, 5}, {2, 8}, {3, 8}, {4, 11}})
	assert.NilError(t, err)
	assert.Assert(t, math.Abs(noisyFit.Slope-1.8) < 1e-9)
	assert.Assert(t, math.Abs(noisyFit.SlopeError-math.Sqrt(0.9/5)) < 1e-9, "%v", noisyFit.SlopeError)
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}, {3, 3}}, {{1, 1}, {1, 2}, {1, 3}, {1, 4}}} {
		_, err := NewFit(points)
		assert.Assert(t, err != nil)
	}
}

// TestUpdateFileAddsAndReplacesSlopes guards against an update that keeps a measurement
// twice, or that leaves the file unsorted so that Get misses a slope.
func TestUpdateFileAddsAndReplacesSlopes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "slopes.json")
	assert.NilError(t, os.WriteFile(path, []byte("[]"), 0o600))
	points := []Point{{0, 0}, {1, 1}, {2, 2}, {3, 3}}
	assert.NilError(t, UpdateFile(path, Slope{Name: "b", Points: points}, Slope{Name: "a", Points: points}))
	assert.NilError(t, UpdateFile(path, Slope{Name: "b", Unit: "bytes", Points: points}))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	slopes, err := ParseSlopes(data)
	assert.NilError(t, err)
	assert.Equal(t, len(slopes), 2)
	b, err := slopes.Get("b")
	assert.NilError(t, err)
	assert.Equal(t, b.Unit, "bytes")
	_, err = slopes.Get("c")
	assert.ErrorContains(t, err, "c is not measured")
}

// TestUsableTreatsInsignificantSlopeAsConstant guards against scaling measurement noise up
// to the size of the target.
func TestUsableTreatsInsignificantSlopeAsConstant(t *testing.T) {
	flat, err := Slopes{}.Put(Slope{Name: "flat", Points: []Point{{1, 5}, {2, 4}, {3, 6}, {4, 5}}})
	assert.NilError(t, err)
	assert.Equal(t, flat[0].Usable().Slope, 0.0)
	assert.Equal(t, flat[0].Usable().Intercept, 5.0)
	steep, err := Slopes{}.Put(Slope{Name: "steep", Points: []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}})
	assert.NilError(t, err)
	assert.Equal(t, steep[0].Usable(), steep[0].Fit)
}

// TestCommittedSlopesCoverEveryLine computes all lines from the committed slopes. It guards
// against a slope that is missing or has fewer than four points, and against a line that
// exceeds its bound and has no plan.
func TestCommittedSlopesCoverEveryLine(t *testing.T) {
	slopes := committedSlopes(t)
	for _, s := range slopes {
		assert.Assert(t, len(s.Points) >= minFitPoints, s.Name)
		assert.Assert(t, s.Command != "", s.Name)
	}
	lines, err := Lines(DefaultTarget(), settings.Default(), slopes)
	assert.NilError(t, err)
	for _, l := range lines {
		assert.Assert(t, l.Fits() || l.Plan != "", "%s, %s: %v does not fit and has no plan", l.Role, l.Item, l.Value)
		assert.Assert(t, l.Formula != "" && l.Mechanism != "", "%s, %s", l.Role, l.Item)
	}
	var page bytes.Buffer
	assert.NilError(t, Markdown(&page, lines, slopes))
	assert.Equal(t, strings.Count(page.String(), "### "), len(Resources())+1)
}

// TestLinesNameMissingSlopes guards against lines that silently count a missing slope as 0.
func TestLinesNameMissingSlopes(t *testing.T) {
	_, err := Lines(DefaultTarget(), settings.Default(), nil)
	assert.ErrorContains(t, err, string(CPUPerRequest)+" is not measured")
}

// TestFormatNumber checks the rounding to three significant digits and the SI prefixes.
func TestFormatNumber(t *testing.T) {
	cases := map[float64]string{0: "0", 12345: "12.3 k", 0.042: "42 m", 3e-6: "3 µ", 2.2e6: "2.2 M", 1: "1"}
	for value, want := range cases {
		assert.Equal(t, formatNumber(value), want)
	}
}
