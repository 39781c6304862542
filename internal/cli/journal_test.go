package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/platform/benchjournal"
)

// TestTableShowsDaysAndMean checks the rows of a table and the mean over the days with
// trouble, without those that the bench has drawn.
func TestTableShowsDaysAndMean(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"id":"7c3e","site":"a-site","days":[
		{"name":"quiet-1","G":0.9,"served":0.95,"gate":true,"balancers":9,"rules":{},"prices":[["cloud calls",2968,0.004],["GB at the platform's store",0.5,0.1]]},
		{"name":"trouble-1","G":0.5,"gate":false,"balancers":9,"rules":{"CONFIG":7},"prices":[]},
		{"name":"scale-1","G":0.7,"gate":true,"balancers":9,"rules":{},"prices":[]},
		{"name":"fresh-ab","G":0.1,"gate":true,"balancers":9,"rules":{},"prices":[]}]}`), 0o600))
	e, err := benchjournal.Read(path)
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, writeJournalTable(&b, []benchjournal.Entry{e}))
	for _, want := range []string{
		"| a-site | quiet-1 | 9 | 0.900 | 0.950 | 0.000 | 0.000 | passed | - | 2968 | 500 | 0.0 | 0.0 |",
		"| a-site | trouble-1 | 9 | 0.500 | 0.000 | 0.000 | 0.000 | failed | CONFIG 7 | 0 | 0 | 0.0 | 0.0 |",
		"| a-site | mean of the 2 standard days with trouble (journal entry 7c3e) | | 0.600 |",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), "%s not in\n%s", want, b.String())
	}
}
