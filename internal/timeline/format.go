package timeline

import (
	"fmt"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
)

// FormatEvent formats an event as one line of text, without the line end. Fields
// that are empty or zero are left out.
func FormatEvent(e event.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-12s %-8s %-20s", e.Time, e.VM, e.Component, e.Kind)
	field := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	number := func(name string, value int64) {
		if value != 0 {
			fmt.Fprintf(&b, " %s=%d", name, value)
		}
	}
	field("request", e.Request)
	field("attempt", e.Attempt)
	field("workspace", e.Workspace)
	field("endpoint", e.Endpoint)
	field("peer", e.Peer)
	number("tokens", e.Tokens)
	number("revision", e.Revision)
	field("key", e.Key)
	field("op", e.Op)
	if e.Micros != 0 {
		field("took", (time.Duration(e.Micros) * time.Microsecond).String())
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	return b.String()
}
