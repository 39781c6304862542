package standin

import (
	"slices"
	"sync"

	"daisyslip.dev/daisyslip/internal/engine"
)

// orderBook carries out orders, each id once, and keeps the highest fencing
// number seen.
type orderBook struct {
	mu             sync.Mutex // guards all below
	highestFencing int64
	accepted       []engine.Order
	// draining is true after an order to drain.
	draining bool
}

// accept carries out an order. With checks, an order whose number is below
// the highest seen is refused.
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

// isDraining reports whether the endpoint was ordered to drain.
func (b *orderBook) isDraining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining
}

// done returns the orders carried out, in order.
func (b *orderBook) acceptedOrders() []engine.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.accepted)
}
