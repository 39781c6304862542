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

// TestCheckListsProblems runs daisyslipd check on a wrong file: every problem
// is listed, the exit code is 2.
func TestCheckListsProblems(t *testing.T) {
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

// TestSecretsAreNotShown sends requests with right and wrong keys to a router
// that logs everything, and looks for the keys in its log, its time line and
// its metrics.
func TestSecretsAreNotShown(t *testing.T) {
	f := startFleet(t, 1, 1, 100_000)
	r := f.routers[0]
	const wrongKey = "wrong-key-of-a-caller"
	_, answer := f.chat(r, "Bin 9?", 4)
	assert.Equal(t, answer.status, http.StatusOK)
	for _, path := range []string{"/v1/models", "/v1/chat/completions"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, r.Caller+path, nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+wrongKey)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
	}
	shown := r.log.String() + f.get(r, "/metrics") + f.get(r, "/v1/events") + f.get(r, "/v1/config")
	assert.Assert(t, strings.Contains(shown, "request_received"), "the time line was not read")
	for _, secret := range []string{testKey, wrongKey, testToken, testSecret} {
		assert.Assert(t, !strings.Contains(shown, secret), "%s is shown", secret)
	}
}

// get reads a path of the operator API.
func (f *fleet) get(r *router, path string) string {
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

// TestOperatorNeedsItsCredential asks the operator API with no token, a wrong
// one and a workspace's key.
func TestOperatorNeedsItsCredential(t *testing.T) {
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
