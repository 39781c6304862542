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
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/engine"
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

// fleet is a platform, endpoints and routers, each a process of its own.
type fleet struct {
	t        *testing.T
	platform string
	engines  []string
	service  string
	routers  []*router
	// seeds are the peers that further routers ask while the platform is away.
	seeds []string
	// readinessLag is the routers' setting of that name.
	readinessLag string
}

// router is a running daisyslipd.
type router struct {
	*process
	daemon.Addresses
}

// startFleet starts a fleet of n routers over e engines and one service, with
// budget tokens paid.
func startFleet(t *testing.T, n, e int, tokens int64) *fleet {
	t.Helper()
	f := &fleet{t: t, readinessLag: "100ms"}
	f.start(n, e, tokens)
	return f
}

// start starts what startFleet describes.
func (f *fleet) start(n, e int, tokens int64) {
	t := f.t
	t.Helper()
	f.platform = startStandin(t, "platform")
	for range e {
		f.engines = append(f.engines, startStandin(t, "engine", "--model", testModel))
	}
	f.service = startStandin(t, "service", "--name", testService)
	for range n {
		f.addRouter()
	}
	f.configure(tokens)
	for _, r := range f.routers {
		f.waitReady(r)
	}
}

func startStandin(t *testing.T, kind string, args ...string) string {
	t.Helper()
	var info cli.StandinInfo
	start(t, binaries.cli, append([]string{"standin", kind}, args...)...).line(&info)
	return info.URL
}

// addRouter starts one more router.
func (f *fleet) addRouter() *router {
	f.t.Helper()
	i := len(f.routers)
	path := writeSettings(f.t, map[string]any{
		"vm":       fmt.Sprintf("entry-%d", i+1),
		"domain":   fmt.Sprintf("kr-central-%c", 'a'+i%3),
		"region":   "kr-central",
		"log":      map[string]any{"level": "debug"},
		"platform": map[string]any{"url": f.platform},
		"caller":   map[string]any{"listen": "127.0.0.1:0", "readiness_lag": f.readinessLag},
		"operator": map[string]any{"listen": "127.0.0.1:0", "token_hash": catalog.HashKey(testToken)},
		"peer":     map[string]any{"listen": "127.0.0.1:0", "secret": testSecret, "seeds": append([]string{}, f.seeds...)},
	})
	r := &router{process: start(f.t, binaries.daemon, "run", "--config", path)}
	r.line(&r.Addresses)
	f.routers = append(f.routers, r)
	return r
}

func (f *fleet) client(r *router) *client.Client { return client.New(r.Operator, testToken, "test") }

func (f *fleet) configure(tokens int64) {
	f.t.Helper()
	c := f.client(f.routers[0])
	ops := []conf.Op{
		entity(f.t, conf.KindWorkspace, workspaceName, catalog.Workspace{
			Keys: []catalog.AccessKey{{Hash: catalog.HashKey(testKey), Budget: catalog.DefaultBudget}},
		}),
		entity(f.t, conf.KindPool, "engines", catalog.Pool{Kind: catalog.PoolModel, Selector: "role=engine"}),
		entity(f.t, conf.KindPool, "services", catalog.Pool{Kind: catalog.PoolService, Selector: "role=service"}),
		entity(f.t, conf.KindEndpoint, "fans-1", catalog.Endpoint{
			URL: f.service, Service: testService, Labels: map[string]string{"role": "service"},
		}),
	}
	for i, url := range f.engines {
		ops = append(ops, entity(f.t, conf.KindEndpoint, fmt.Sprintf("engine-%d", i+1), catalog.Endpoint{
			URL: url, Models: []string{testModel}, Labels: map[string]string{"role": "engine"},
		}))
	}
	_, err := c.Commit(f.t.Context(), conf.Change{Ops: ops})
	assert.NilError(f.t, err)
	_, err = c.TopUp(f.t.Context(), account, "first", tokens)
	assert.NilError(f.t, err)
}

func entity(t *testing.T, kind conf.EntityKind, name string, v any) conf.Op {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return conf.Op{Kind: kind, Name: name, Put: data}
}

// waitReady waits until the router wants requests.
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

// reply is the answer to a caller.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// post sends a caller's request.
func (f *fleet) post(r *router, path, body, key string) reply {
	f.t.Helper()
	return f.postAs(r, path, body, key, testKey)
}

// postAs sends a request with the key of a workspace.
func (f *fleet) postAs(r *router, path, body, key, workspaceKey string) reply {
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
	return reply{status: resp.StatusCode, header: resp.Header, body: data}
}

// chat asks for a whole completion.
func (f *fleet) chat(r *router, prompt string, maxTokens int) (engine.Chunk, reply) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, maxTokens, prompt)
	answer := f.post(r, engine.PathChat, body, "")
	var chunk engine.Chunk
	if answer.status == http.StatusOK {
		assert.NilError(f.t, json.Unmarshal(answer.body, &chunk))
	}
	return chunk, answer
}

func (f *fleet) balance(r *router) budget.Balance {
	f.t.Helper()
	b, err := f.client(r).Balance(f.t.Context(), account)
	assert.NilError(f.t, err)
	return b
}
