// Package gateway assembles and runs a router that takes its configuration and
// its list of endpoints from a platform's store. It needs no other router to
// serve.
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

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/connlimit"
	"daisyslip.dev/daisyslip/internal/endpointlimit"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/gossip"
	"daisyslip.dev/daisyslip/internal/ingress"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/internal/members"
	"daisyslip.dev/daisyslip/internal/pace"
	"daisyslip.dev/daisyslip/internal/peer"
	"daisyslip.dev/daisyslip/internal/placement"
	"daisyslip.dev/daisyslip/internal/quarantine"
	"daisyslip.dev/daisyslip/internal/retrybudget"
	"daisyslip.dev/daisyslip/internal/routerload"
	"daisyslip.dev/daisyslip/internal/routetable"
	"daisyslip.dev/daisyslip/internal/upstream"
)

// Platform holds what a router needs from the platform that it runs on: clients
// and the platform's names and encodings.
type Platform struct {
	Store rowstore.Store
	Codec exchange.Codec
	// ConfigTable and ConfigName are the table and the name of the row with the
	// configuration; EndpointTable is the table with a row for each endpoint.
	ConfigTable, ConfigName, EndpointTable string
	DecodeConfig                           func(data []byte) (*routetable.Table, error)
	DecodeEndpoint                         func(id string, data []byte) (endpoints.Endpoint, error)
	// DecodeEvacuation returns the failure domain that a row of ConfigTable evacuates, and
	// whether it evacuates one. The error says what is wrong with the row.
	DecodeEvacuation func(name string, value []byte) (domain string, evacuates bool, err error)
	// ReadyPath is the path at which the load balancer queries readiness.
	ReadyPath string
	// Reload reads the platform's settings again.
	Reload func() (PlatformSettings, error)
}

// PlatformSettings are the settings that the platform gives a router.
type PlatformSettings struct {
	// VM and Domain name the router's VM and failure domain.
	VM, Domain string
	// CallerAddr, ReadyAddr and MetricsAddr are the addresses to listen on, as
	// host:port.
	CallerAddr, ReadyAddr, MetricsAddr string
	// PeerAddr is the address at which other routers connect, as host:port. If it
	// is empty, this router uses only grants of its own.
	PeerAddr string
	// Cores is the processing capacity of the VM in cores, or 0 if it is unknown.
	Cores float64
	// CPUShare is the part of a core that the VM gets, LinkMbps the capacity of its link in
	// each direction in Mbit/s, and MaxFDs its limit of open file descriptors; each is 0 if
	// it is unknown.
	CPUShare, LinkMbps float64
	MaxFDs             int
	// MemoryBytes is the memory limit above which the platform kills the
	// process; 0 if there is none.
	MemoryBytes int64
	// Grace is the time between the signal to stop and the kill of the process.
	Grace time.Duration
	// ConfigWithin is the time within which a new configuration must be applied, and
	// LeaveWithin that within which a leaving endpoint must get no more requests.
	ConfigWithin, LeaveWithin time.Duration
	// EvacuateWithin is the time within which the endpoints of an evacuated failure
	// domain must get no more requests; 0 if it is not stated.
	EvacuateWithin time.Duration
	// Cold bounds the requests to cold endpoints.
	Cold ColdBounds
	// Heartbeat is the interval in which endpoints write their rows.
	Heartbeat time.Duration
	// Retries bound the retries of all routers together.
	Retries retrybudget.Settings
}

// Gateway is one router. Provision is called before Run, which cleans up at its end.
// The other methods are safe to call while it runs.
type Gateway struct {
	settings  Settings
	platform  Platform
	log       *slog.Logger
	clock     clock.Clock
	metrics   *metrics.Set
	startedAt time.Time

	platformSettings atomic.Pointer[PlatformSettings]
	incarnation      string // unique id of this start of the process

	tables     *routetable.Current // the applied configuration
	endpoints  *endpoints.Registry
	balancer   *placement.Balancer
	pace       *pace.Controller // nil if switched off
	retries    *retrybudget.Budget
	prepaid    *prepaid.Pool
	members    *members.Directory
	link       *peer.Link // nil without PlatformSettings.PeerAddr
	gossip     *gossip.Spreader
	quarantine *quarantine.Quarantine
	limits     *endpointlimit.Limits
	upstream   *upstream.Pool
	handler    *ingress.Handler
	draining   atomic.Bool
	// evacuations are the rows that evacuate failure domains.
	evacuations evacuations
	load        *routerload.Monitor

	callerServer, readyServer, metricsServer *server
	connections                              connectionGroups
}

// New assembles a router, which doesn't listen or run yet.
func New(s Settings, ps PlatformSettings, p Platform, log *slog.Logger) *Gateway {
	g := &Gateway{
		settings: s, platform: p, log: log, clock: clock.Real{}, metrics: metrics.NewSet(), startedAt: time.Now(),
		incarnation: uuid.NewString(), tables: &routetable.Current{},
	}
	g.platformSettings.Store(&ps)
	g.platform.Store = meteredStore{Store: p.Store, set: g.metrics}
	g.endpoints = endpoints.NewRegistry(ps.Heartbeat, g.clock, g.componentLog("endpoints"))
	g.endpoints.SetColdStart(g.coldStart)
	g.balancer = placement.NewBalancer(s.Placement, ps.Domain, g.clock, g.componentLog("placement"))
	if s.Placement.Pace {
		g.pace = pace.New(g.clock, g.componentLog("pace"), g.metrics)
		g.balancer.SetPace(g.pace)
	}
	g.retries = retrybudget.New(g.clock, ps.Retries, g.countRouters)
	budget := bytebudget.New(int64(keptBytesShare*float64(ps.MemoryBytes)), g.componentLog("ingress"), g.metrics)
	g.connections = g.newConnectionGroups(ps, budget)
	g.newPool(ps)
	g.newLoad(ps)
	g.upstream = upstream.NewPool(s.Upstream, g.clock, g.metrics)
	g.upstream.SetTraffic(&g.load.Traffic)
	g.handler = ingress.NewHandler(s.Ingress, ingress.Dependencies{
		Codec: p.Codec, Tables: g.tables, Endpoints: g.endpoints, Balancer: g.balancer, Retries: g.retries,
		Bytes:   budget,
		Prepaid: g.prepaid, Upstream: g.upstream, Quarantine: g.quarantine, Limits: g.limits, Load: g.load, Clock: g.clock, Log: g.componentLog("ingress"), Metrics: g.metrics,
	})
	g.registerGauges()
	return g
}

// newPool creates the budgets of the fleet, the peer link that they use, and the other
// components that use it.
func (g *Gateway) newPool(ps PlatformSettings) {
	self := prepaid.Member{ID: bus.ID{VM: ps.VM + "@" + ps.CallerAddr, Incarnation: g.incarnation}, Domain: ps.Domain, Weight: prepaid.LenderWeight(ps.Cores)}
	g.members = members.New(self, g.platform.Store, g.clock, g.componentLog("members"), func(secret string) {
		if g.link != nil {
			g.link.SetSecret(secret)
		}
	})
	peers := bus.Bus(bus.NewNetwork().Join(bus.Peer{ID: self.ID, Domain: ps.Domain}))
	if ps.PeerAddr != "" {
		settings := peer.DefaultSettings()
		settings.Listen = ps.PeerAddr
		g.link = peer.New(settings, bus.Peer{ID: self.ID, Domain: ps.Domain}, peer.Dependencies{
			Directory: g.members, Clock: hlc.New(g.clock), Events: event.Discard{}, Metrics: g.metrics, Log: g.componentLog("peer"),
			Connections: g.connections.peers,
		})
		peers = g.link
	}
	holder := prepaid.NewHolder(prepaid.Options{
		Settings: g.settings.Prepaid, Store: g.platform.Store, VM: self.ID.VM, Incarnation: g.incarnation, Clock: g.clock,
		Log: g.componentLog("prepaid"), Limit: g.prepaidLimit,
	})
	g.prepaid = prepaid.NewPool(prepaid.PoolOptions{
		Holder: holder, Self: self, Bus: peers, Fleet: g.members, Clock: g.clock, Log: g.componentLog("prepaid"),
		FirstStart: ps.Retries.FirstStart,
	})
	g.newGossip(peers)
	g.newQuarantine()
	g.newLimits(peers)
}

// componentLog returns the log of one component, whose lines carry its name.
func (g *Gateway) componentLog(name string) *slog.Logger { return logs.WithPrefix(g.log, name) }

// prepaidLimit returns the prepaid total of a workspace in the applied
// configuration, and false if the workspace has none.
func (g *Gateway) prepaidLimit(workspace string) (prepaid.Limit, bool) {
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

// Provision opens the listeners and limits the Go heap.
func (g *Gateway) Provision() error {
	ps := g.platformSettings.Load()
	if ps.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(goHeapShare * float64(ps.MemoryBytes)))
	}
	g.callerServer = newServer("callers", g.handler, g.connections.callers, g.componentLog("ingress"))
	g.readyServer = newServer("the balancer", g.readyHandler(), g.connections.ready, g.componentLog("ready"))
	g.metricsServer = newServer("metrics", g.metricsHandler(), g.connections.metrics, g.componentLog("metrics"))
	for _, s := range []*server{g.readyServer, g.metricsServer} {
		s.http.ReadTimeout, s.http.WriteTimeout = headerTimeout, headerTimeout
	}
	err := errors.Join(g.callerServer.listen(ps.CallerAddr), g.readyServer.listen(ps.ReadyAddr), g.metricsServer.listen(ps.MetricsAddr))
	if g.callerServer.listener != nil {
		g.callerServer.listener = g.load.Traffic.Listen(g.callerServer.listener)
	}
	if g.link != nil {
		err = errors.Join(err, g.link.Provision())
		g.members.SetAddr(g.link.Self().Addr)
	}
	if err != nil {
		return errors.Join(err, g.Cleanup())
	}
	return nil
}

// goHeapShare is the share of the process's memory limit that the Go heap may use.
// The rest is for stacks and for the kernel's buffers of its connections.
const goHeapShare = 0.6

// keptBytesShare is the share of the process's memory limit for bodies, heads and incomplete
// events of others. The rest of the Go heap is for what each connection takes and for
// buffers that are not collected yet.
const keptBytesShare = 0.3

// Cleanup closes the listeners and the connections to endpoints. It may be called
// more than once.
func (g *Gateway) Cleanup() error {
	g.handler.CutOff()
	g.handler.Close()
	g.upstream.Close()
	if g.link != nil {
		if err := g.link.Cleanup(); err != nil {
			g.log.Warn("peer link not closed properly", "err", err.Error())
		}
	}
	return errors.Join(g.callerServer.close(), g.readyServer.close(), g.metricsServer.close())
}

// Run serves until ctx ends and then drains. It returns early with an error if a
// listener fails.
func (g *Gateway) Run(ctx context.Context) error {
	componentCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for _, runComponent := range []func(context.Context){g.logEras, g.watchConfig, g.watchEndpoints, g.prepaid.Run, g.members.Run, g.gossip.Run, g.quarantine.Run, g.load.Run, g.runMaintenance} {
		running.Go(func() { runComponent(componentCtx) })
	}
	serveErrs := make(chan error, 4)
	if g.link != nil {
		go func() { serveErrs <- g.link.Run() }()
	}
	for _, s := range []*server{g.callerServer, g.readyServer, g.metricsServer} {
		go func() { serveErrs <- s.run() }()
	}
	ps := g.platformSettings.Load()
	g.log.Info("router started", "vm", ps.VM, "domain", ps.Domain, "incarnation", g.incarnation, "callers", ps.CallerAddr, "ready", ps.ReadyAddr, "metrics", ps.MetricsAddr)
	var err error
	select {
	case <-ctx.Done():
		err = g.drain()
	case err = <-serveErrs:
	}
	stop()
	running.Wait()
	err = errors.Join(err, g.Cleanup())
	g.log.Info("router stopped", "incarnation", g.incarnation, "err", fmt.Sprint(err))
	return err
}

// Ready reports whether the load balancer should open connections to this router.
// It has to have a configuration and a complete list of endpoints, and not drain or be
// withdrawn because of its load.
func (g *Gateway) Ready() bool { return g.serving() && !g.load.Withdrawn() }

// serving reports whether this router is ready but for its load.
func (g *Gateway) serving() bool {
	return !g.draining.Load() && g.tables.Load() != nil && g.endpoints.Synced()
}

// readyHandler responds to readiness checks with 200 or 503.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// metricsHandler serves the router's and the process's metrics.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// registerGauges registers the gauges whose values are read from the handler, the
// configuration and the prepaid holder.
func (g *Gateway) registerGauges() {
	g.metrics.NewGauge("daisyslip_requests_in_flight", func() float64 { return float64(g.handler.InFlight()) })
	g.metrics.NewGauge("daisyslip_config_revision", func() float64 { return float64(g.ConfigRevision()) })
	g.balancer.RegisterMetrics(g.metrics)
	g.metrics.NewGauge("daisyslip_store_era", func() float64 { return float64(g.platform.Store.Era()) })
	g.metrics.NewGauge("daisyslip_cold_endpoints", func() float64 { return float64(g.endpoints.ColdCount()) })
	g.metrics.NewGauge("daisyslip_evacuated_domains", func() float64 { return float64(g.endpoints.EvacuatedDomains()) })
	stats, pool := g.prepaid.HolderStats(), g.prepaid.Stats()
	for name, value := range map[string]*atomic.Int64{
		"local": &pool.Local, "borrowed": &pool.Borrowed, "fallback": &pool.Fallback, "hedged": &pool.Hedged, "lent": &pool.Lent, "abandoned": &pool.Abandoned,
		"writes": &stats.Writes, "reclaims": &stats.Reclaims, "conflicts": &stats.Conflicts, "failures": &stats.Failures,
		"exhausted": &stats.Exhausted, "busy": &stats.Busy, "unavailable": &stats.Unavailable,
	} {
		g.metrics.NewGauge(fmt.Sprintf("daisyslip_prepaid_total{what=%q}", name), func() float64 { return float64(value.Load()) })
	}
}

// server is an HTTP server on one address.
type server struct {
	name     string // who it serves, for error messages
	http     *http.Server
	group    *connlimit.Group
	listener net.Listener
}

// Bounds of the connections to each listener. The limits in the configuration are
// equal or stricter; these also apply before there is a configuration.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)

// newServer returns a server that doesn't listen yet. Errors of single connections
// are logged at the debug level.
func newServer(name string, h http.Handler, group *connlimit.Group, log *slog.Logger) *server {
	s := &server{name: name, group: group, http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	group.Configure(s.http)
	return s
}

// listen opens the listener on addr, which is host:port.
func (s *server) listen(addr string) error {
	listener, err := s.group.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	s.listener = listener
	return nil
}

// run serves until close or a shutdown of the server, which is no error.
func (s *server) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.name, err)
	}
	return nil
}

// close closes the listener and all connections. s may be nil.
func (s *server) close() error {
	if s == nil {
		return nil
	}
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close listener for %s: %w", s.name, err)
	}
	return nil
}

// ConfigRevision returns the revision of the applied configuration, or 0 before the
// first.
func (g *Gateway) ConfigRevision() int64 {
	if t := g.tables.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// UsableEndpoints returns the number of endpoints of a pool that may get requests.
func (g *Gateway) UsableEndpoints(pool string) int { return len(g.endpoints.Usable(pool)) }

// InFlight returns the number of requests of callers that are being handled.
func (g *Gateway) InFlight() int64 { return g.handler.InFlight() }

// FleetKnown reports whether the list of routers was read. Before, the router takes the
// least share of what the fleet may retry.
func (g *Gateway) FleetKnown() bool { return g.members.Synced() }

// Addresses are the addresses that a router listens on, as host:port.
type Addresses struct{ Callers, Ready, Metrics string }

// Addresses returns the addresses that the router listens on. It must be called
// after Provision.
func (g *Gateway) Addresses() Addresses {
	return Addresses{Callers: g.callerServer.addr(), Ready: g.readyServer.addr(), Metrics: g.metricsServer.addr()}
}

func (s *server) addr() string { return s.listener.Addr().String() }
