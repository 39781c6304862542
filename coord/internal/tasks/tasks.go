// Package tasks runs a component's goroutines and waits for them when it stops.
package tasks

import (
	"context"
	"sync"
)

// Group is a set of goroutines that end when the group stops. It is safe for
// concurrent use; its lock is not held while a task runs.
type Group struct {
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex // ensures that no goroutine starts after Stop begins to wait
}

// NewGroup returns a group without goroutines.
func NewGroup() *Group {
	g := &Group{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Context returns a context that is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine and returns true, or returns false if the group has
// stopped.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return false
	}
	g.goroutines.Go(f)
	return true
}

// Stop cancels the context and waits for the goroutines. It may be called again.
func (g *Group) Stop() {
	g.mu.Lock()
	g.cancel()
	g.mu.Unlock()
	g.goroutines.Wait()
}
