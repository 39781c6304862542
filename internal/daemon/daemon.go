// Package daemon assembles the duties of a router and runs them.
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
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/internal/operator"
	"daisyslip.dev/daisyslip/internal/orders"
	"daisyslip.dev/daisyslip/internal/peer"
	"daisyslip.dev/daisyslip/internal/platformevents"
	"daisyslip.dev/daisyslip/internal/platformhttp"
	"daisyslip.dev/daisyslip/internal/settings"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// Version is the version of the build.
const Version = "0.1.0"

// Daemon is one router.
type Daemon struct {
	settings settings.Settings
	log      *slog.Logger
	self     bus.Peer
	started  time.Time

	metrics  *metrics.Set
	events   *timeline.Ring
	copies   *timeline.Copies
	copier   *timeline.Copier
	http     *platformhttp.Client
	platform *platformevents.Platform
	members  *member.Directory
	link     *peer.Link // nil if the peer link is off
	bus      bus.Bus
	config   *conf.Keeper
	holder   *budget.LocalHolder
	delivery delivery
	caller   *caller.Server
	operator *operator.Server

	orders *orders.Sender
	// supersede starts the drain when a newer incarnation runs on this VM.
	supersede context.CancelFunc
}

// New assembles a router from its settings; nothing runs yet.
func New(s settings.Settings, log *slog.Logger) *Daemon {
	d := &Daemon{
		settings: s,
		log:      log,
		self:     bus.Peer{ID: bus.ID{VM: s.VM, Incarnation: uuid.NewString()}, Domain: s.Domain, Region: s.Region, Addr: s.Peer.Listen},
		started:  time.Now(),
		metrics:  metrics.NewSet(),
		http:     platformhttp.NewClient(s.Platform, s.VM),
	}
	stamps := hlc.New(clock.Real{})
	d.events = timeline.NewRing(s.Timeline, d.self.ID, stamps)
	d.watch()
	d.newPeers(stamps)
	d.config = conf.NewKeeper(s.Config, d.platform, clock.Real{}, d.events, d.part("config"))
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
		Log:            d.part("caller"),
		UnreadyReasons: d.unready,
		ConfirmView:    d.config.ConfirmView,
	})
	d.operator = operator.New(s.Operator, operator.Duties{
		Config:  d.config,
		Ledger:  ledger,
		Doubts:  operator.Doubts{Flush: d.holder.FlushReplicas},
		Events:  d.events,
		Copies:  d.copies,
		Metrics: d.metrics,
		Log:     d.part("operator"),
		Status:  d.status,
		Members: d.members.Members,
		Orders:  d.orders,
	})
	return d
}

// part returns the log of one part, whose lines carry its name.
func (d *Daemon) part(name string) *slog.Logger { return logs.Part(d.log, name) }

// Provision opens the listeners.
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

// Addresses say where a router listens.
type Addresses struct {
	// Caller and Operator are the base URLs of the two APIs.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	// Peer is the host:port for other routers; empty if the link is off.
	Peer string `json:"peer,omitempty"`
}

// Addresses returns where the router listens, after Provision.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.caller.URL(),
		Operator: d.operator.URL(),
		Peer:     d.bus.Self().Addr,
	}
}

// maxDuties bounds the duties that run at once.
const maxDuties = 16

// Run serves until ctx ends, then drains: readiness turns false, requests in
// flight finish, and grants go back to the platform.
func (d *Daemon) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	ctx, d.supersede = context.WithCancel(ctx)
	defer d.supersede()
	var running sync.WaitGroup
	failed := make(chan error, maxDuties)
	start := func(name string, run func() error) {
		running.Go(func() {
			if err := run(); err != nil {
				failed <- fmt.Errorf("run %s: %w", name, err)
			}
		})
	}
	start("config", func() error { return d.config.Run(duties) })
	start("peers", d.runPeers)
	start("seeds", func() error { return d.greetSeeds(duties) })
	start("members", func() error { return d.runMembers(duties) })
	start("timeline", func() error { return d.copier.Run(duties) })
	start("route", func() error { return d.delivery.router.Run(duties) })
	start("calls", func() error { return d.delivery.calls.Run(duties) })
	start("drainer", func() error { return d.runDrainer(duties) })
	start("caller", d.caller.Run)
	start("operator", d.operator.Run)
	d.log.Info("Router runs.", "vm", d.self.ID.VM, "incarnation", d.self.ID.Incarnation,
		"caller", d.Addresses().Caller, "operator", d.Addresses().Operator)
	var err error
	select {
	case <-ctx.Done():
		err = d.drain()
	case err = <-failed:
	}
	stop()
	err = errors.Join(err, d.cleanup())
	running.Wait()
	return err
}

// drain ends a router without cutting off a request.
func (d *Daemon) drain() error {
	d.log.Info("Drain starts.", "in_flight", d.caller.InFlight())
	d.events.Record(event.Event{Duty: event.DutyDrain, Kind: event.DrainStarted})
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Timeout)
	defer cancel()
	err := errors.Join(d.caller.Drain(ctx), d.delivery.drain(ctx), d.holder.Close(ctx), d.leavePeers(ctx))
	d.events.Record(event.Event{Duty: event.DutyDrain, Kind: event.DrainEnded})
	d.log.Info("Drain ended.", "err", err)
	return err
}

// cleanup closes what Provision and New opened.
func (d *Daemon) cleanup() error {
	err := errors.Join(d.caller.Cleanup(), d.operator.Cleanup(), d.cleanupPeers())
	d.delivery.close()
	d.orders.Close()
	d.platform.Close()
	return err
}

// unready returns why the router should get no requests.
func (d *Daemon) unready() []string {
	var reasons []string
	if reason := d.config.UnreadyReason(); reason != "" {
		reasons = append(reasons, reason)
	}
	if d.holder.Fenced() {
		reasons = append(reasons, "an operator has settled this process's budgets; start it anew")
	}
	return reasons
}

func (d *Daemon) status() operator.Status {
	return operator.Status{
		Self:     d.bus.Self(),
		Version:  Version,
		Started:  d.started,
		Revision: d.config.Catalog().Revision,
		InFlight: d.caller.InFlight(),
		Draining: d.caller.Draining(),
		Unready:  d.unready(),
		Peers:    append([]bus.Peer{}, d.bus.Peers()...),
	}
}
