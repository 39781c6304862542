// Package keyed provides a map of values that are created at their first use.
package keyed

import "sync"

// Map is a map with a lock. It is safe for concurrent use, and the zero value is
// empty.
type Map[K comparable, V any] struct {
	mu     sync.Mutex // guards values
	values map[K]V
}

// GetOrCreate returns the value of a key, or the result of create if there is none,
// which it stores. The map's lock is held during create, which must not use the
// map.
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

// Get returns the value of a key, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, found := m.values[key]
	return value, found
}

// Delete removes a key. It does nothing if the key is absent.
func (m *Map[K, V]) Delete(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.values, key)
}

// All returns the values in an unspecified order.
func (m *Map[K, V]) All() []V {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]V, 0, len(m.values))
	for _, value := range m.values {
		all = append(all, value)
	}
	return all
}
