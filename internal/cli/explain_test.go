package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const routerALog = `{"time":"2026-12-04T10:00:00.100Z","level":"INFO","msg":"store lost","table":"op","version":12}
{"time":"2026-12-04T10:00:01.200Z","level":"INFO","msg":"ingress: request placed","request":"r-1","endpoint":"i-1","load":2}
{"time":"2026-12-04T10:00:01.300Z","level":"INFO","msg":"ingress: request placed","request":"r-2","endpoint":"i-2","load":2}
not JSON at all
{"time":"2026-12-04T10:00:02.100Z","level":"WARN","msg":"placement: endpoint ejected","endpoint":"i-1","reason":"silent"}
{"time":"2026-12-04T10:00:02.100Z","level":"WARN","msg":"placement: endpoint ejected","endpoint":"i-2","reason":"silent"}
{"time":"2026-12-04T10:00:03.000Z","level":"INFO","msg":"ingress: request ended","request":"r-1","outcome":"broken off","endpoint":"i-1"}
`

const routerBLog = `   3.5 edge-b-1 {"time":"2026-12-04T10:00:02.500Z","level":"INFO","msg":"ingress: request placed","request":"r-1","endpoint":"i-3"}
`

// TestExplainSelectsOneRequestAcrossRouters checks that the lines of one request
// at two routers are printed in order with the ejection of its endpoint and the
// loss of the store, and that lines about other requests and their endpoints are
// left out.
func TestExplainSelectsOneRequestAcrossRouters(t *testing.T) {
	dir := t.TempDir()
	logA, logB := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	assert.NilError(t, os.WriteFile(logA, []byte(routerALog), 0o600))
	assert.NilError(t, os.WriteFile(logB, []byte(routerBLog), 0o600))
	cmd := newExplain()
	var out, errs bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&errs)
	cmd.SetArgs([]string{"r-1", logA, logB})
	assert.NilError(t, cmd.Execute())
	var times []string
	for line := range strings.Lines(out.String()) {
		times = append(times, strings.Fields(line)[0])
	}
	assert.DeepEqual(t, times, []string{"10:00:00.100", "10:00:01.200", "10:00:02.100", "10:00:02.500", "10:00:03.000"})
	assert.Assert(t, !strings.Contains(out.String(), "i-2"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "edge-b-1"))
	assert.Assert(t, strings.Contains(errs.String(), "1 lines"))
}

// TestExplainReadsStandardInput checks that explain without files reads standard
// input, and that an id without lines is an error.
func TestExplainReadsStandardInput(t *testing.T) {
	cmd := newExplain()
	var out bytes.Buffer
	cmd.SetIn(strings.NewReader(routerALog))
	cmd.SetOut(&out)
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetArgs([]string{"r-9"})
	assert.ErrorContains(t, cmd.Execute(), "no line about request")
	cmd.SetIn(strings.NewReader(routerALog))
	cmd.SetArgs([]string{"r-2"})
	assert.NilError(t, cmd.Execute())
	assert.Assert(t, strings.Contains(out.String(), "i-2"))
}

const quarantineLog = `{"time":"2026-12-04T10:00:01.000Z","level":"INFO","msg":"quarantine: endpoint ended at the start of a response","request":"r-1","endpoint":"i-1","pool":"app","started":true,"segments":"c0,bad"}
{"time":"2026-12-04T10:00:02.000Z","level":"INFO","msg":"quarantine: endpoint ended at the start of a response","request":"r-2","endpoint":"i-2","pool":"app","started":true,"segments":"c0,other"}
{"time":"2026-12-04T10:00:03.000Z","level":"WARN","msg":"quarantine: segments quarantined","segments":"app/bad","cause":"report","evidence":"app/bad: 3 endpoints ended"}
{"time":"2026-12-04T10:00:09.000Z","level":"INFO","msg":"ingress: request ended","request":"r-9","outcome":"quarantined","status":503,"reason":"app/bad: 3 endpoints ended","segments":"c1,bad"}
`

// TestExplainTellsWhyPromptIsRefused guards against an explanation of a refusal without
// the evidence that other routers reported.
func TestExplainTellsWhyPromptIsRefused(t *testing.T) {
	cmd := newExplain()
	var out bytes.Buffer
	cmd.SetIn(strings.NewReader(quarantineLog))
	cmd.SetOut(&out)
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetArgs([]string{"r-9"})
	assert.NilError(t, cmd.Execute())
	assert.Equal(t, strings.Count(out.String(), "\n"), 3, out.String())
	assert.Assert(t, strings.Contains(out.String(), "request=r-1"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "other"), out.String())
}

const fingerprintLog = `{"time":"2026-12-04T10:00:01.000Z","level":"INFO","msg":"quarantine: endpoint ended at the start of a response","request":"r-1","endpoint":"i-1","pool":"app","started":false,"segments":"","fingerprint":"f00d"}
{"time":"2026-12-04T10:00:01.100Z","level":"INFO","msg":"quarantine: endpoint ended at the start of a response","request":"r-2","endpoint":"i-1","pool":"app","started":false,"segments":"","fingerprint":"beef"}
{"time":"2026-12-04T10:00:02.000Z","level":"INFO","msg":"quarantine: endpoint ended at the start of a response","request":"r-3","endpoint":"i-2","pool":"app","started":false,"segments":"c0","fingerprint":""}
{"time":"2026-12-04T10:00:03.000Z","level":"WARN","msg":"quarantine: request quarantined","fingerprint":"f00d","cause":"report","evidence":"request:f00d: 3 endpoints ended","hold_ms":120000}
{"time":"2026-12-04T10:02:03.000Z","level":"INFO","msg":"quarantine: request let through quarantine","subject":"request:f00d","evidence":"request:f00d: 3 endpoints ended"}
{"time":"2026-12-04T10:02:04.000Z","level":"INFO","msg":"quarantine: request let through quarantine","subject":"app/c0","evidence":"app/c0: 3 endpoints ended"}
{"time":"2026-12-04T10:02:09.000Z","level":"INFO","msg":"ingress: request ended","request":"r-9","outcome":"quarantined","status":503,"reason":"request:f00d: 3 endpoints ended","segments":"","fingerprint":"f00d"}
{"time":"2026-12-04T10:02:10.000Z","level":"INFO","msg":"quarantine: request not quarantined any more","fingerprint":"f00d","cause":"complete response"}
`

// TestExplainTellsWhyRepeatedRequestIsRefused guards against an explanation without the
// evidence against the fingerprint of a request.
func TestExplainTellsWhyRepeatedRequestIsRefused(t *testing.T) {
	cmd := newExplain()
	var out bytes.Buffer
	cmd.SetIn(strings.NewReader(fingerprintLog))
	cmd.SetOut(&out)
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetArgs([]string{"r-9"})
	assert.NilError(t, cmd.Execute())
	var times []string
	for line := range strings.Lines(out.String()) {
		times = append(times, strings.Fields(line)[0])
	}
	assert.DeepEqual(t, times, []string{"10:00:01.000", "10:00:03.000", "10:02:03.000", "10:02:09.000", "10:02:10.000"})
}
