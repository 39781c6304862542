package siteexperiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/internal/gateway"
	"daisyslip.dev/daisyslip/internal/onplatform"
	"daisyslip.dev/daisyslip/internal/retrybudget"
	"daisyslip.dev/daisyslip/platform"
	"daisyslip.dev/daisyslip/platform/standin"
)

// Names and keys of the site of an experiment.
const (
	pool         = "engines"
	host         = "coop.example"
	apiKey       = "dev-key"
	crashSegment = "crash"
	eventsPerRun = 10
	eventGap     = 20 * time.Millisecond
)

// readyTimeout bounds the start of the routers.
const readyTimeout = 20 * time.Second

// fleet is a stand-in store with endpoints, and the routers.
type fleet struct {
	scenario Scenario
	store    *standin.Store
	server   *http.Server
	addr     string // of the store
	log      *slog.Logger
	running  sync.WaitGroup // routers and restarts of endpoints
	serving  sync.WaitGroup // the store
	stop     context.CancelFunc
	ctx      context.Context

	mu        sync.Mutex // guards all below
	routers   []*router  // by VM; nil while one restarts
	endpoints []*standin.Endpoint
	crashes   []time.Time
	runErr    error
}

// router is one running router.
type router struct {
	*gateway.Gateway
	stop context.CancelFunc
	done chan struct{} // closed once it has stopped
}

// startFleet starts the store, the endpoints and the routers, and waits until the
// routers are ready. The fleet must be closed also after an error.
func startFleet(ctx context.Context, s Scenario, log *slog.Logger) (*fleet, error) {
	f := &fleet{scenario: s, store: standin.NewStore(), log: log}
	f.ctx, f.stop = context.WithCancel(context.WithoutCancel(ctx))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, fmt.Errorf("listen for store: %w", err)
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: 5 * time.Second}
	f.serving.Go(func() {
		if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.fail(fmt.Errorf("serve store: %w", err))
		}
	})
	if err := f.store.PutConfig(ctx, siteConfig()); err != nil {
		return f, fmt.Errorf("write configuration: %w", err)
	}
	for i := range s.Endpoints {
		if err := f.startEndpoint(fmt.Sprintf("i-%d", i+1), i < s.Limit.Endpoints); err != nil {
			return f, err
		}
	}
	f.addr = listener.Addr().String()
	for i := range s.Routers {
		r, err := f.startRouter(i)
		if err != nil {
			return f, err
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if err := f.waitReady(ctx, r); err != nil {
			return f, err
		}
	}
	return f, nil
}

// siteConfig returns a configuration with one route of streams that may be resumed.
func siteConfig() standin.Config {
	return standin.Config{
		Version:  1,
		Routes:   []standin.Route{{Name: "chat", Host: host, Prefix: "/stream/chat/", Kind: "streaming", TimeoutMS: 5000, LatencyObjectiveMS: 400, GapObjectiveMS: 300, Service: pool, MaxAttempts: 2, Resumable: true}},
		Services: []standin.Service{{Name: pool, MaxConns: 100, Engine: &standin.Engine{Stride: 5}}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 65536, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: "coop-7", APIKeys: []string{apiKey}}},
	}
}

// fail records the first error of what runs in the background.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runErr = errors.Join(f.runErr, err)
}

// startEndpoint starts an endpoint that starts again under a new id after each crash.
func (f *fleet) startEndpoint(id string, limited bool) error {
	e := &standin.Endpoint{ID: id, Service: pool, Events: eventsPerRun, EventGap: eventGap, CrashSegment: crashSegment}
	if limited {
		e.RateLimit = strconv.FormatFloat(f.scenario.Limit.PerSecond, 'f', -1, 64)
	}
	e.OnCrash = func() {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		f.running.Go(func() { f.restart(e, limited) })
	}
	if _, err := standin.StartEndpoint(f.store, e); err != nil {
		return fmt.Errorf("start endpoint %s: %w", id, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append(f.endpoints, e)
	return nil
}

// restart starts an endpoint again after its crash.
func (f *fleet) restart(e *standin.Endpoint, limited bool) {
	select {
	case <-f.ctx.Done():
		return
	case <-time.After(f.scenario.Crash.Restart):
	}
	if err := errors.Join(e.Remove(), f.startEndpoint(e.ID+"'", limited)); err != nil {
		f.fail(err)
	}
}

// startRouter starts the router on the i-th VM.
func (f *fleet) startRouter(i int) (*router, error) {
	vm := fmt.Sprintf("vm-%d", i+1)
	settings := gateway.PlatformSettings{
		VM: vm, Domain: "zone-a", CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", MetricsAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0",
		Grace: 5 * time.Second, Heartbeat: maxDuration, // the stand-ins write their rows once
		Retries: retrybudget.Settings{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second, FirstStart: true},
	}
	store := platform.NewStore(f.addr)
	reload := func() (gateway.PlatformSettings, error) { return settings, nil }
	g := gateway.New(gateway.DefaultSettings(), settings, onplatform.Platform(store, reload), f.log.With("vm", vm))
	if err := g.Provision(); err != nil {
		store.Close()
		return nil, fmt.Errorf("provision router %s: %w", vm, err)
	}
	ctx, stop := context.WithCancel(f.ctx)
	r := &router{Gateway: g, stop: stop, done: make(chan struct{})}
	f.running.Go(func() {
		defer close(r.done)
		defer store.Close()
		if err := g.Run(ctx); err != nil {
			f.fail(fmt.Errorf("run router %s: %w", vm, err))
		}
	})
	return r, nil
}

// waitReady waits until a router is ready and knows an endpoint.
func (f *fleet) waitReady(ctx context.Context, r *router) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !r.Ready() || r.UsableEndpoints(pool) == 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the router to be ready: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// restartRouters restarts one router after the other until ctx ends.
func (f *fleet) restartRouters(ctx context.Context) {
	for i := 0; ; i = (i + 1) % f.scenario.Routers {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.scenario.RestartEvery):
		}
		if err := f.restartRouter(ctx, i); err != nil {
			if ctx.Err() == nil {
				f.fail(err)
			}
			return
		}
	}
}

// restartRouter stops the router on the i-th VM as planned and starts another one. No
// request is sent to it meanwhile.
func (f *fleet) restartRouter(ctx context.Context, i int) error {
	f.mu.Lock()
	old := f.routers[i]
	f.routers[i] = nil
	f.mu.Unlock()
	old.stop()
	<-old.done
	r, err := f.startRouter(i)
	if err != nil {
		return err
	}
	if err := f.waitReady(ctx, r); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[i] = r
	return nil
}

// callerAddr returns the address of the i-th router, or of the next one that runs.
func (f *fleet) callerAddr(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.routers[i] == nil {
		i = (i + 1) % len(f.routers)
	}
	return f.routers[i].Addresses().Callers
}

// close stops the routers, the endpoints and the store, and returns the errors of what
// ran in the background.
func (f *fleet) close() error {
	f.stop()
	f.running.Wait()
	var err error
	if f.server != nil {
		err = f.server.Close()
	}
	f.serving.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if closeErr := e.Close(); !errors.Is(closeErr, net.ErrClosed) { // a crash has closed it
			err = errors.Join(err, closeErr)
		}
	}
	return errors.Join(err, f.runErr)
}
