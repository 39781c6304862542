package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Name names a slope.
type SlopeName string

// Slope is the measured cost of one more unit of something.
type Slope struct {
	Name SlopeName `json:"name"`
	// Unit is what Y counts and Per what X counts.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Command repeats the measurement.
	Command string  `json:"command"`
	Points  []Point `json:"points"`
	Fit     Fit     `json:"fit"`
}

// noiseErrors is the number of standard errors by which a slope must be above
// zero to be told from it.
const noiseErrors = 2

// Usable returns the fit, or the mean of Y as a constant if the slope cannot
// be told from zero.
func (s Slope) Usable() Fit {
	if s.Fit.Slope > noiseErrors*s.Fit.SlopeError {
		return s.Fit
	}
	constant := Fit{R2: s.Fit.R2}
	for _, p := range s.Points {
		constant.Intercept += p.Y / float64(len(s.Points))
	}
	return constant
}

// Slopes is a set of slopes in order of their names.
type Slopes []Slope

// Get returns the slope with the name.
func (s Slopes) Get(name SlopeName) (Slope, error) {
	at, found := slices.BinarySearchFunc(s, name, compareName)
	if !found {
		return Slope{}, fmt.Errorf("slope %s is not measured", name)
	}
	return s[at], nil
}

func compareName(s Slope, name SlopeName) int { return strings.Compare(string(s.Name), string(name)) }

// Put fits the slope's points and returns the set with it added or replaced.
func (s Slopes) Put(slope Slope) (Slopes, error) {
	fit, err := NewFit(slope.Points)
	if err != nil {
		return s, fmt.Errorf("fit %s: %w", slope.Name, err)
	}
	slope.Fit = fit
	at, found := slices.BinarySearchFunc(s, slope.Name, compareName)
	if found {
		s[at] = slope
		return s, nil
	}
	return slices.Insert(s, at, slope), nil
}

// ParseSlopes decodes a file of slopes.
func ParseSlopes(data []byte) (Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode slopes: %w", err)
	}
	return s, nil
}

// UpdateFile adds or replaces slopes in the file at path.
func UpdateFile(path string, add ...Slope) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read slopes: %w", err)
	}
	all, err := ParseSlopes(data)
	if err != nil {
		return err
	}
	for _, slope := range add {
		if all, err = all.Put(slope); err != nil {
			return err
		}
	}
	data, err = json.MarshalIndent(all, "", " ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
