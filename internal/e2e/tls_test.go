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

// TestRouterOverTLS runs a router whose three listeners use TLS, with certificates
// created by "daisyslip certificate new". The command line and a caller must reach
// it with the CA file, and the command line must not reach it without.
func TestRouterOverTLS(t *testing.T) {
	newCertificate := func(host string) tlsfile.Settings {
		out, err := exec.Command(binaries.cli, "certificate", "new", "--dir", t.TempDir(), "--host", host, "-o", "json").Output()
		assert.NilError(t, err)
		var files tlsfile.Settings
		assert.NilError(t, json.Unmarshal(out, &files))
		return files
	}
	callerFiles, peerFiles := newCertificate("127.0.0.1"), newCertificate("daisyslip-peer")
	path := writeSettings(t, map[string]any{
		"vm": "entry-1", "domain": "a", "region": "r",
		"platform": map[string]any{"url": startStandin(t, "platform")},
		"caller":   map[string]any{"listen": "127.0.0.1:0", "tls": callerFiles},
		"operator": map[string]any{"listen": "127.0.0.1:0", "tls": callerFiles, "token_hash": catalog.HashKey(testToken)},
		"peer":     map[string]any{"listen": "127.0.0.1:0", "secret": testSecret, "tls": peerFiles, "ca_file": peerFiles.CertFile},
	})
	r := &router{process: startProcess(t, binaries.daemon, "run", "--config", path)}
	r.decodeLine(&r.Addresses)

	out, err := exec.Command(binaries.cli, "status", "--operator", r.Operator, "--token", testToken, "--ca-file", callerFiles.CertFile).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	assert.Assert(t, strings.Contains(string(out), "entry-1"), "%s", out)
	out, err = exec.Command(binaries.cli, "status", "--operator", r.Operator, "--token", testToken).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	assert.Assert(t, strings.Contains(string(out), "no answer"), "%s", out)

	config, err := tlsfile.ClientConfig(callerFiles.CertFile, "")
	assert.NilError(t, err)
	client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	resp, err := client.Get(r.Caller + "/healthz")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
