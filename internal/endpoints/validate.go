package endpoints

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

const (
	// maxSlots bounds the slots of an endpoint. The load is divided by the slots, so an
	// endpoint with too many would attract all requests.
	maxSlots = 1 << 20
	// maxCount bounds StartedMs and Sequence: larger numbers are not exact in all
	// implementations of JSON.
	maxCount = 1 << 53
)

// Validate returns an error if requests cannot be sent to the endpoint, or if its numbers
// are out of range. The parts of the endpoint in the error are short.
func (e Endpoint) Validate() error {
	switch {
	case !isToken(e.ID):
		return errors.New("invalid id")
	case e.Pool == "":
		return errors.New("no pool")
	case !isAddress(e.Addr):
		return fmt.Errorf("address %.64q is no IP address and port", e.Addr)
	case e.Slots <= 0 || e.Slots > maxSlots:
		return fmt.Errorf("%d slots", e.Slots)
	case e.Sequence < 0 || e.Sequence > maxCount || e.StartedMs < 0 || e.StartedMs > maxCount:
		return fmt.Errorf("sequence %d or start at %d ms is out of range", e.Sequence, e.StartedMs)
	}
	return nil
}

// isToken reports whether an id can be sent as the value of a header: it has only
// visible ASCII characters.
func isToken(id string) bool {
	return id != "" && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// isAddress reports whether requests can be sent to an address. Names are not resolved,
// and unspecified and multicast addresses are refused.
func isAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// maxCold bounds the time for which an endpoint can be cold.
const maxCold = 10 * time.Minute

// ColdTime returns the time for which an endpoint says that it is still cold, in
// milliseconds, and whether that is a valid time.
func ColdTime(ms float64) (left time.Duration, valid bool) {
	if !(ms >= 0 && ms <= float64(maxCold.Milliseconds())) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}
