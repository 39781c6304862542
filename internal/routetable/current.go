package routetable

import "sync/atomic"

// Current holds the table that is applied. Its revision never decreases. It is safe
// for concurrent use; the zero value holds no table.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the applied table, or nil if none was stored yet.
func (c *Current) Load() *Table { return c.table.Load() }

// Apply applies t, which the store holds now, and reports whether it did. A table with a
// lower revision than the current one is not applied. With the same revision, other
// content replaces the current table, which a restored store has lost.
func (c *Current) Apply(t *Table) bool {
	for {
		current := c.table.Load()
		if current != nil && (t.Revision < current.Revision || t.Revision == current.Revision && t.Digest == current.Digest) {
			return false
		}
		if c.table.CompareAndSwap(current, t) {
			return true
		}
	}
}
