package caller_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/caller"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/dev"
)

// badInput is one request that must be refused without effect. An empty method
// means POST, and an empty code means bad_request.
type badInput struct {
	name   string
	method string
	path   string
	header map[string]string
	body   string
	status int
	code   string
}

const chatPath = "/v1/chat/completions"

// chatBody returns a valid chat request with the given fields appended; fields
// starts with a comma unless it is empty.
func chatBody(fields string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hi"}]%s}`, dev.ModelName, fields)
}

var badInputs = []badInput{
	{name: "no JSON", path: chatPath, body: `{"model":`, status: 400},
	{name: "JSON list", path: chatPath, body: `[]`, status: 400},
	{name: "empty body", path: chatPath, status: 400},
	{name: "10 MB body", path: chatPath, body: strings.Repeat("x", 10<<20), status: 413, code: "too_large"},
	{name: "no messages", path: chatPath, body: fmt.Sprintf(`{"model":%q}`, dev.ModelName), status: 400},
	{name: "messages of wrong type", path: chatPath, body: fmt.Sprintf(`{"model":%q,"messages":"hi"}`, dev.ModelName), status: 400},
	{name: "content of wrong type", path: chatPath, body: fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":7}]}`, dev.ModelName), status: 400},
	{name: "image part", path: chatPath, body: fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, dev.ModelName), status: 400},
	{name: "no role", path: chatPath, body: fmt.Sprintf(`{"model":%q,"messages":[{"content":"hi"}]}`, dev.ModelName), status: 400},
	{name: "no model", path: chatPath, body: `{"messages":[{"role":"user","content":"hi"}]}`, status: 400},
	{name: "model of wrong type", path: chatPath, body: `{"model":7,"messages":[{"role":"user","content":"hi"}]}`, status: 400},
	{name: "unknown model", path: chatPath, body: `{"model":"none","messages":[{"role":"user","content":"hi"}]}`, status: 404, code: "not_found"},
	{name: "maximum zero", path: chatPath, body: chatBody(`,"max_tokens":0`), status: 400},
	{name: "maximum negative", path: chatPath, body: chatBody(`,"max_tokens":-5`), status: 400},
	{name: "maximum huge", path: chatPath, body: chatBody(`,"max_tokens":99999999999`), status: 400},
	{name: "maximum beyond 64 bits", path: chatPath, body: chatBody(`,"max_tokens":1e30`), status: 400},
	{name: "maximum a string", path: chatPath, body: chatBody(`,"max_tokens":"5"`), status: 400},
	{name: "two maxima", path: chatPath, body: chatBody(`,"max_tokens":5,"max_completion_tokens":6`), status: 400},
	{name: "maximum in other case", path: chatPath, body: chatBody(`,"Max_Tokens":5`), status: 400},
	{name: "several responses to choose from", path: chatPath, body: chatBody(`,"best_of":3`), status: 400},
	{name: "tools", path: chatPath, body: chatBody(`,"tools":[{"type":"function"}]`), status: 400},
	{name: "log probabilities", path: chatPath, body: chatBody(`,"logprobs":true`), status: 400},
	{name: "chat template of the caller", path: chatPath, body: chatBody(`,"chat_template":"x"`), status: 400},
	{name: "two choices", path: chatPath, body: chatBody(`,"n":2`), status: 400},
	{name: "no key", path: chatPath, header: map[string]string{"Authorization": ""}, body: chatBody(""), status: 401, code: "unauthorized"},
	{name: "basic credentials", path: chatPath, header: map[string]string{"Authorization": "Basic eDp5"}, body: chatBody(""), status: 401, code: "unauthorized"},
	{name: "deadline no number", path: chatPath, header: map[string]string{"X-Request-Deadline-Ms": "soon"}, body: chatBody(""), status: 400},
	{name: "deadline negative", path: chatPath, header: map[string]string{"X-Request-Deadline-Ms": "-1"}, body: chatBody(""), status: 400},
	{name: "deadline beyond the longest", path: chatPath, header: map[string]string{"X-Request-Deadline-Ms": "999999999999"}, body: chatBody(""), status: 400},
	{name: "unknown priority", path: chatPath, header: map[string]string{"X-Request-Priority": "first"}, body: chatBody(""), status: 400},
	{name: "long idempotency key", path: chatPath, header: map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, body: chatBody(""), status: 400},
	{name: "unknown path", path: "/v1/nothing", status: 404, code: "not_found"},
	{name: "wrong method", method: http.MethodGet, path: chatPath, status: 405, code: "method_not_allowed"},
	{name: "unknown service", path: "/v1/services/none/x", status: 404, code: "not_found"},
	{name: "command without key", path: "/v1/services/" + dev.ServiceName + "/x", body: `{}`, status: 400, code: "idempotency_key_required"},
}

// TestBadInputIsRefusedWithoutEffect guards against invalid requests that reach an
// endpoint or leave tokens reserved. Every bad request must get the documented
// error body.
func TestBadInputIsRefusedWithoutEffect(t *testing.T) {
	fleet := startFleet(t, 100_000)
	for _, input := range badInputs {
		t.Run(input.name, func(t *testing.T) { checkRefusal(t, fleet, input) })
	}
	for _, e := range fleet.Engines {
		assert.Equal(t, len(e.Records()), 0)
	}
	assert.Equal(t, len(fleet.Service.Executions()), 0)
	operator := client.New(fleet.Info().Operator, dev.OperatorToken, "test")
	balance, err := operator.Balance(t.Context(), budget.Account{Workspace: dev.WorkspaceName, Budget: catalog.DefaultBudget})
	assert.NilError(t, err)
	assert.Equal(t, balance.Unspent, balance.Paid)
}

// checkRefusal sends a bad request and checks the status, the headers and the body
// of the response.
func checkRefusal(t *testing.T, fleet *dev.Fleet, input badInput) {
	method := input.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(t.Context(), method, fleet.Info().Routers[0]+input.path, bytes.NewReader([]byte(input.body)))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+dev.WorkspaceKey)
	for name, value := range input.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var body caller.ErrorBody
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
	assert.Equal(t, resp.StatusCode, input.status, "%+v", body)
	assert.Equal(t, string(body.Error.Ran), "no")
	assert.Equal(t, resp.Header.Get("Daisyslip-Ran"), "no")
	assert.Assert(t, body.Error.Step != "" && body.Error.Message != "")
	want := input.code
	if want == "" {
		want = "bad_request"
	}
	assert.Equal(t, string(body.Error.Code), want)
}

// sendRawRequest opens a connection to the router, has write send the request's
// bytes and returns the status of the response.
func sendRawRequest(t *testing.T, fleet *dev.Fleet, write func(io.Writer)) int {
	t.Helper()
	u, err := url.Parse(fleet.Info().Routers[0])
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", u.Host)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	write(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestOversizedHeadersAreRefused guards against requests whose headers exceed
// MaxHeaderBytes.
func TestOversizedHeadersAreRefused(t *testing.T) {
	fleet := startFleet(t, 1000)
	status := sendRawRequest(t, fleet, func(w io.Writer) {
		fmt.Fprintf(w, "GET /v1/models HTTP/1.1\r\nHost: x\r\n")
		for i := range 2000 {
			if _, err := fmt.Fprintf(w, "X-Header-%d: %s\r\n", i, strings.Repeat("v", 40)); err != nil {
				return // the router closed the connection after too many headers
			}
		}
		fmt.Fprintf(w, "\r\n")
	})
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
}
