// Package onplatform assembles a router on the users' platform from the
// platform's settings file and daisyslip's own settings.
package onplatform

import (
	"log/slog"

	"daisyslip.dev/daisyslip/internal/gateway"
	"daisyslip.dev/daisyslip/platform"
)

// Router is a router on the platform.
type Router struct {
	*gateway.Gateway
	store platform.Store
}

// New reads the platform's settings file at path and returns a router of them;
// the file is read again at each reload. Close it after its run.
func New(path string, gatewaySettings gateway.Settings, log *slog.Logger) (*Router, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(s.StoreAddr)
	reload := func() (gateway.PlatformSettings, error) {
		s, err := platform.LoadSettings(path)
		return s.PlatformSettings, err
	}
	return &Router{Gateway: gateway.New(gatewaySettings, s.PlatformSettings, Platform(store, reload), log), store: store}, nil
}

// Close closes the connections to the store.
func (r *Router) Close() { r.store.Close() }

// Platform is what a gateway needs of the platform, with a store and a function
// that reads the settings again.
func Platform(store platform.Store, reload func() (gateway.PlatformSettings, error)) gateway.Platform {
	return gateway.Platform{
		Store: store, Codec: platform.Codec{},
		ConfigTable: platform.OperatorTable, ConfigName: platform.ConfigName, EndpointTable: platform.EndpointTable,
		DecodeConfig: platform.DecodeConfig, DecodeEndpoint: platform.DecodeEndpoint, ReadyPath: platform.ReadyPath,
		Reload: reload,
	}
}
