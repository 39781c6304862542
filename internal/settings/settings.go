// Package settings reads the settings of a router from JSON. Each component defines the
// type and the defaults of its own section. Unknown fields are rejected, and all
// problems are reported at once.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"time"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/internal/admission"
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/caller"
	"daisyslip.dev/daisyslip/internal/calls"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/dispatch"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/operator"
	"daisyslip.dev/daisyslip/internal/orders"
	"daisyslip.dev/daisyslip/internal/peer"
	"daisyslip.dev/daisyslip/internal/platformhttp"
	"daisyslip.dev/daisyslip/internal/strictjson"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// Log holds the settings of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// Drain holds the settings of a planned stop.
type Drain struct {
	// Timeout bounds the whole stop. Requests still in flight then are cut off.
	Timeout time.Duration `json:"timeout"`
}

// Settings holds all settings of a router.
type Settings struct {
	// VM, Domain and Region name the router's VM, failure domain and region. They
	// have no default.
	VM        string                `json:"vm"`
	Domain    string                `json:"domain"`
	Region    string                `json:"region"`
	Caller    caller.Settings       `json:"caller"`
	Operator  operator.Settings     `json:"operator"`
	Peer      peer.Settings         `json:"peer"`
	Member    member.Settings       `json:"member"`
	Platform  platformhttp.Settings `json:"platform"`
	Budget    budget.Settings       `json:"budget"`
	Route     balancer.Settings     `json:"route"`
	Admission admission.Settings    `json:"admission"`
	Dispatch  dispatch.Settings     `json:"dispatch"`
	Calls     calls.Settings        `json:"calls"`
	Config    fleetconfig.Settings  `json:"config"`
	Orders    orders.Settings       `json:"orders"`
	Timeline  timeline.Settings     `json:"timeline"`
	Drain     Drain                 `json:"drain"`
	Log       Log                   `json:"log"`
}

// Default returns the defaults. Settings without a default are left zero.
func Default() Settings {
	return Settings{
		Caller:    caller.DefaultSettings(),
		Operator:  operator.DefaultSettings(),
		Peer:      peer.DefaultSettings(),
		Member:    member.DefaultSettings(),
		Platform:  platformhttp.DefaultSettings(),
		Budget:    budget.DefaultSettings(),
		Route:     balancer.DefaultSettings(),
		Admission: admission.DefaultSettings(),
		Dispatch:  dispatch.DefaultSettings(),
		Calls:     calls.DefaultSettings(),
		Config:    fleetconfig.DefaultSettings(),
		Orders:    orders.DefaultSettings(),
		Timeline:  timeline.DefaultSettings(),
		Drain:     Drain{Timeout: 15 * time.Minute},
		Log:       Log{Level: "info", Format: "text"},
	}
}

// Validate adds every invalid setting to l. Besides the checks of each section it checks
// the relations between settings of different sections.
func (s Settings) Validate(l *check.List) {
	l.Required("vm", s.VM)
	l.Required("domain", s.Domain)
	l.Required("region", s.Region)
	s.Caller.Validate(l, "caller")
	s.Operator.Validate(l, "operator")
	s.Peer.Validate(l, "peer")
	for _, p := range s.Member.Validate() {
		l.Duration("member."+p.Name, p.Value, p.Low, p.High)
	}
	// A VM must not count as terminated while view leases that its router has
	// granted may still be valid.
	l.Duration("member.gone_after", s.Member.TerminatedAfter, 2*s.Config.ViewLeaseDuration+5*time.Second, time.Hour)
	// The row of a member must not be removed while the member may still take new
	// work under a view that it could not confirm.
	l.Duration("config.unconfirmed_bound", s.Config.UnconfirmedBound, time.Second, s.Member.RemoveAfter/3)
	s.Platform.Validate(l, "platform")
	for _, p := range s.Budget.Validate() {
		l.Add("budget."+p.Path, p.Value, p.Want)
	}
	s.Route.Validate(l, "route")
	s.Admission.Validate(l, "admission")
	s.Dispatch.Validate(l, "dispatch")
	s.Calls.Validate(l, "calls")
	s.Config.Validate(l, "config")
	s.Orders.Validate(l, "orders")
	s.Timeline.Validate(l, "timeline")
	l.Duration("drain.timeout", s.Drain.Timeout, time.Second, 24*time.Hour)
	l.OneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	l.OneOf("log.format", s.Log.Format, "text", "json")
}

// Load reads and validates the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return s, nil
}

// Parse decodes settings from JSON, with defaults for missing fields, and validates them.
// The error lists every problem: unknown fields, wrong types and invalid values.
func Parse(data []byte) (Settings, error) {
	s := Default()
	var problems check.List
	if err := strictjson.Decode(data, &s, &problems); err != nil {
		return Settings{}, err
	}
	s.Validate(&problems)
	return s, problems.Err()
}

// Entry is one setting with its JSON path, such as "drain.timeout", and its value as
// text, for listings.
type Entry struct {
	Path  string `json:"path"`
	Value string `json:"value"`
}

// Entries returns all settings in the order of their declaration.
func (s Settings) Entries() []Entry { return EntriesOf(s) }

// EntriesOf returns the entries of any settings, which must be a struct whose fields,
// and those of nested structs, all have a json tag.
func EntriesOf(settings any) []Entry { return entriesOf(reflect.ValueOf(settings), "") }

func entriesOf(v reflect.Value, prefix string) []Entry {
	var entries []Entry
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		field := v.Field(i)
		if field.Kind() == reflect.Struct {
			entries = append(entries, entriesOf(field, path+".")...)
			continue
		}
		entries = append(entries, Entry{Path: path, Value: fmt.Sprint(field.Interface())})
	}
	return entries
}
