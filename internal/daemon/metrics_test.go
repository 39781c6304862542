package daemon_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/dev"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// targetWorkspaces is the number of workspaces that a fleet has to support. Tests in
// short mode, as with the race detector, use shortWorkspaces. workspacesPerChange is
// the number of workspaces that one configuration change adds.
const (
	targetWorkspaces    = 16_000
	shortWorkspaces     = 1_000
	workspacesPerChange = 1_000
)

// workspaceOps returns the operations that create the workspaces with the numbers from
// from up to but not including to. The API key of each is its name.
func workspaceOps(t *testing.T, from, to int) []fleetconfig.Op {
	t.Helper()
	var ops []fleetconfig.Op
	for i := from; i < to; i++ {
		name := fmt.Sprintf("tenant-%05d", i)
		put, err := json.Marshal(catalog.Workspace{Keys: []catalog.AccessKey{{Hash: catalog.HashKey(name), Budget: catalog.DefaultBudget}}})
		assert.NilError(t, err)
		ops = append(ops, fleetconfig.Op{Kind: fleetconfig.KindWorkspace, Name: name, Put: put})
	}
	return ops
}

// getBody returns the body of the response to a GET request, whatever its status.
func getBody(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// sendChat sends a chat request with an API key to a router and returns the status.
func sendChat(t *testing.T, router, key string) int {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"Bin 4?"}]}`, dev.ModelName)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, router+engine.PathChat, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestMetricsStayBounded guards against metrics that grow with the number of
// workspaces: no series may name a workspace, and once the first half of the workspaces
// has been served, serving the second half must not add series.
func TestMetricsStayBounded(t *testing.T) {
	const payingWorkspaces = 60
	fleet, err := dev.Start(t.Context(), dev.DefaultOptions(), slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer fleet.Close()
	info := fleet.Info()
	c := client.New(info.Operator, dev.OperatorToken, "test")
	workspaces := targetWorkspaces
	if testing.Short() {
		workspaces = shortWorkspaces
	}
	document, err := c.Config(t.Context())
	assert.NilError(t, err)
	base := document.Revision
	for i := 0; i < workspaces; i += workspacesPerChange {
		result, err := c.Commit(t.Context(), fleetconfig.Change{Base: base, Ops: workspaceOps(t, i, i+workspacesPerChange)})
		assert.NilError(t, err)
		base = result.Revision
	}
	serve := func(from, to int) int {
		for i := from; i < to; i++ {
			name := fmt.Sprintf("tenant-%05d", i)
			_, err := c.TopUp(t.Context(), budget.Account{Workspace: name, Budget: catalog.DefaultBudget}, "first", 10_000)
			assert.NilError(t, err)
			assert.Equal(t, sendChat(t, info.Routers[0], name), http.StatusOK)
			assert.Equal(t, sendChat(t, info.Routers[0], "unknown-"+name), http.StatusUnauthorized)
		}
		text := getBody(t, info.Operator+"/metrics")
		assert.Assert(t, !strings.Contains(text, "tenant-"), "a workspace is named")
		return strings.Count(text, "\n") - strings.Count(text, "_bucket")
	}
	first := serve(0, payingWorkspaces/2)
	assert.Equal(t, serve(payingWorkspaces/2, payingWorkspaces), first)
}

// TestHealthAndReadinessProbes checks that the probes on the operator listener report a
// serving router as healthy and ready.
func TestHealthAndReadinessProbes(t *testing.T) {
	fleet, err := dev.Start(t.Context(), dev.DefaultOptions(), slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer fleet.Close()
	assert.Equal(t, getBody(t, fleet.Info().Operator+"/healthz"), "ok\n")
	assert.Equal(t, getBody(t, fleet.Info().Operator+"/readyz"), "{\"ready\":true}\n")
}

// TestOperationsPageListsMetrics guards against undocumented metrics: every metric of a
// router that has served a request must be on the page for operators.
func TestOperationsPageListsMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	fleet, err := dev.Start(t.Context(), dev.DefaultOptions(), slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer fleet.Close()
	assert.Equal(t, sendChat(t, fleet.Info().Routers[0], dev.WorkspaceKey), http.StatusOK)
	name := regexp.MustCompile(`(?m)^daisyslip_[a-z_]+`)
	for _, metric := range name.FindAllString(getBody(t, fleet.Info().Operator+"/metrics"), -1) {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			metric = strings.TrimSuffix(metric, suffix)
		}
		assert.Assert(t, strings.Contains(string(page), "`"+metric), "docs/OPERATIONS.md does not list %s", metric)
	}
}
