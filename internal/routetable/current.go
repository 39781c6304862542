package routetable

import "sync/atomic"

// Current holds the table that is applied. Its revision never decreases. It is safe
// for concurrent use; the zero value holds no table.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the applied table, or nil if none was stored yet.
func (c *Current) Load() *Table { return c.table.Load() }

// StoreIfNewer applies t if its revision is higher than that of the current table,
// and reports whether it did.
func (c *Current) StoreIfNewer(t *Table) bool {
	for {
		current := c.table.Load()
		if current != nil && t.Revision <= current.Revision {
			return false
		}
		if c.table.CompareAndSwap(current, t) {
			return true
		}
	}
}
