package timeline

import (
	"net/url"
	"slices"
	"strconv"
	"time"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/hlc"
)

// Bounds of the events of one page.
const (
	defaultPageEvents = 2000
	maxPageEvents     = 10000
)

// Filter selects events. An empty field selects all.
type Filter struct {
	// Requests, Keys and Ops link events: one that matches any of them is
	// selected.
	Requests []string
	Keys     []string
	Ops      []string
	// Workspace, Endpoint, Duty and Kind must all match.
	Workspace string
	Endpoint  string
	Component event.Component
	Kind      event.Kind
	// From and To bound the wall time, From inclusive, To exclusive.
	From time.Time
	To   time.Time
}

// Matches reports whether the filter selects e.
func (f *Filter) Matches(e *event.Event) bool {
	return f.matchesLinks(e) &&
		(f.Workspace == "" || f.Workspace == e.Workspace) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint) &&
		(f.Component == "" || f.Component == e.Component) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.From.IsZero() || e.Time.Wall >= f.From.UnixNano()) &&
		(f.To.IsZero() || e.Time.Wall < f.To.UnixNano())
}

func (f *Filter) matchesLinks(e *event.Event) bool {
	if len(f.Requests)+len(f.Keys)+len(f.Ops) == 0 {
		return true
	}
	return e.Request != "" && slices.Contains(f.Requests, e.Request) ||
		e.Key != "" && slices.Contains(f.Keys, e.Key) ||
		e.Op != "" && slices.Contains(f.Ops, e.Op)
}

// Query asks a router for a page of its events.
type Query struct {
	Filter Filter
	// Incarnation and Since are the cursor: the incarnation and the Next of
	// an earlier page. A cursor of another incarnation starts from the first
	// event.
	Incarnation string
	Since       uint64
	// Limit bounds the events of the page; 0 is the default.
	Limit int
}

func (q *Query) limit() int {
	if q.Limit <= 0 {
		return defaultPageEvents
	}
	return min(q.Limit, maxPageEvents)
}

// Page is a part of a router's events.
type Page struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Now is the router's clock: later pages hold only later events.
	Now hlc.Time `json:"now"`
	// Next is the cursor of the following page.
	Next uint64 `json:"next"`
	// More is true if events after Next are waiting.
	More bool `json:"more"`
	// Dropped counts the events between the two cursors that were
	// overwritten, whether or not the filter would have selected them.
	Dropped uint64        `json:"dropped"`
	Events  []event.Event `json:"events"`
}

// Names of the parameters in a query string.
const (
	paramRequest     = "request"
	paramKey         = "key"
	paramOp          = "op"
	paramWorkspace   = "workspace"
	paramEndpoint    = "endpoint"
	paramDuty        = "duty"
	paramKind        = "kind"
	paramFrom        = "from"
	paramTo          = "to"
	paramIncarnation = "incarnation"
	paramSince       = "since"
	paramLimit       = "limit"
)

// Values encodes the query as a query string's values.
func (q *Query) Values() url.Values {
	values := url.Values{paramRequest: q.Filter.Requests, paramKey: q.Filter.Keys, paramOp: q.Filter.Ops}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set(paramWorkspace, q.Filter.Workspace)
	set(paramEndpoint, q.Filter.Endpoint)
	set(paramDuty, string(q.Filter.Component))
	set(paramKind, string(q.Filter.Kind))
	set(paramIncarnation, q.Incarnation)
	set(paramSince, strconv.FormatUint(q.Since, 10))
	set(paramLimit, strconv.Itoa(q.Limit))
	if !q.Filter.From.IsZero() {
		set(paramFrom, q.Filter.From.Format(time.RFC3339Nano))
	}
	if !q.Filter.To.IsZero() {
		set(paramTo, q.Filter.To.Format(time.RFC3339Nano))
	}
	return values
}

// ParseQuery decodes what Values encodes. A wrong value is a
// failure.BadRequest that names its parameter.
func ParseQuery(values url.Values) (Query, error) {
	q := Query{
		Filter: Filter{
			Requests:  values[paramRequest],
			Keys:      values[paramKey],
			Ops:       values[paramOp],
			Workspace: values.Get(paramWorkspace),
			Endpoint:  values.Get(paramEndpoint),
			Component: event.Component(values.Get(paramDuty)),
			Kind:      event.Kind(values.Get(paramKind)),
		},
		Incarnation: values.Get(paramIncarnation),
	}
	var err error
	parseParam := func(name string, parse func(string) error) {
		if text := values.Get(name); text != "" && err == nil {
			if e := parse(text); e != nil {
				err = failure.Wrap(failure.BadRequest, "read "+name, "operator", e)
			}
		}
	}
	parseParam(paramSince, func(s string) (e error) { q.Since, e = strconv.ParseUint(s, 10, 64); return e })
	parseParam(paramLimit, func(s string) (e error) { q.Limit, e = strconv.Atoi(s); return e })
	parseParam(paramFrom, func(s string) (e error) { q.Filter.From, e = time.Parse(time.RFC3339Nano, s); return e })
	parseParam(paramTo, func(s string) (e error) { q.Filter.To, e = time.Parse(time.RFC3339Nano, s); return e })
	return q, err
}
