// Package onplatform assembles a router that runs on the users' platform from the
// platform's settings file and the settings of the gateway.
package onplatform

import (
	"log/slog"

	"daisyslip.dev/daisyslip/internal/gateway"
	"daisyslip.dev/daisyslip/platform"
)

// Router is a gateway with the connections to the platform's store.
type Router struct {
	*gateway.Gateway
	store platform.Store
}

// New reads the platform's settings file at path and returns a router with these
// settings, which doesn't run yet. The file is read again at each reload. The caller
// calls Close after the router's Run.
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

// Close closes the idle connections to the store.
func (r *Router) Close() { r.store.Close() }

// Platform returns what a gateway needs from the users' platform. The store is the
// platform's, and reload reads the platform's settings again.
func Platform(store platform.Store, reload func() (gateway.PlatformSettings, error)) gateway.Platform {
	return gateway.Platform{
		Store: store, Codec: platform.Codec{},
		ConfigTable: platform.OperatorTable, ConfigName: platform.ConfigName, EndpointTable: platform.EndpointTable,
		DecodeConfig: platform.DecodeConfig, DecodeEndpoint: platform.DecodeEndpoint, DecodeEvacuation: platform.DecodeEvacuation, ReadyPath: platform.ReadyPath,
		Reload: reload,
	}
}
