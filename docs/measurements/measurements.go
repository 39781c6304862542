// Package measurements embeds the measured costs from which package capacity
// computes the size of a fleet.
package measurements

import _ "embed" // for slopes.json

// Slopes is the content of slopes.json, which capacity.ParseSlopes decodes. Each slope
// is the measured cost of one more unit, such as a request or a peer, and has the
// command that measured it. The measurement tests of internal/capacity and
// internal/e2e update the file.
//
//go:embed slopes.json
var Slopes []byte
