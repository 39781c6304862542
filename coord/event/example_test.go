package event_test

import (
	"context"
	"fmt"
	"slices"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// The events of two processes are sorted in causal order.
func ExampleCompare() {
	events := []event.Event{
		{VM: "entry-2", Seq: 1, Kind: event.RevisionApplied, Time: hlc.Time{Wall: 5, Logical: 2}},
		{VM: "entry-1", Seq: 9, Kind: event.RevisionCommitted, Time: hlc.Time{Wall: 5, Logical: 1}},
	}
	slices.SortFunc(events, event.Compare)
	fmt.Println(events[0].Kind, events[1].Kind)
	// Output: revision_committed revision_applied
}

// A context names the caller's request for which work is done.
func ExampleWithRequest() {
	ctx := event.WithRequest(context.Background(), "r-17")
	fmt.Println(event.RequestOf(ctx))
	// Output: r-17
}
