// Package tasks runs the goroutines of a duty until it stops.
package tasks

import (
	"context"
	"sync"
)

// Group is a set of goroutines with a common end. It is safe for concurrent use;
// its lock is never held over foreign code.
type Group struct {
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex // orders starts before the wait for the end
}

// NewGroup returns a group without goroutines.
func NewGroup() *Group {
	g := &Group{}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// Context ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine, unless the group has stopped.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return false
	}
	g.running.Go(f)
	return true
}

// Stop ends the context and waits for the goroutines.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stop()
	g.mu.Unlock()
	g.running.Wait()
}
