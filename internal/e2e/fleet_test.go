package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/cli"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// Names and secrets of the test fleet.
const (
	testModel     = "grain-7b"
	testService   = "fans"
	testKey       = "caller-key"
	testToken     = "operator-token"
	testSecret    = "peer-secret-of-the-test-fleet"
	workspaceName = "coop"
)

var account = budget.Account{Workspace: workspaceName, Budget: catalog.DefaultBudget}

// fleet is a platform, endpoints and routers that run as separate processes.
type fleet struct {
	t           *testing.T
	platformURL string
	engineURLs  []string
	serviceURL  string
	routers     []*router
	// peerSeeds are the addresses of peers that routers started later contact
	// during a platform outage.
	peerSeeds []string
	// readinessLag is the value of the routers' setting caller.readiness_lag.
	readinessLag string
}

// router is a running daisyslipd process with the addresses of its listeners.
type router struct {
	*process
	daemon.Addresses
}

// startFleet starts the given numbers of routers and engines and one service, tops
// up the budget with tokens and waits until all routers are ready.
func startFleet(t *testing.T, routers, engines int, tokens int64) *fleet {
	t.Helper()
	f := &fleet{t: t, readinessLag: "100ms"}
	f.start(routers, engines, tokens)
	return f
}

// start implements startFleet for a fleet whose settings are already set.
func (f *fleet) start(routers, engines int, tokens int64) {
	t := f.t
	t.Helper()
	f.platformURL = startStandin(t, "platform")
	for range engines {
		f.engineURLs = append(f.engineURLs, startStandin(t, "engine", "--model", testModel))
	}
	f.serviceURL = startStandin(t, "service", "--name", testService)
	for range routers {
		f.addRouter()
	}
	f.configure(tokens)
	for _, r := range f.routers {
		f.waitReady(r)
	}
}

// startStandin starts the stand-in of the given kind with further arguments and
// returns its URL.
func startStandin(t *testing.T, kind string, args ...string) string {
	t.Helper()
	var info cli.StandinInfo
	startProcess(t, binaries.cli, append([]string{"standin", kind}, args...)...).decodeLine(&info)
	return info.URL
}

// addRouter starts one more router and waits until it listens, but not until it is
// ready. Its VM is entry-1, entry-2 and so on, in order of the calls.
func (f *fleet) addRouter() *router {
	f.t.Helper()
	i := len(f.routers)
	path := writeSettings(f.t, map[string]any{
		"vm":       fmt.Sprintf("entry-%d", i+1),
		"domain":   fmt.Sprintf("kr-central-%c", 'a'+i%3),
		"region":   "kr-central",
		"log":      map[string]any{"level": "debug"},
		"platform": map[string]any{"url": f.platformURL},
		"caller":   map[string]any{"listen": "127.0.0.1:0", "readiness_lag": f.readinessLag},
		"operator": map[string]any{"listen": "127.0.0.1:0", "token_hash": catalog.HashKey(testToken)},
		"peer":     map[string]any{"listen": "127.0.0.1:0", "secret": testSecret, "seeds": append([]string{}, f.peerSeeds...)},
	})
	r := &router{process: startProcess(f.t, binaries.daemon, "run", "--config", path)}
	r.decodeLine(&r.Addresses)
	f.routers = append(f.routers, r)
	return r
}

// client returns an operator client of the router.
func (f *fleet) client(r *router) *client.Client { return client.New(r.Operator, testToken, "test") }

// configure writes the first revision of the configuration, with the workspace, the
// pools and all endpoints, and tops up the budget with tokens.
func (f *fleet) configure(tokens int64) {
	f.t.Helper()
	c := f.client(f.routers[0])
	ops := []fleetconfig.Op{
		putEntityOp(f.t, fleetconfig.KindWorkspace, workspaceName, catalog.Workspace{
			Keys: []catalog.AccessKey{{Hash: catalog.HashKey(testKey), Budget: catalog.DefaultBudget}},
		}),
		putEntityOp(f.t, fleetconfig.KindPool, "engines", catalog.Pool{Kind: catalog.PoolModel, Selector: "role=engine"}),
		putEntityOp(f.t, fleetconfig.KindPool, "services", catalog.Pool{Kind: catalog.PoolService, Selector: "role=service"}),
		putEntityOp(f.t, fleetconfig.KindEndpoint, "fans-1", catalog.Endpoint{
			URL: f.serviceURL, Service: testService, Labels: map[string]string{"role": "service"},
		}),
	}
	for i, url := range f.engineURLs {
		ops = append(ops, putEntityOp(f.t, fleetconfig.KindEndpoint, fmt.Sprintf("engine-%d", i+1), catalog.Endpoint{
			URL: url, Models: []string{testModel}, Labels: map[string]string{"role": "engine"},
		}))
	}
	_, err := c.Commit(f.t.Context(), fleetconfig.Change{Ops: ops})
	assert.NilError(f.t, err)
	_, err = c.TopUp(f.t.Context(), account, "first", tokens)
	assert.NilError(f.t, err)
}

// putEntityOp returns the operation that creates or replaces an entity of the
// configuration.
func putEntityOp(t *testing.T, kind fleetconfig.EntityKind, name string, value any) fleetconfig.Op {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return fleetconfig.Op{Kind: kind, Name: name, Put: data}
}

// waitReady waits until the router's readiness probe succeeds.
func (f *fleet) waitReady(r *router) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		resp, err := http.Get(r.Caller + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// callerResponse is a complete HTTP response to a caller.
type callerResponse struct {
	status int
	header http.Header
	body   []byte
}

// post sends a request of the test workspace, with key as its idempotency key.
func (f *fleet) post(r *router, path, body, key string) callerResponse {
	f.t.Helper()
	return f.postAs(r, path, body, key, testKey)
}

// postAs sends a request with the given access key of a workspace.
func (f *fleet) postAs(r *router, path, body, key, workspaceKey string) callerResponse {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, r.Caller+path, bytes.NewReader([]byte(body)))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: data}
}

// chat requests a completion that is not streamed. The returned chunk is empty
// unless the status is 200.
func (f *fleet) chat(r *router, prompt string, maxTokens int) (engine.Chunk, callerResponse) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	response := f.post(r, engine.PathChat, body, "")
	var chunk engine.Chunk
	if response.status == http.StatusOK {
		assert.NilError(f.t, json.Unmarshal(response.body, &chunk))
	}
	return chunk, response
}

// balance returns the test budget's balance as the router reports it.
func (f *fleet) balance(r *router) budget.Balance {
	f.t.Helper()
	b, err := f.client(r).Balance(f.t.Context(), account)
	assert.NilError(f.t, err)
	return b
}
