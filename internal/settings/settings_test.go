package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/check"
)

// validSettings returns the smallest valid settings in JSON. The text of extra, which
// starts with a comma, is added at the end.
func validSettings(extra string) string {
	return `{"vm":"entry-1","domain":"kr-central-a","region":"kr-central",
		"caller":{"listen":"127.0.0.1:7300"},
		"operator":{"listen":"127.0.0.1:7301","token_hash":"` + catalog.HashKey("t") + `"},
		"platform":{"url":"http://127.0.0.1:9000"}` + extra + `}`
}

// TestParseDefaults checks that settings in the JSON replace the defaults, and that
// missing ones keep them.
func TestParseDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings(`,"drain":{"timeout":"90s"}`)))
	assert.NilError(t, err)
	assert.Equal(t, s.Drain.Timeout, 90*time.Second)
	assert.Equal(t, s.Caller.MaxBodyBytes, Default().Caller.MaxBodyBytes)
	assert.Equal(t, s.VM, "entry-1")
}

// TestParseReportsEveryProblem guards against an error that names only some of the
// problems, or a problem without its path, its value or the expected value.
func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse([]byte(`{"vm":7,"domain":"","caller":{"listen":"localhost","max_body_bytes":-1,"body_timeout":20,
		"colour":"red"},"platform":{"url":"9000"},"log":{"level":"loud"},"peers":{},"drain":"soon"}`))
	var problems *check.Error
	assert.Assert(t, errors.As(err, &problems), "%v", err)
	found := make(map[string]check.Problem)
	for _, p := range problems.Problems {
		found[p.Path] = p
	}
	paths := []string{"vm", "domain", "region", "caller.listen", "caller.max_body_bytes", "caller.body_timeout",
		"caller.colour", "operator.listen", "operator.token_hash", "platform.url", "log.level", "peers", "drain"}
	for _, path := range paths {
		p, ok := found[path]
		assert.Assert(t, ok, "no problem at %s in %v", path, err)
		assert.Assert(t, p.Value != "" && p.Want != "", "%+v", p)
	}
	assert.Assert(t, strings.Contains(found["caller.body_timeout"].Want, "250ms"))
}

// TestParseMalformed checks that text that is not exactly one JSON object is an error.
func TestParseMalformed(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null x", `{"vm":}`, validSettings("") + "{}"} {
		_, err := Parse([]byte(text))
		assert.Assert(t, err != nil, "%q", text)
	}
}

// TestEntries guards against a listing that shows a section as one entry instead of the
// settings in it.
func TestEntries(t *testing.T) {
	values := make(map[string]string)
	for _, e := range Default().Entries() {
		assert.Assert(t, !strings.HasSuffix(e.Path, "."), "%+v", e)
		values[e.Path] = e.Value
	}
	assert.Equal(t, values["drain.timeout"], "15m0s")
	assert.Equal(t, values["log.level"], "info")
	assert.Equal(t, values["caller.max_tokens"], "32768")
}

// FuzzParse checks that no input makes Parse panic, and that accepted settings name the
// VM, which is required.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings("")))
	f.Add([]byte(`{"caller":{"listen":{}},"log":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			assert.Assert(t, s.VM != "")
		}
	})
}

// TestExampleIsValid guards against an example settings file, as the README shows it,
// that a router rejects.
func TestExampleIsValid(t *testing.T) {
	s, err := Load("../../examples/entry-1.json")
	assert.NilError(t, err)
	assert.Equal(t, s.Operator.TokenHash, catalog.HashKey("dev-operator-token"))
}
