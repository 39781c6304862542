package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// editedDocument reads the configuration, calls edit on it and writes it to a
// file. It returns the path of the file and the revision that was read.
func (s *shell) editedDocument(edit func(*catalog.Document)) (path string, base int64) {
	s.t.Helper()
	var d catalog.Document
	assert.NilError(s.t, json.Unmarshal([]byte(s.mustRun("config show")), &d))
	edit(&d)
	data, err := json.Marshal(d)
	assert.NilError(s.t, err)
	path = filepath.Join(s.t.TempDir(), "config.json")
	assert.NilError(s.t, os.WriteFile(path, data, 0o600))
	return path, d.Revision
}

// TestApplyRefusesConflictingChange applies two files that were edited from the
// same revision. The second one must fail with a conflict and not overwrite the
// first. It then checks the commands that show and roll back the history.
func TestApplyRefusesConflictingChange(t *testing.T) {
	s := newShell(t)
	addRule := func(name string) func(*catalog.Document) {
		return func(d *catalog.Document) {
			d.Rules = append(d.Rules, catalog.Rule{Name: name, Endpoints: "role=engine"})
		}
	}
	mine, base := s.editedDocument(addRule("mine"))
	theirs, _ := s.editedDocument(addRule("theirs"))

	var result fleetconfig.RevisionStatus
	assert.NilError(t, json.Unmarshal([]byte(s.mustRun("apply --wait -o json --note first --file "+mine)), &result))
	assert.DeepEqual(t, result, fleetconfig.RevisionStatus{Revision: base + 1, Accepted: true})
	_, code := s.run("apply --file " + theirs)
	assert.Equal(t, code, ExitConflict)

	assert.Assert(t, strings.Contains(s.mustRun("config history"), "put rule mine"))
	assert.Assert(t, strings.Contains(s.mustRun("config diff 1 2"), "rule"))
	s.mustRun("config rollback 1 --wait")
	assert.Assert(t, !strings.Contains(s.mustRun("config show"), "mine"))
	assert.Assert(t, strings.Contains(s.mustRun("config revision 1"), "accepted"))
	assert.Equal(t, strings.Count(s.mustRun("members"), "live"), 2)
	_, code = s.run("config rollback 99")
	assert.Equal(t, code, ExitRefused)
}
