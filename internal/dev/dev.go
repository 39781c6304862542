// Package dev runs a small fleet in one process on loopback, with stand-ins
// for the platform, the engines and a plain service.
package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/settings"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Names and secrets of the development fleet. They are no secrets: the fleet
// listens on loopback only.
const (
	ModelName     = "grain-7b"
	ServiceName   = "fans"
	WorkspaceName = "dev"
	WorkspaceKey  = "dev-workspace-key"
	OperatorToken = "dev-operator-token"
	peerSecret    = "dev-peer-secret-dev-peer-secret"
	domainPrefix  = "dev-"
	region        = "dev"
	readyTimeout  = 20 * time.Second
	readyPoll     = 20 * time.Millisecond
	operatorPorts = 100
	// readinessLag is short, since no balancer stands before the fleet.
	readinessLag = 200 * time.Millisecond
)

// Options say what to run.
type Options struct {
	Routers int
	Engines int
	// Budget is the tokens that the workspace has paid for.
	BudgetTokens int64
	// Engine describes the engines; its name is set for each.
	Engine standin.EngineSettings
	// Port is the caller port of the first router; the others follow, and
	// the operator ports stand operatorPorts above them. 0 takes free ports.
	FirstPort int
}

// DefaultOptions returns three routers, two engines and 1,000,000 tokens.
func DefaultOptions() Options {
	return Options{Routers: 3, Engines: 2, BudgetTokens: 1_000_000, Engine: standin.DefaultEngineSettings("", ModelName)}
}

// WorkspaceInfo describes the fleet's workspace.
type WorkspaceInfo struct {
	Name         string `json:"name"`
	Key          string `json:"key"`
	BudgetTokens int64  `json:"budget_tokens"`
}

// Info describes a running fleet.
type Info struct {
	Routers       []string        `json:"routers"`
	Operator      string          `json:"operator"`
	Operators     []string        `json:"operators"`
	OperatorToken string          `json:"operator_token"`
	Workspaces    []WorkspaceInfo `json:"workspaces"`
	Service       string          `json:"service"`
	Platform      string          `json:"platform"`
	Endpoints     []string        `json:"endpoints"`
}

// Fleet is a development fleet.
type Fleet struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Service  *standin.Service
	info     Info
	servers  []*http.Server
	daemons  []*daemon.Daemon
	done     chan error
	stop     context.CancelFunc
}

// Start starts a fleet and waits until it is ready.
func Start(ctx context.Context, o Options, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{Platform: standin.NewPlatform(), Service: standin.NewService(ServiceName, true)}
	if err := f.start(ctx, o, log); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, o Options, log *slog.Logger) error {
	if err := f.startStandins(o); err != nil {
		return err
	}
	if err := f.startRouters(o, log); err != nil {
		return err
	}
	if err := f.configure(ctx, o); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// Info describes the fleet.
func (f *Fleet) Info() Info { return f.info }

// serve serves a stand-in on a free port and returns its URL.
func (f *Fleet) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, server)
	go server.Serve(listener) // returns when Close closes the server
	return "http://" + listener.Addr().String(), nil
}

func (f *Fleet) startStandins(o Options) (err error) {
	if f.info.Platform, err = f.serve(f.Platform); err != nil {
		return err
	}
	for i := range o.Engines {
		s := o.Engine
		s.Name = fmt.Sprintf("engine-%d", i+1)
		e := standin.NewEngine(s)
		url, err := f.serve(e)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		f.info.Endpoints = append(f.info.Endpoints, url)
	}
	url, err := f.serve(f.Service)
	if err != nil {
		return err
	}
	f.info.Endpoints = append(f.info.Endpoints, url)
	f.info.Service = ServiceName
	return nil
}

// RouterSettings returns the settings of the i-th router of a development
// fleet over the platform at url; all its ports are free ones.
func RouterSettings(i int, url string) settings.Settings {
	s := settings.Default()
	s.VM = fmt.Sprintf("entry-%d", i+1)
	s.Domain = domainPrefix + string(rune('a'+i%3))
	s.Region = region
	s.Platform.URL = url
	s.Caller.Listen = "127.0.0.1:0"
	s.Caller.ReadinessLag = readinessLag
	s.Operator.Listen = "127.0.0.1:0"
	s.Operator.TokenHash = catalog.HashKey(OperatorToken)
	s.Peer.Listen = "127.0.0.1:0"
	s.Peer.Secret = peerSecret
	return s
}

// setPorts gives the i-th router its fixed ports, if there are any.
func (o Options) setPorts(s *settings.Settings, i int) {
	if o.FirstPort == 0 {
		return
	}
	s.Caller.Listen = fmt.Sprintf("127.0.0.1:%d", o.FirstPort+i)
	s.Operator.Listen = fmt.Sprintf("127.0.0.1:%d", o.FirstPort+operatorPorts+i)
}

func (f *Fleet) startRouters(o Options, log *slog.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.done = make(chan error, o.Routers)
	for i := range o.Routers {
		s := RouterSettings(i, f.info.Platform)
		o.setPorts(&s, i)
		d := daemon.New(s, log.With("vm", s.VM))
		if err := d.Provision(); err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.info.Routers = append(f.info.Routers, d.Addresses().Caller)
		f.info.Operators = append(f.info.Operators, d.Addresses().Operator)
		go func() { f.done <- d.Run(ctx) }()
	}
	f.info.Operator = f.info.Operators[0]
	return nil
}

// configure writes the fleet's configuration and pays its budget.
func (f *Fleet) configure(ctx context.Context, o Options) error {
	c := client.New(f.info.Operator, OperatorToken, "dev")
	ops := []conf.Op{
		op(conf.KindWorkspace, WorkspaceName, catalog.Workspace{
			Labels: map[string]string{"tier": "dev"},
			Keys:   []catalog.AccessKey{{Hash: catalog.HashKey(WorkspaceKey), Budget: catalog.DefaultBudget}},
		}),
		op(conf.KindPool, "engines", catalog.Pool{Kind: catalog.PoolModel, Selector: "role=engine"}),
		op(conf.KindPool, "services", catalog.Pool{Kind: catalog.PoolService, Selector: "role=service"}),
	}
	for i := range f.Engines {
		ops = append(ops, op(conf.KindEndpoint, fmt.Sprintf("engine-%d", i+1), catalog.Endpoint{
			URL: f.info.Endpoints[i], Labels: map[string]string{"role": "engine"}, Models: []string{ModelName},
		}))
	}
	ops = append(ops, op(conf.KindEndpoint, ServiceName+"-1", catalog.Endpoint{
		URL: f.info.Endpoints[len(f.Engines)], Labels: map[string]string{"role": "service"}, Service: ServiceName, ChecksFencing: true,
	}))
	if _, err := c.Commit(ctx, conf.Change{Ops: ops, Author: "dev"}); err != nil {
		return fmt.Errorf("configure the fleet: %w", err)
	}
	account := budget.Account{Workspace: WorkspaceName, Budget: catalog.DefaultBudget}
	if _, err := c.TopUp(ctx, account, "dev-1", o.BudgetTokens); err != nil {
		return fmt.Errorf("pay the budget: %w", err)
	}
	f.info.OperatorToken = OperatorToken
	f.info.Workspaces = []WorkspaceInfo{{Name: WorkspaceName, Key: WorkspaceKey, BudgetTokens: o.BudgetTokens}}
	return nil
}

func op(kind conf.EntityKind, name string, entity any) conf.Op {
	data, err := json.Marshal(entity)
	if err != nil {
		panic(err) // entities always encode
	}
	return conf.Op{Kind: kind, Name: name, Put: data}
}

// waitReady waits until every router is ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range f.info.Routers {
		for !ready(ctx, url) {
			if err := clock.Sleep(ctx, clock.Real{}, readyPoll); err != nil {
				return fmt.Errorf("wait for %s: %w", url, err)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close drains the routers and stops the stand-ins.
func (f *Fleet) Close() error {
	var errs []error
	if f.stop != nil {
		f.stop()
	}
	for range f.daemons {
		errs = append(errs, <-f.done)
	}
	for _, server := range f.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}
