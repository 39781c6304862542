// Package measurements holds the figures that were measured.
package measurements

import _ "embed" // for the file of slopes

// Slopes is the JSON file of measured slopes that package capacity reads.
//
//go:embed slopes.json
var Slopes []byte
