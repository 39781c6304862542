package ingress

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEndOfEndpoint guards against evidence that is lost since an endpoint has restarted
// before the check, and against the ends of endpoints that this router cannot reach.
func TestEndOfEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		seen  endObservation
		ended bool
	}{
		"refuses connections":               {endObservation{refused: true, listed: true}, true},
		"goes on":                           {endObservation{connected: true, listed: true}, false},
		"accepts, and is not listed":        {endObservation{connected: true}, false},
		"restarted at its address":          {endObservation{connected: true, listed: true, restarted: true}, true},
		"address taken by another":          {endObservation{connected: true, restarted: true}, true},
		"silent, and listed":                {endObservation{listed: true}, false},
		"silent, and not listed":            {endObservation{}, true},
		"silent, listed with a later start": {endObservation{listed: true, restarted: true}, true},
	} {
		assert.Equal(t, c.seen.showsEnd(), c.ended, name)
	}
}
