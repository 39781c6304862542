package endpoints

// UsableUncached computes the result of Usable anew.
func (r *Registry) UsableUncached(pool string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usableLocked(pool, r.clock.Now())
}
