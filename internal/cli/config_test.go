package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/conf"
)

// document reads the configuration and lets edit change it.
func (s *shell) document(edit func(*catalog.Document)) (path string, base int64) {
	s.t.Helper()
	var d catalog.Document
	assert.NilError(s.t, json.Unmarshal([]byte(s.ok("config show")), &d))
	edit(&d)
	data, err := json.Marshal(d)
	assert.NilError(s.t, err)
	path = filepath.Join(s.t.TempDir(), "config.json")
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return path, d.Revision
}

func TestConfigurationSession(t *testing.T) {
	s := newShell(t)
	addRule := func(name string) func(*catalog.Document) {
		return func(d *catalog.Document) {
			d.Rules = append(d.Rules, catalog.Rule{Name: name, Endpoints: "role=engine"})
		}
	}
	mine, base := s.document(addRule("mine"))
	theirs, _ := s.document(addRule("theirs"))

	var result conf.RevisionStatus
	assert.NilError(t, json.Unmarshal([]byte(s.ok("apply --wait -o json --note first --file "+mine)), &result))
	assert.DeepEqual(t, result, conf.RevisionStatus{Revision: base + 1, Accepted: true})
	_, code := s.run("apply --file " + theirs)
	assert.Equal(t, code, ExitConflict)

	assert.Assert(t, strings.Contains(s.ok("config history"), "put rule mine"))
	assert.Assert(t, strings.Contains(s.ok("config diff 1 2"), "rule"))
	s.ok("config rollback 1 --wait")
	assert.Assert(t, !strings.Contains(s.ok("config show"), "mine"))
	assert.Assert(t, strings.Contains(s.ok("config revision 1"), "accepted"))
	assert.Equal(t, strings.Count(s.ok("members"), "live"), 2)
	_, code = s.run("config rollback 99")
	assert.Equal(t, code, ExitRefused)
}
