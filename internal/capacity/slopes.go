package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// SlopeName identifies a slope in the file of slopes.
type SlopeName string

// Slope is the measured cost of one more unit of load or state.
type Slope struct {
	Name SlopeName `json:"name"`
	// Unit is the unit of Y, and Per what X counts.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Command is the command line that repeats the measurement.
	Command string  `json:"command"`
	Points  []Point `json:"points"`
	Fit     Fit     `json:"fit"`
}

// significantErrors is the number of standard errors by which a slope must be above zero
// to be significant.
const significantErrors = 2

// Usable returns the fit if its slope is significantly above zero. Otherwise it returns a
// constant: a fit with slope 0 and the mean of Y as the intercept.
func (s Slope) Usable() Fit {
	if s.Fit.Slope > significantErrors*s.Fit.SlopeError {
		return s.Fit
	}
	constant := Fit{R2: s.Fit.R2}
	for _, p := range s.Points {
		constant.Intercept += p.Y / float64(len(s.Points))
	}
	return constant
}

// Slopes is a set of slopes, sorted by name.
type Slopes []Slope

// Get returns the slope with the name, or an error if the set lacks it.
func (s Slopes) Get(name SlopeName) (Slope, error) {
	index, found := slices.BinarySearchFunc(s, name, compareName)
	if !found {
		return Slope{}, fmt.Errorf("slope %s is not measured", name)
	}
	return s[index], nil
}

// compareName orders a slope relative to a name, for slices.BinarySearchFunc.
func compareName(s Slope, name SlopeName) int { return strings.Compare(string(s.Name), string(name)) }

// Put fits a line to the slope's points and returns the set with the slope added or
// replaced. It may change s.
func (s Slopes) Put(slope Slope) (Slopes, error) {
	fit, err := NewFit(slope.Points)
	if err != nil {
		return s, fmt.Errorf("fit %s: %w", slope.Name, err)
	}
	slope.Fit = fit
	index, found := slices.BinarySearchFunc(s, slope.Name, compareName)
	if found {
		s[index] = slope
		return s, nil
	}
	return slices.Insert(s, index, slope), nil
}

// ParseSlopes decodes the contents of a file of slopes.
func ParseSlopes(data []byte) (Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode slopes: %w", err)
	}
	return s, nil
}

// UpdateFile fits the given slopes and adds them to the file at path, in place of those
// with the same names.
func UpdateFile(path string, added ...Slope) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read slopes: %w", err)
	}
	slopes, err := ParseSlopes(data)
	if err != nil {
		return err
	}
	for _, slope := range added {
		if slopes, err = slopes.Put(slope); err != nil {
			return err
		}
	}
	data, err = json.MarshalIndent(slopes, "", " ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
