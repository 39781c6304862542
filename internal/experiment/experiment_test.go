package experiment

import (
	"bytes"
	"errors"
	"log/slog"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/check"
)

// TestScenariosAreValid reads every scenario of the repository.
func TestScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		_, err := Read(path)
		assert.NilError(t, err)
	}
}

func TestParseListsEveryProblem(t *testing.T) {
	_, err := Parse([]byte(`{"name":"","fleet":{"engines":0,"colour":1},"phases":[
		{"name":"a","duration":"0s","faults":[{"target":"engine-9"},{"target":"moon","outage":"yes"}]}]}`))
	var problems *check.Error
	assert.Assert(t, errors.As(err, &problems), "%v", err)
	found := make(map[string]bool)
	for _, p := range problems.Problems {
		found[p.Path] = true
	}
	for _, path := range []string{"name", "fleet.engines", "fleet.colour", "phases[0].duration", "phases[0].faults[0].target",
		"phases[0].faults[1].target", "phases[0].faults[1].outage"} {
		assert.Assert(t, found[path], "no problem at %s in %v", path, err)
	}
}

// TestRun goes through two short phases, the second with a broken engine, and
// writes the report in every form.
func TestRun(t *testing.T) {
	s, err := Parse([]byte(`{"name":"short","fleet":{"engines":2,"token_time":"1ms"},"load":{"max_tokens":8},"phases":[
		{"name":"health","duration":"500ms","rate":40},
		{"name":"broken","duration":"500ms","rate":40,"faults":[{"target":"engine-1","refuse":true}]}]}`))
	assert.NilError(t, err)
	var phases []string
	report, err := Run(t.Context(), s, slog.New(slog.DiscardHandler), func(p Phase) { phases = append(phases, p.Name) })
	assert.NilError(t, err)
	assert.DeepEqual(t, phases, []string{"health", "broken"})
	assert.Assert(t, report.Phases[0].Completed > 0 && report.Phases[1].Completed > 0)
	assert.Equal(t, report.Budget.Paid, report.Budget.Unspent+report.Budget.Held+report.Budget.Settled+report.Budget.InDoubt)
	var page bytes.Buffer
	assert.NilError(t, report.WriteMarkdown(&page))
	assert.Assert(t, bytes.Contains(page.Bytes(), []byte("| broken |")))
	for _, p := range Plots() {
		var svg bytes.Buffer
		assert.NilError(t, report.WriteSVG(&svg, p))
		assert.Assert(t, bytes.Contains(svg.Bytes(), []byte("<svg")))
	}
}
