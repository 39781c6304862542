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

// Numbers of events of one page.
const (
	defaultPageEvents = 2000
	maxPageEvents     = 10000
)

// Filter selects events. An empty field does not restrict the selection.
type Filter struct {
	// Requests, Keys and Ops hold request ids, hashes of idempotency keys and
	// ids of platform operations. An event must match at least one of them, if
	// any is set.
	Requests []string
	Keys     []string
	Ops      []string
	// Workspace, Endpoint, Component and Kind must each match if set.
	Workspace string
	Endpoint  string
	Component event.Component
	Kind      event.Kind
	// From (inclusive) and To (exclusive) bound the wall time of the event.
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

// matchesLinks reports whether e matches any of Requests, Keys and Ops.
func (f *Filter) matchesLinks(e *event.Event) bool {
	if len(f.Requests)+len(f.Keys)+len(f.Ops) == 0 {
		return true
	}
	return e.Request != "" && slices.Contains(f.Requests, e.Request) ||
		e.Key != "" && slices.Contains(f.Keys, e.Key) ||
		e.Op != "" && slices.Contains(f.Ops, e.Op)
}

// Query selects one page of a router's events.
type Query struct {
	Filter Filter
	// Incarnation and Since are the cursor: the Incarnation and Next of the
	// previous page. If the router runs as another incarnation now, the page
	// starts at its first event.
	Incarnation string
	Since       uint64
	// Limit bounds the events of the page; 0 means defaultPageEvents. It is
	// capped at maxPageEvents.
	Limit int
}

// limit returns the effective limit.
func (q *Query) limit() int {
	if q.Limit <= 0 {
		return defaultPageEvents
	}
	return min(q.Limit, maxPageEvents)
}

// Page is one page of a router's events.
type Page struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Now is the router's clock when the page was read. Events that are
	// recorded later have later stamps.
	Now hlc.Time `json:"now"`
	// Next is the value of Query.Since for the following page.
	Next uint64 `json:"next"`
	// More is true if there are events after Next.
	More bool `json:"more"`
	// Dropped counts the events between Query.Since and Next that were
	// overwritten, whether or not the filter would have matched them.
	Dropped uint64        `json:"dropped"`
	Events  []event.Event `json:"events"`
}

// Names of the query string parameters of a Query.
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

// Values encodes the query as query string parameters. ParseQuery decodes them.
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

// ParseQuery decodes the query string parameters that Values encodes. For an
// invalid value it returns a failure.BadRequest that names the parameter.
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
