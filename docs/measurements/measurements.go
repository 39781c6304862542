// Package measurements embeds the measured costs from which package capacity
// computes the size of a fleet.
package measurements

import _ "embed" // for slopes.json

// Slopes is the content of slopes.json, which capacity.ParseSlopes decodes. Each slope
// is the measured cost of one more unit, such as a request or a peer. The measurement
// tests of internal/e2e write the file.
//
//go:embed slopes.json
var Slopes []byte
