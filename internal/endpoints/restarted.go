package endpoints

// Restarted reports whether the list shows that a start of an endpoint is over: there is
// a later one with its id, or another endpoint that started later has its address.
func (r *Registry) Restarted(e Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, known := range r.entries {
		if (id == e.ID || known.endpoint.Addr == e.Addr) && known.endpoint.StartedMs > e.StartedMs && e.StartedMs > 0 {
			return true
		}
	}
	return false
}
