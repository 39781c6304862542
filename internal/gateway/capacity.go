package gateway

import "math"

// Known returns a capacity that the platform states, or 0, which stands for an unknown one,
// if it is no positive finite number.
func Known(capacity float64) float64 {
	if capacity > 0 && !math.IsInf(capacity, 1) {
		return capacity
	}
	return 0
}

// Cores returns the processing capacity of a VM that gets a share of a core which is
// speed times as fast as usual, or 0 if the share is unknown.
func Cores(share, speed float64) float64 { return Known(share) * max(Known(speed), 1) }
