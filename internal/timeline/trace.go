package timeline

import (
	"context"
	"slices"

	"daisyslip.dev/daisyslip/coord/event"
)

// maxTraceRounds bounds the times that Trace reads all routers. Each round can
// find further keys, requests and operations, which the next one looks for.
const maxTraceRounds = 5

// Trace returns all events of a request at any router, in causal order: those
// recorded under its id, those of retries that share its idempotency key, and
// those of the platform transactions that its events name. The notices say which
// routers' events may be missing.
func Trace(ctx context.Context, sources []Source, request string) ([]event.Event, []Notice) {
	filter := Filter{Requests: []string{request}}
	for range maxTraceRounds - 1 {
		events, _ := NewCollector(sources).All(ctx, filter)
		if !filter.addLinks(events) {
			break
		}
	}
	events, notices := NewCollector(sources).All(ctx, filter)
	return slices.DeleteFunc(events, filter.isUnrelated), notices
}

// addLinks adds the requests, keys and operations that the events name to the
// filter and reports whether any of them is new.
func (f *Filter) addLinks(events []event.Event) bool {
	before := len(f.Requests) + len(f.Keys) + len(f.Ops)
	for i := range events {
		e := &events[i]
		if f.isUnrelated(*e) {
			continue
		}
		f.Requests = appendUnique(f.Requests, e.Request)
		f.Keys = appendUnique(f.Keys, e.Key)
		f.Ops = appendUnique(f.Ops, e.Op)
	}
	return len(f.Requests)+len(f.Keys)+len(f.Ops) > before
}

// isUnrelated reports whether an event belongs to another request, which only
// shares a platform transaction with the traced one.
func (f *Filter) isUnrelated(e event.Event) bool {
	return e.Request != "" && !slices.Contains(f.Requests, e.Request) &&
		(e.Key == "" || !slices.Contains(f.Keys, e.Key))
}

// appendUnique appends a value that is neither empty nor in the list yet.
func appendUnique(list []string, value string) []string {
	if value == "" || slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}
