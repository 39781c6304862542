package tasks_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/internal/tasks"
)

// TestStopWaitsAndRefusesNewTasks: Stop waits for running goroutines, and no new
// one starts after it.
func TestStopWaitsAndRefusesNewTasks(t *testing.T) {
	g := tasks.NewGroup()
	ended := false
	assert.Assert(t, g.Go(func() {
		<-g.Context().Done()
		ended = true
	}))
	g.Stop()
	assert.Assert(t, ended)
	assert.Assert(t, !g.Go(func() { t.Error("runs after the stop") }))
	g.Stop() // may be called again
}
