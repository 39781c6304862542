package dev

import (
	"context"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"
)

// TestInvalidOptionsAreReported guards against a panic on a number of routers or engines
// that no fleet can have: the error names the option.
func TestInvalidOptionsAreReported(t *testing.T) {
	for option, change := range map[string]func(*Options){
		"routers": func(o *Options) { o.Routers = 0 },
		"engines": func(o *Options) { o.Engines = -1 },
		"budget":  func(o *Options) { o.BudgetTokens = -1 },
		"port":    func(o *Options) { o.FirstPort = 70_000 },
	} {
		o := DefaultOptions()
		change(&o)
		_, err := Start(context.Background(), o, slog.New(slog.DiscardHandler))
		assert.ErrorContains(t, err, option)
	}
	o := DefaultOptions()
	o.Routers = -1
	_, err := Start(context.Background(), o, slog.New(slog.DiscardHandler))
	assert.ErrorContains(t, err, "routers")
}
