// Package dev runs a small fleet of routers in one process on loopback, with stand-ins
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
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/settings"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Names, keys, ports and times of the development fleet. The keys are in the open, since
// the fleet listens on loopback only.
const (
	ModelName         = "grain-7b"
	ServiceName       = "fans"
	WorkspaceName     = "dev"
	WorkspaceKey      = "dev-workspace-key"
	OperatorToken     = "dev-operator-token"
	peerSecret        = "dev-peer-secret-dev-peer-secret"
	domainPrefix      = "dev-"
	region            = "dev"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// operatorPortOffset is the distance between the caller port and the operator
	// port of a router, if its ports are fixed.
	operatorPortOffset = 100
	// readinessLag is short, since no load balancer that would have to notice the
	// change of readiness is in front of the fleet.
	readinessLag = 200 * time.Millisecond
)

// Options are the size and the properties of a development fleet.
type Options struct {
	Routers int
	Engines int
	// BudgetTokens is the number of tokens that the workspace has paid for.
	BudgetTokens int64
	// Engine has the settings of all engines. Its name is replaced for each one.
	Engine standin.EngineSettings
	// FirstPort is the caller port of the first router. The other routers use the
	// following ports, and each operator port is operatorPortOffset above the
	// caller port. 0 uses free ports.
	FirstPort int
}

// DefaultOptions returns three routers, two engines and 1,000,000 tokens.
func DefaultOptions() Options {
	return Options{Routers: 3, Engines: 2, BudgetTokens: 1_000_000, Engine: standin.DefaultEngineSettings("", ModelName)}
}

// maxProcesses bounds the routers and the engines of a development fleet, which share
// one process.
const maxProcesses = 100

// maxPort is the largest port number.
const maxPort = 65535

// validate returns an error that lists every invalid option.
func (o Options) validate() error {
	var problems check.List
	if o.Routers < 1 || o.Routers > maxProcesses {
		problems.Add("routers", o.Routers, fmt.Sprintf("a number from 1 to %d", maxProcesses))
	}
	if o.Engines < 0 || o.Engines > maxProcesses {
		problems.Add("engines", o.Engines, fmt.Sprintf("a number from 0 to %d", maxProcesses))
	}
	if o.BudgetTokens < 0 {
		problems.Add("budget", o.BudgetTokens, "a number of tokens from 0")
	}
	if o.FirstPort < 0 || o.FirstPort > maxPort-operatorPortOffset-maxProcesses {
		problems.Add("port", o.FirstPort, "a port below the operator ports, or 0")
	}
	return problems.Err()
}

// WorkspaceInfo describes a workspace of the fleet.
type WorkspaceInfo struct {
	Name         string `json:"name"`
	Key          string `json:"key"`
	BudgetTokens int64  `json:"budget_tokens"`
}

// Info describes a running fleet: the URLs of its routers for callers and for operators,
// of the platform, and of the engines followed by the service. Operator is the first of
// Operators.
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

// Fleet is a running development fleet. Platform, Engines and Service may be given faults
// at any time.
type Fleet struct {
	Platform      *standin.Platform
	Engines       []*standin.Engine
	Service       *standin.Service
	info          Info
	servers       []*http.Server
	daemons       []*daemon.Daemon
	daemonResults chan error
	stopDaemons   context.CancelFunc
}

// Start starts a fleet and waits until all routers are ready. ctx bounds the start only;
// the fleet runs until Close.
func Start(ctx context.Context, o Options, log *slog.Logger) (*Fleet, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	f := &Fleet{Platform: standin.NewPlatform(), Service: standin.NewService(ServiceName, true)}
	if err := f.start(ctx, o, log); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// start starts the stand-ins and the routers, writes the configuration and waits until
// all routers are ready. After an error, Close stops what has been started.
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

// Info returns the description of the fleet.
func (f *Fleet) Info() Info { return f.info }

// serve serves a stand-in on a free port of loopback and returns its URL.
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

// startStandins starts the platform, the engines and the service.
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

// RouterSettings returns the settings of router i, from 0, of a development fleet with
// the platform at platformURL. All its listeners use free ports.
func RouterSettings(i int, platformURL string) settings.Settings {
	s := settings.Default()
	s.VM = fmt.Sprintf("entry-%d", i+1)
	s.Domain = domainPrefix + string(rune('a'+i%3))
	s.Region = region
	s.Platform.URL = platformURL
	s.Caller.Listen = "127.0.0.1:0"
	s.Caller.ReadinessLag = readinessLag
	s.Operator.Listen = "127.0.0.1:0"
	s.Operator.TokenHash = catalog.HashKey(OperatorToken)
	s.Peer.Listen = "127.0.0.1:0"
	s.Peer.Secret = peerSecret
	return s
}

// setPorts sets the ports of router i, from 0, unless the options ask for free ports.
func (o Options) setPorts(s *settings.Settings, i int) {
	if o.FirstPort == 0 {
		return
	}
	s.Caller.Listen = fmt.Sprintf("127.0.0.1:%d", o.FirstPort+i)
	s.Operator.Listen = fmt.Sprintf("127.0.0.1:%d", o.FirstPort+operatorPortOffset+i)
}

// startRouters provisions and runs the routers. Each sends the result of its run to
// daemonResults.
func (f *Fleet) startRouters(o Options, log *slog.Logger) error {
	ctx, stop := context.WithCancel(context.Background())
	f.stopDaemons = stop
	f.daemonResults = make(chan error, o.Routers)
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
		go func() { f.daemonResults <- d.Run(ctx) }()
	}
	f.info.Operator = f.info.Operators[0]
	return nil
}

// configure commits the fleet's configuration and tops up the workspace's budget.
func (f *Fleet) configure(ctx context.Context, o Options) error {
	c := client.New(f.info.Operator, OperatorToken, "dev")
	ops := []fleetconfig.Op{
		putOp(fleetconfig.KindWorkspace, WorkspaceName, catalog.Workspace{
			Labels: map[string]string{"tier": "dev"},
			Keys:   []catalog.AccessKey{{Hash: catalog.HashKey(WorkspaceKey), Budget: catalog.DefaultBudget}},
		}),
		putOp(fleetconfig.KindPool, "engines", catalog.Pool{Kind: catalog.PoolModel, Selector: "role=engine"}),
		putOp(fleetconfig.KindPool, "services", catalog.Pool{Kind: catalog.PoolService, Selector: "role=service"}),
	}
	for i := range f.Engines {
		ops = append(ops, putOp(fleetconfig.KindEndpoint, fmt.Sprintf("engine-%d", i+1), catalog.Endpoint{
			URL: f.info.Endpoints[i], Labels: map[string]string{"role": "engine"}, Models: []string{ModelName},
		}))
	}
	ops = append(ops, putOp(fleetconfig.KindEndpoint, ServiceName+"-1", catalog.Endpoint{
		URL: f.info.Endpoints[len(f.Engines)], Labels: map[string]string{"role": "service"}, Service: ServiceName, ChecksFencing: true,
	}))
	if _, err := c.Commit(ctx, fleetconfig.Change{Ops: ops, Author: "dev"}); err != nil {
		return fmt.Errorf("configure the fleet: %w", err)
	}
	account := budget.Account{Workspace: WorkspaceName, Budget: catalog.DefaultBudget}
	if _, err := c.TopUp(ctx, account, "dev-1", o.BudgetTokens); err != nil {
		return fmt.Errorf("top up the fleet's budget: %w", err)
	}
	f.info.OperatorToken = OperatorToken
	f.info.Workspaces = []WorkspaceInfo{{Name: WorkspaceName, Key: WorkspaceKey, BudgetTokens: o.BudgetTokens}}
	return nil
}

// putOp returns the operation that writes an entity to the configuration.
func putOp(kind fleetconfig.EntityKind, name string, entity any) fleetconfig.Op {
	data, err := json.Marshal(entity)
	if err != nil {
		panic(err) // entities can always be encoded
	}
	return fleetconfig.Op{Kind: kind, Name: name, Put: data}
}

// waitReady waits until every router is ready, for readyTimeout at most.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range f.info.Routers {
		for !isReady(ctx, url) {
			if err := clock.Sleep(ctx, clock.Real{}, readyPollInterval); err != nil {
				return fmt.Errorf("wait for the router at %s to be ready: %w", url, err)
			}
		}
	}
	return nil
}

// isReady reports whether the router at url responds that it is ready.
func isReady(ctx context.Context, url string) bool {
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

// Close drains the routers, waits for them, and stops the stand-ins. It also stops a fleet
// that has been started in part.
func (f *Fleet) Close() error {
	var errs []error
	if f.stopDaemons != nil {
		f.stopDaemons()
	}
	for range f.daemons {
		errs = append(errs, <-f.daemonResults)
	}
	for _, server := range f.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}
