package standin

import (
	"slices"
	"sync"

	"daisyslip.dev/daisyslip/internal/engine"
)

// orderBook accepts orders, each id once, and keeps the highest fencing number of
// an accepted order. The zero value is empty. It is safe for concurrent use.
type orderBook struct {
	mu             sync.Mutex // guards all below
	highestFencing int64
	accepted       []engine.Order
	// draining is true from an order to drain until one that cancels it.
	draining bool
}

// accept accepts an order and applies it if its id is new. With checkFencing it
// refuses an order whose fencing number is below the highest accepted one.
func (b *orderBook) accept(o engine.Order, checkFencing bool) engine.OrderResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if checkFencing && o.Fencing < b.highestFencing {
		return engine.OrderResult{Fencing: b.highestFencing, Message: "fencing number is old"}
	}
	b.highestFencing = max(b.highestFencing, o.Fencing)
	if !slices.ContainsFunc(b.accepted, func(a engine.Order) bool { return a.ID == o.ID }) {
		b.accepted = append(b.accepted, o)
		if o.Kind == engine.OrderDrain {
			b.draining = o.Target != engine.DrainCancel
		}
	}
	return engine.OrderResult{Accepted: true, Fencing: b.highestFencing}
}

// isDraining reports whether the latest accepted order to drain is in effect.
func (b *orderBook) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// acceptedOrders returns a copy of the accepted orders, in order, each id once.
func (b *orderBook) acceptedOrders() []engine.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.accepted)
}
