package e2e

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// TestRouterOverTLS runs a router whose three listeners speak TLS, with
// certificates that the command line made, and drives it with the command
// line and a caller.
func TestRouterOverTLS(t *testing.T) {
	certificate := func(host string) tlsfile.Settings {
		out, err := exec.Command(binaries.cli, "certificate", "new", "--dir", t.TempDir(), "--host", host, "-o", "json").Output()
		assert.NilError(t, err)
		var files tlsfile.Settings
		assert.NilError(t, json.Unmarshal(out, &files))
		return files
	}
	callers, peers := certificate("127.0.0.1"), certificate("daisyslip-peer")
	path := writeSettings(t, map[string]any{
		"vm": "entry-1", "domain": "a", "region": "r",
		"platform": map[string]any{"url": startStandin(t, "platform")},
		"caller":   map[string]any{"listen": "127.0.0.1:0", "tls": callers},
		"operator": map[string]any{"listen": "127.0.0.1:0", "tls": callers, "token_hash": catalog.HashKey(testToken)},
		"peer":     map[string]any{"listen": "127.0.0.1:0", "secret": testSecret, "tls": peers, "ca_file": peers.CertFile},
	})
	r := &router{process: start(t, binaries.daemon, "run", "--config", path)}
	r.line(&r.Addresses)

	out, err := exec.Command(binaries.cli, "status", "--operator", r.Operator, "--token", testToken, "--ca-file", callers.CertFile).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	assert.Assert(t, strings.Contains(string(out), "entry-1"), "%s", out)
	out, err = exec.Command(binaries.cli, "status", "--operator", r.Operator, "--token", testToken).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	assert.Assert(t, strings.Contains(string(out), "no answer"), "%s", out)

	config, err := tlsfile.ClientConfig(callers.CertFile, "")
	assert.NilError(t, err)
	client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	resp, err := client.Get(r.Caller + "/healthz")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
