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

// measured reads the committed slopes.
func measured(t *testing.T) Slopes {
	t.Helper()
	data, err := os.ReadFile(slopesPath)
	assert.NilError(t, err)
	slopes, err := ParseSlopes(data)
	assert.NilError(t, err)
	return slopes
}

func TestFit(t *testing.T) {
	exact, err := NewFit([]Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	assert.NilError(t, err)
	assert.DeepEqual(t, exact, Fit{Slope: 2, Intercept: 3, R2: 1})
	noisy, err := NewFit([]Point{{1, 5}, {2, 8}, {3, 8}, {4, 11}})
	assert.NilError(t, err)
	assert.Assert(t, math.Abs(noisy.Slope-1.8) < 1e-9)
	assert.Assert(t, math.Abs(noisy.SlopeError-math.Sqrt(0.9/5)) < 1e-9, "%v", noisy.SlopeError)
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}, {3, 3}}, {{1, 1}, {1, 2}, {1, 3}, {1, 4}}} {
		_, err := NewFit(points)
		assert.Assert(t, err != nil)
	}
}

func TestUpdateFile(t *testing.T) {
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

// TestUsable takes a slope that cannot be told from zero as a constant.
func TestUsable(t *testing.T) {
	flat, err := Slopes{}.Put(Slope{Name: "flat", Points: []Point{{1, 5}, {2, 4}, {3, 6}, {4, 5}}})
	assert.NilError(t, err)
	assert.Equal(t, flat[0].Usable().Slope, 0.0)
	assert.Equal(t, flat[0].Usable().Intercept, 5.0)
	steep, err := Slopes{}.Put(Slope{Name: "steep", Points: []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}})
	assert.NilError(t, err)
	assert.Equal(t, steep[0].Usable(), steep[0].Fit)
}

// TestPage works out the page from the committed slopes: each has at least
// four points, none is missing, and each line that does not fit has a plan.
func TestPage(t *testing.T) {
	slopes := measured(t)
	for _, s := range slopes {
		assert.Assert(t, len(s.Points) >= minPoints, s.Name)
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

// TestLinesNameMissingSlopes says which slopes are not measured.
func TestLinesNameMissingSlopes(t *testing.T) {
	_, err := Lines(DefaultTarget(), settings.Default(), nil)
	assert.ErrorContains(t, err, string(CPUPerRequest)+" is not measured")
}

func TestNumbers(t *testing.T) {
	cases := map[float64]string{0: "0", 12345: "12.3 k", 0.042: "42 m", 3e-6: "3 µ", 2.2e6: "2.2 M", 1: "1"}
	for value, want := range cases {
		assert.Equal(t, number(value), want)
	}
}
