package routetable

import "sync/atomic"

// Current holds the table in force. Its revision never falls while the process
// lives.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first.
func (c *Current) Load() *Table { return c.table.Load() }

// Offer puts t in force if it is newer and reports whether it did.
func (c *Current) StoreIfNewer(t *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && t.Revision <= old.Revision {
			return false
		}
		if c.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
