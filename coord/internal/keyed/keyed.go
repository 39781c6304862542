// Package keyed keeps values by key, made at their first use.
package keyed

import "sync"

// Map is safe for concurrent use. The zero value is empty.
type Map[K comparable, V any] struct {
	mu     sync.Mutex // guards values
	values map[K]V
}

// GetOrMake returns the value of a key, made by create if there is none. The map's
// lock is held over create.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, found := m.values[key]
	if !found {
		if m.values == nil {
			m.values = make(map[K]V)
		}
		value = create()
		m.values[key] = value
	}
	return value
}

// Get returns the value of a key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, found := m.values[key]
	return value, found
}

// Delete forgets a key.
func (m *Map[K, V]) Delete(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.values, key)
}

// All returns the values, in no order.
func (m *Map[K, V]) All() []V {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]V, 0, len(m.values))
	for _, value := range m.values {
		all = append(all, value)
	}
	return all
}
