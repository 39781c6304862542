package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCheckReportsEveryProblem runs "daisyslipd check" and "daisyslipd run" with an
// invalid settings file. Both must report every problem and exit with code 2.
func TestCheckReportsEveryProblem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"vm":"","caller":{"listen":"x","colour":1}}`), 0o600))
	for _, command := range []string{"check", "run"} {
		out, err := exec.Command(binaries.daemon, command, "--config", path).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, exit.ExitCode(), 2)
		for _, want := range []string{"vm:", "domain:", "caller.listen:", "caller.colour:", "platform.url:", "operator.token_hash:"} {
			assert.Assert(t, strings.Contains(string(out), want), "%s is not in %s", want, out)
		}
	}
}

// TestSecretsAreNotExposed sends requests with valid and invalid access keys to a
// router that logs at debug level. None of the keys and secrets may appear in its
// log, its events, its metrics or its configuration.
func TestSecretsAreNotExposed(t *testing.T) {
	f := startFleet(t, 1, 1, 100_000)
	r := f.routers[0]
	const wrongKey = "wrong-key-of-a-caller"
	_, response := f.chat(r, "Bin 9?", 4)
	assert.Equal(t, response.status, http.StatusOK)
	for _, path := range []string{"/v1/models", "/v1/chat/completions"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, r.Caller+path, nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+wrongKey)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
	}
	exposed := r.log.String() + f.getOperatorPath(r, "/metrics") + f.getOperatorPath(r, "/v1/events") + f.getOperatorPath(r, "/v1/config")
	assert.Assert(t, strings.Contains(exposed, "request_received"), "the events were not read")
	for _, secret := range []string{testKey, wrongKey, testToken, testSecret} {
		assert.Assert(t, !strings.Contains(exposed, secret), "%s is exposed", secret)
	}
}

// get returns the response body of a path of the router's operator API.
func (f *fleet) getOperatorPath(r *router, path string) string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, r.Operator+path, nil)
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return string(body)
}

// TestOperatorAPIRequiresToken sends requests to the operator API with no token, a
// wrong token and a workspace's access key. All must be refused as unauthorized.
func TestOperatorAPIRequiresToken(t *testing.T) {
	f := startFleet(t, 1, 1, 1000)
	for _, token := range []string{"", "wrong", testKey} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.routers[0].Operator+"/v1/config", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		var body struct {
			Error struct{ Code string }
		}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
		assert.Equal(t, body.Error.Code, "unauthorized")
	}
}
