// Package daemon assembles the components of a router and runs them.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/hlc"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/internal/caller"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/internal/operator"
	"daisyslip.dev/daisyslip/internal/orders"
	"daisyslip.dev/daisyslip/internal/peer"
	"daisyslip.dev/daisyslip/internal/platformevents"
	"daisyslip.dev/daisyslip/internal/platformhttp"
	"daisyslip.dev/daisyslip/internal/settings"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// Version is the version of daisyslip and daisyslipd. Both commands print it, and the
// status of a router contains it.
const Version = "0.1.0"

// Daemon is one router. Provision is called before Run, which cleans up at its end.
type Daemon struct {
	settings  settings.Settings
	log       *slog.Logger
	self      bus.Peer
	startedAt time.Time

	metrics        *metrics.Set
	events         *timeline.Ring
	copies         *timeline.Copies // copies of other routers' events
	copier         *timeline.Copier // copies this router's events to a peer
	platformClient *platformhttp.Client
	platform       *platformevents.Platform
	members        *member.Directory
	link           *peer.Link // nil if the peer link is off
	bus            bus.Bus    // link, or a bus without peers
	config         *fleetconfig.Keeper
	holder         *budget.LocalHolder
	delivery       delivery
	caller         *caller.Server
	operator       *operator.Server

	orders *orders.Sender
	// supersede starts the drain when a newer incarnation runs on this VM. Run
	// sets it.
	supersede context.CancelFunc
}

// New assembles a router from its settings, which doesn't listen or run yet.
func New(s settings.Settings, log *slog.Logger) *Daemon {
	d := &Daemon{
		settings:       s,
		log:            log,
		self:           bus.Peer{ID: bus.ID{VM: s.VM, Incarnation: uuid.NewString()}, Domain: s.Domain, Region: s.Region, Addr: s.Peer.Listen},
		startedAt:      time.Now(),
		metrics:        metrics.NewSet(),
		platformClient: platformhttp.NewClient(s.Platform, s.VM),
	}
	hybridClock := hlc.New(clock.Real{})
	d.events = timeline.NewRing(s.Timeline, d.self.ID, hybridClock)
	d.instrumentPlatform()
	d.newPeers(hybridClock)
	d.config = fleetconfig.NewKeeper(s.Config, d.platform, clock.Real{}, d.events, d.componentLog("config"))
	d.config.Join(d.bus, d.members)
	d.copier = d.newCopier(d.bus)
	ledger := d.newLedger(d.bus)
	d.holder = d.newHolder(d.bus)
	d.delivery = d.newDelivery()
	d.orders = d.newOrders()
	d.caller = caller.New(s.Caller, caller.Dependencies{
		Config:         d.config,
		Budgets:        d.holder,
		Generator:      d.delivery.dispatch,
		Calls:          d.delivery.calls,
		Events:         d.events,
		Metrics:        d.metrics,
		Log:            d.componentLog("caller"),
		UnreadyReasons: d.unreadyReasons,
		ConfirmView:    d.config.ConfirmView,
	})
	d.operator = operator.New(s.Operator, operator.Dependencies{
		Config:   d.config,
		Ledger:   ledger,
		Replicas: operator.ReplicaFlusher{Flush: d.holder.FlushReplicas},
		Events:   d.events,
		Copies:   d.copies,
		Metrics:  d.metrics,
		Log:      d.componentLog("operator"),
		Status:   d.status,
		Members:  d.members.Members,
		Orders:   d.orders,
	})
	return d
}

// componentLog returns the log of one component, whose lines carry its name.
func (d *Daemon) componentLog(name string) *slog.Logger { return logs.WithPrefix(d.log, name) }

// Provision opens the listeners. After an error, none is open.
func (d *Daemon) Provision() error {
	if err := d.caller.Provision(); err != nil {
		return err
	}
	if err := d.operator.Provision(); err != nil {
		return errors.Join(err, d.caller.Cleanup())
	}
	if err := d.provisionPeers(); err != nil {
		return errors.Join(err, d.caller.Cleanup(), d.operator.Cleanup())
	}
	return nil
}

// Addresses are the addresses that a router listens on.
type Addresses struct {
	// Caller and Operator are the base URLs of the APIs for callers and operators.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	// Peer is the host:port for other routers; empty if the peer link is off.
	Peer string `json:"peer,omitempty"`
}

// Addresses returns the addresses that the router listens on. It must be called after
// Provision.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.caller.URL(),
		Operator: d.operator.URL(),
		Peer:     d.bus.Self().Addr,
	}
}

// maxComponents is the capacity of the channel for the errors of components, so that no
// component blocks while it reports its error. It must be at least the number of
// components that Run starts.
const maxComponents = 16

// Run serves until ctx ends or a newer incarnation supersedes this one, and then
// drains: readiness turns false, requests in flight complete, and grants are returned
// to the platform. It returns early with an error if a component fails.
func (d *Daemon) Run(ctx context.Context) error {
	componentCtx, stop := context.WithCancel(context.Background())
	defer stop()
	ctx, d.supersede = context.WithCancel(ctx)
	defer d.supersede()
	var running sync.WaitGroup
	componentErrs := make(chan error, maxComponents)
	start := func(name string, run func() error) {
		running.Go(func() {
			if err := run(); err != nil {
				componentErrs <- fmt.Errorf("run %s: %w", name, err)
			}
		})
	}
	start("config", func() error { return d.config.Run(componentCtx) })
	start("peers", d.runPeers)
	start("seeds", func() error { return d.dialSeeds(componentCtx) })
	start("members", func() error { return d.runMembers(componentCtx) })
	start("timeline", func() error { return d.copier.Run(componentCtx) })
	start("route", func() error { return d.delivery.balancer.Run(componentCtx) })
	start("calls", func() error { return d.delivery.calls.Run(componentCtx) })
	start("drainer", func() error { return d.runDrainer(componentCtx) })
	start("caller", d.caller.Run)
	start("operator", d.operator.Run)
	d.log.Info("router started", "vm", d.self.ID.VM, "incarnation", d.self.ID.Incarnation,
		"caller", d.Addresses().Caller, "operator", d.Addresses().Operator)
	var err error
	select {
	case <-ctx.Done():
		err = d.drain()
	case err = <-componentErrs:
	}
	stop()
	err = errors.Join(err, d.cleanup())
	running.Wait()
	return err
}

// drain stops the router without cutting off requests, within the drain timeout.
// Requests that are still in flight then are cut off.
func (d *Daemon) drain() error {
	d.log.Info("drain started", "in_flight", d.caller.InFlight())
	d.events.Record(event.Event{Component: event.ComponentDrain, Kind: event.DrainStarted})
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Timeout)
	defer cancel()
	err := errors.Join(d.caller.Drain(ctx), d.delivery.drain(ctx), d.holder.Close(ctx), d.leavePeers(ctx))
	d.events.Record(event.Event{Component: event.ComponentDrain, Kind: event.DrainEnded})
	d.log.Info("drain finished", "err", err)
	return err
}

// cleanup closes what New and Provision opened.
func (d *Daemon) cleanup() error {
	err := errors.Join(d.caller.Cleanup(), d.operator.Cleanup(), d.cleanupPeers())
	d.delivery.close()
	d.platform.Close()
	return err
}

// unreadyReasons returns the reasons why the router should get no requests; none if it
// is ready.
func (d *Daemon) unreadyReasons() []string {
	var reasons []string
	if reason := d.config.UnreadyReason(); reason != "" {
		reasons = append(reasons, reason)
	}
	if d.holder.Fenced() {
		reasons = append(reasons, "an operator has settled this process's budgets; start it anew")
	}
	return reasons
}

// status returns the state of the router for the operator API.
func (d *Daemon) status() operator.Status {
	return operator.Status{
		Self:           d.bus.Self(),
		Version:        Version,
		StartedAt:      d.startedAt,
		Revision:       d.config.Catalog().Revision,
		InFlight:       d.caller.InFlight(),
		Draining:       d.caller.Draining(),
		UnreadyReasons: d.unreadyReasons(),
		Peers:          append([]bus.Peer{}, d.bus.Peers()...),
	}
}
