package operator_test

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/dev"
	"daisyslip.dev/daisyslip/internal/operator"
)

// invalidRequest is a request that must be refused with a status and have no
// effect.
type invalidRequest struct {
	name    string
	method  string
	path    string
	ifMatch string // value of the If-Match header; empty sends none
	body    string
	status  int
}

const topUpPath = "/v1/workspaces/dev/budgets/default/topups"

var invalidRequests = []invalidRequest{
	{"top-up no JSON", "POST", topUpPath, "", `{"id":`, 400},
	{"top-up unknown field", "POST", topUpPath, "", `{"id":"x","tokens":1,"colour":"red"}`, 400},
	{"top-up of wrong type", "POST", topUpPath, "", `{"id":"x","tokens":"many"}`, 400},
	{"top-up negative", "POST", topUpPath, "", `{"id":"x","tokens":-1}`, 400},
	{"top-up beyond 64 bits", "POST", topUpPath, "", `{"id":"x","tokens":1e40}`, 400},
	{"top-up without id", "POST", topUpPath, "", `{"tokens":5}`, 400},
	{"top-up of nobody", "POST", "/v1/workspaces/nobody/budgets/default/topups", "", `{"id":"x","tokens":5}`, 404},
	{"budget that is not there", "GET", "/v1/workspaces/dev/budgets/none", "", "", 404},
	{"change no JSON", "POST", "/v1/config/changes", "", `[`, 400},
	{"change unknown field", "POST", "/v1/config/changes", "", `{"base":1,"opps":[]}`, 400},
	{"change of unknown kind", "POST", "/v1/config/changes", "", `{"base":1,"ops":[{"kind":"moon","name":"x","put":{}}]}`, 400},
	{"change against a revision to come", "POST", "/v1/config/changes", "", `{"base":99,"ops":[{"kind":"pool","name":"engines"}]}`, 400},
	{"entity without If-Match", "PUT", "/v1/pools/p", "", `{"kind":"model","selector":"a=b"}`, 400},
	{"entity with wrong If-Match", "PUT", "/v1/pools/p", "soon", `{"kind":"model","selector":"a=b"}`, 400},
	{"entity against an old revision", "PUT", "/v1/pools/p", "0", `{"kind":"model","selector":"a=b"}`, 409},
	{"entity with unknown field", "PUT", "/v1/pools/p", "1", `{"kind":"model","selector":"a=b","colour":1}`, 400},
	{"entity with wrong selector", "PUT", "/v1/pools/p", "1", `{"kind":"model","selector":"=,="}`, 400},
	{"endpoint with wrong URL", "PUT", "/v1/endpoints/e", "1", `{"url":"ftp://x","models":["m"]}`, 400},
	{"endpoint that serves nothing", "PUT", "/v1/endpoints/e", "1", `{"url":"http://127.0.0.1:1"}`, 400},
	{"workspace with a raw key", "PUT", "/v1/workspaces/w", "1", `{"keys":[{"hash":"secret","budget":"default"}]}`, 400},
	{"another workspace's key", "PUT", "/v1/workspaces/w", "1", `{"keys":[{"hash":"KEY","budget":"default"}]}`, 400},
	{"body too large", "POST", "/v1/config/changes", "", `{"note":"` + strings.Repeat("x", 33<<20) + `"}`, 413},
	{"revision of wrong number", "GET", "/v1/config/revisions/soon", "", "", 400},
	{"revision that is not there", "GET", "/v1/config/revisions/99", "", "", 404},
	{"diff of wrong number", "GET", "/v1/config/diff?from=soon", "", "", 400},
	{"rollback no JSON", "POST", "/v1/config/rollback", "", `{`, 400},
	{"order of unknown kind", "POST", "/v1/endpoints/engine-1/orders", "", `{"kind":"fly"}`, 400},
	{"settlement of nothing", "POST", "/v1/doubts/settle", "", `{}`, 400},
	{"wrong method", "DELETE", "/v1/status", "", "", 405},
	{"unknown path", "GET", "/v1/moons", "", "", 404},
}

// TestBadInputIsRefusedWithoutEffect sends every invalid request. Each must get
// its status and an error body with a code, a message and a step, and the
// configuration must stay as it was.
func TestBadInputIsRefusedWithoutEffect(t *testing.T) {
	o := dev.DefaultOptions()
	o.Routers = 1
	fleet, err := dev.Start(t.Context(), o, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, fleet.Close()) }()
	c := client.New(fleet.Info().Operator, dev.OperatorToken, "test")
	before, err := c.Config(t.Context())
	assert.NilError(t, err)
	for _, in := range invalidRequests {
		in.body = strings.ReplaceAll(in.body, "KEY", before.Workspaces[0].Keys[0].Hash)
		t.Run(in.name, func(t *testing.T) { checkRefused(t, fleet.Info().Operator, in) })
	}
	after, err := c.Config(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}

// checkRefused sends one invalid request to base and checks the response.
func checkRefused(t *testing.T, base string, in invalidRequest) {
	req, err := http.NewRequestWithContext(t.Context(), in.method, base+in.path, strings.NewReader(in.body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+dev.OperatorToken)
	if in.ifMatch != "" {
		req.Header.Set("If-Match", in.ifMatch)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, in.status, "%s", data)
	var body operator.ErrorBody
	assert.NilError(t, json.Unmarshal(data, &body), "%s", data)
	assert.Assert(t, body.Error.Code != "" && body.Error.Message != "" && body.Error.Step != "", "%s", data)
}
