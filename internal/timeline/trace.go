package timeline

import (
	"context"
	"slices"

	"daisyslip.dev/daisyslip/coord/event"
)

// maxStoryRounds bounds the rounds in which a story grows.
const maxTraceRounds = 5

// Story returns every event that belongs to a request at any router: its own,
// those of the tries that share its idempotency key, and the platform
// transactions that its events name.
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

// grow adds the links of events to the filter and reports whether any is new.
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

// foreign reports whether an event belongs to another request: one that only
// shares a transaction with this one.
func (f *Filter) isUnrelated(e event.Event) bool {
	return e.Request != "" && !slices.Contains(f.Requests, e.Request) &&
		(e.Key == "" || !slices.Contains(f.Keys, e.Key))
}

func appendUnique(list []string, value string) []string {
	if value == "" || slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}
