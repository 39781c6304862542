package cli

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/dev"
)

// shell runs commands of the CLI. Their global flags point to a development
// fleet.
type shell struct {
	t     *testing.T
	flags []string
}

// newShell starts a development fleet, which is stopped at the end of the test.
func newShell(t *testing.T) *shell {
	t.Helper()
	fleet, err := dev.Start(t.Context(), dev.DefaultOptions(), slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, fleet.Close()) })
	return &shell{t: t, flags: []string{"--operator", fleet.Info().Operator, "--token", dev.OperatorToken, "--author", "test"}}
}

// run runs a command line and returns its standard output and exit code.
func (s *shell) run(line string) (string, int) {
	s.t.Helper()
	var out bytes.Buffer
	root := NewCommand()
	root.SetOut(&out)
	root.SetArgs(append(strings.Fields(line), s.flags...))
	err := root.Execute()
	s.t.Logf("$ daisyslip %s\n%s%v", line, out.String(), err)
	return out.String(), ExitCode(err)
}

// mustRun runs a command line that must succeed, and returns its output.
func (s *shell) mustRun(line string) string {
	s.t.Helper()
	out, code := s.run(line)
	assert.Equal(s.t, code, 0)
	return out
}

// TestWorkspaceBudgetAndRuleCommands runs the commands of an operator's session.
// A top-up that is sent twice with the same id is applied once, and label
// changes keep the other fields of an entity.
func TestWorkspaceBudgetAndRuleCommands(t *testing.T) {
	s := newShell(t)
	var key CreatedKey
	assert.NilError(t, json.Unmarshal([]byte(s.mustRun("workspace create coop-7 --label tier=gold --lean serve -o json")), &key))
	assert.Equal(t, catalog.HashKey(key.Key), key.Hash)

	first := s.mustRun("budget topup coop-7 default --tokens 5000 --id invoice-1 -o json")
	retried := s.mustRun("budget topup coop-7 default --tokens 5000 --id invoice-1 -o json")
	assert.Equal(t, first, retried)
	var balance budget.Balance
	assert.NilError(t, json.Unmarshal([]byte(retried), &balance))
	assert.Equal(t, balance.Paid, int64(5000))

	s.mustRun("label endpoint engine-1 zone=b role-")
	var e catalog.Endpoint
	assert.NilError(t, json.Unmarshal([]byte(s.mustRun("endpoint show engine-1 -o json")), &e))
	assert.DeepEqual(t, e.Labels, map[string]string{"zone": "b"})

	s.mustRun("rule create gold --workspaces tier=gold --endpoints zone=b --note test")
	assert.Assert(t, strings.Contains(s.mustRun("rule list"), "tier=gold"))
	s.mustRun("endpoint leave engine-2")
	assert.Assert(t, strings.Contains(s.mustRun("endpoint list"), "true"))
	s.mustRun("workspace remove-key coop-7 " + key.Hash)
	s.mustRun("workspace disable coop-7")
	s.mustRun("rule delete gold")
	s.mustRun("status")
	s.mustRun("config show")
}

// TestExitCodes checks that errors in the command line, refusals by a router and
// unreachable routers have their own exit codes.
func TestExitCodes(t *testing.T) {
	s := newShell(t)
	cases := []struct {
		line string
		code int
	}{
		{"workspace show nobody", ExitUsage},
		{"workspace", 0},
		{"workspace fly", ExitUsage},
		{"fly", ExitUsage},
		{"status --output xml", ExitUsage},
		{"budget topup dev default --tokens -4", ExitUsage},
		{"budget topup nobody default --tokens 4", ExitRefused},
		{"budget show dev night", ExitRefused},
		{"label endpoint engine-1 =b", ExitUsage},
		{"label rule x a=b", ExitUsage},
		{"pool create p --selector =", ExitRefused},
		{"endpoint create bad_name! --url http://127.0.0.1:1 --model m", ExitRefused},
		{"endpoint create e --url 127.0.0.1 --model m", ExitRefused},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			_, code := s.run(c.line)
			assert.Equal(t, code, c.code)
		})
	}
	s.flags = []string{"--operator", "http://127.0.0.1:1", "--timeout", "1s"}
	_, code := s.run("config show")
	assert.Equal(t, code, ExitFailure)
}
