package gateway

import (
	"fmt"
	"os"

	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/ingress"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
	"daisyslip.dev/daisyslip/internal/routerload"
	"daisyslip.dev/daisyslip/internal/strictjson"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// Settings configure a Gateway and come from its own settings file. Those that the
// platform gives are PlatformSettings.
type Settings struct {
	Ingress    ingress.Settings    `json:"ingress"`
	Upstream   upstream.Settings   `json:"upstream"`
	Placement  placement.Settings  `json:"placement"`
	Prepaid    prepaid.Settings    `json:"prepaid"`
	Quarantine quarantine.Settings `json:"quarantine"`
	RouterLoad routerload.Settings `json:"router_load"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Ingress: ingress.DefaultSettings(), Upstream: upstream.DefaultSettings(),
		Placement: placement.DefaultSettings(), Prepaid: prepaid.DefaultSettings(), Quarantine: quarantine.DefaultSettings(), RouterLoad: routerload.DefaultSettings(),
	}
}

// Validate adds every invalid setting to l.
func (s Settings) Validate(l *check.List) {
	s.Ingress.Validate(l, "ingress")
	s.Upstream.Validate(l, "upstream")
	s.Placement.Validate(l, "placement")
	s.Quarantine.Validate(l, "quarantine")
	s.RouterLoad.Validate(l, "router_load")
	for _, p := range s.Prepaid.Validate() {
		l.Add("prepaid."+p.Name, p.Value, p.Want)
	}
}

// LoadSettings reads settings from the JSON file at path, with defaults for missing
// fields, and validates them. The error lists every problem. If path is empty, it
// returns the defaults.
func LoadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	if path == "" {
		return s, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	var problems check.List
	if err := strictjson.Decode(data, &s, &problems); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	s.Validate(&problems)
	if err := problems.Err(); err != nil {
		return s, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return s, nil
}
