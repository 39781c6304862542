// Package gateway assembles a router that serves by the configuration and the
// endpoint list of a platform's store. It needs no other router.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/ingress"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/retrybudget"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// Platform is what a router needs of the platform that it runs on.
type Platform struct {
	Store rowstore.Store
	Codec exchange.Codec
	// ConfigTable, ConfigName and EndpointTable say where the store has the
	// configuration and the endpoints.
	ConfigTable, ConfigName, EndpointTable string
	DecodeConfig                           func(data []byte) (*routetable.Table, error)
	DecodeEndpoint                         func(id string, data []byte) (endpoints.Endpoint, error)
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
	// Reload reads the settings again.
	Reload func() (Identity, error)
}

// Identity is what the platform's settings say of a router.
type Identity struct {
	VM, Domain string
	// CallerAddr, ReadyAddr and MetricsAddr are host:port.
	CallerAddr, ReadyAddr, MetricsAddr string
	// MemoryBytes is the memory at which the platform ends the process.
	MemoryBytes int64
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// Heartbeat is the interval in which endpoints write their entries.
	Heartbeat time.Duration
	// Retries bound the repeats of the whole fleet.
	Retries retrybudget.Settings
}

// Gateway is one router.
type Gateway struct {
	settings Settings
	platform Platform
	log      *slog.Logger
	clock    clock.Clock
	metrics  *metrics.Set
	started  time.Time

	identity    atomic.Pointer[Identity]
	incarnation string

	tables    *routetable.Current
	endpoints *endpoints.Registry
	balancer  *placement.Balancer
	retries   *retrybudget.Budget
	prepaid   *prepaid.Holder
	upstream  *upstream.Pool
	handler   *ingress.Handler
	draining  atomic.Bool

	caller, ready, scrape *server
}

// New assembles a router; nothing runs yet.
func New(s Settings, id Identity, p Platform, log *slog.Logger) *Gateway {
	g := &Gateway{
		settings: s, platform: p, log: log, clock: clock.Real{}, metrics: metrics.NewSet(), started: time.Now(),
		incarnation: uuid.NewString(), tables: &routetable.Current{},
	}
	g.identity.Store(&id)
	g.platform.Store = meteredStore{Store: p.Store, set: g.metrics}
	g.endpoints = endpoints.NewRegistry(id.Heartbeat, g.clock, g.part("endpoints"))
	g.balancer = placement.NewBalancer(s.Placement, id.Domain, g.clock, g.part("placement"))
	g.prepaid = prepaid.NewHolder(prepaid.Options{
		Settings: s.Prepaid, Store: g.platform.Store, VM: id.VM + "@" + id.CallerAddr, Incarnation: g.incarnation, Clock: g.clock,
		Log: g.part("prepaid"), Limit: g.limit,
	})
	g.retries = retrybudget.New(g.clock, id.Retries, g.countRouters)
	g.upstream = upstream.NewPool(s.Upstream, g.clock, g.metrics)
	g.handler = ingress.NewHandler(s.Ingress, ingress.Dependencies{
		Codec: p.Codec, Tables: g.tables, Endpoints: g.endpoints, Balancer: g.balancer, Retries: g.retries,
		Prepaid: g.prepaid, Upstream: g.upstream, Clock: g.clock, Log: g.part("ingress"), Metrics: g.metrics,
	})
	g.gauges()
	return g
}

func (g *Gateway) part(name string) *slog.Logger { return logs.Part(g.log, name) }

// limit returns the prepaid total of a workspace.
func (g *Gateway) limit(workspace string) (prepaid.Limit, bool) {
	table := g.tables.Load()
	if table == nil {
		return prepaid.Limit{}, false
	}
	w := table.Workspace(workspace)
	if w == nil || w.PrepaidTokens == nil {
		return prepaid.Limit{}, false
	}
	return prepaid.Limit{Tokens: *w.PrepaidTokens, Revision: table.Revision}, true
}

// Provision opens the listeners and bounds the memory.
func (g *Gateway) Provision() error {
	id := g.identity.Load()
	if id.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(id.MemoryBytes)))
	}
	g.caller = newServer("callers", g.handler, g.part("ingress"))
	g.ready = newServer("the balancer", g.readyHandler(), g.part("ready"))
	g.scrape = newServer("metrics", g.metricsHandler(), g.part("metrics"))
	err := errors.Join(g.caller.listen(id.CallerAddr), g.ready.listen(id.ReadyAddr), g.scrape.listen(id.MetricsAddr))
	if err != nil {
		return errors.Join(err, g.Cleanup())
	}
	return nil
}

// memoryShare is the part of the process's memory for the Go heap; the rest is
// for stacks, and for what the kernel holds of its connections.
const memoryShare = 0.6

// Cleanup closes the listeners.
func (g *Gateway) Cleanup() error {
	g.upstream.Close()
	return errors.Join(g.caller.close(), g.ready.close(), g.scrape.close())
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for _, duty := range []func(context.Context){g.followConfig, g.followEndpoints, g.prepaid.Run, g.keepHouse} {
		running.Go(func() { duty(duties) })
	}
	failed := make(chan error, 3)
	for _, s := range []*server{g.caller, g.ready, g.scrape} {
		go func() { failed <- s.run() }()
	}
	id := g.identity.Load()
	g.log.Info("router starts", "vm", id.VM, "domain", id.Domain, "incarnation", g.incarnation, "callers", id.CallerAddr, "ready", id.ReadyAddr, "metrics", id.MetricsAddr)
	var err error
	select {
	case <-ctx.Done():
		err = g.drain()
	case err = <-failed:
	}
	stop()
	running.Wait()
	err = errors.Join(err, g.Cleanup())
	g.log.Info("router stops", "incarnation", g.incarnation, "err", fmt.Sprint(err))
	return err
}

// Ready reports whether the balancer should send connections here.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.tables.Load() != nil && g.endpoints.Synced()
}

func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

func (g *Gateway) gauges() {
	g.metrics.NewGauge("daisyslip_requests_in_flight", func() float64 { return float64(g.handler.InFlight()) })
	g.metrics.NewGauge("daisyslip_config_revision", func() float64 { return float64(g.ConfigRevision()) })
	stats := g.prepaid.Stats()
	for name, value := range map[string]*atomic.Int64{
		"writes": &stats.Writes, "reclaims": &stats.Reclaims, "conflicts": &stats.Conflicts, "failures": &stats.Failures,
		"exhausted": &stats.Exhausted, "busy": &stats.Busy, "unavailable": &stats.Unavailable,
	} {
		g.metrics.NewGauge(fmt.Sprintf("daisyslip_prepaid_total{what=%q}", name), func() float64 { return float64(value.Load()) })
	}
}

// server is an HTTP server on one address.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// Bounds of callers' connections. The configuration's own bounds are narrower
// or equal; these hold before there is one.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)

func newServer(name string, h http.Handler, log *slog.Logger) *server {
	return &server{name: name, http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
}

func (s *server) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	s.listener = listener
	return nil
}

func (s *server) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.name, err)
	}
	return nil
}

func (s *server) close() error {
	if s == nil {
		return nil
	}
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close the listener for %s: %w", s.name, err)
	}
	return nil
}

// ConfigRevision returns the revision of the configuration in force, or 0.
func (g *Gateway) ConfigRevision() int64 {
	if t := g.tables.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// UsableEndpoints returns the number of endpoints of a pool that may get work.
func (g *Gateway) UsableEndpoints(pool string) int { return len(g.endpoints.Usable(pool)) }

// Addresses say where a router listens, as host:port.
type Addresses struct{ Callers, Ready, Metrics string }

// Addresses returns where the router listens, after Provision.
func (g *Gateway) Addresses() Addresses {
	return Addresses{Callers: g.caller.addr(), Ready: g.ready.addr(), Metrics: g.scrape.addr()}
}

func (s *server) addr() string { return s.listener.Addr().String() }
