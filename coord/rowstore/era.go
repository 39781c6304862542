package rowstore

import "sync"

// Eras is the newest era that a client of a store has seen. The zero value has seen
// none. It is safe for concurrent use.
type Eras struct {
	mu     sync.Mutex // guards the fields below
	newest int64
	ended  chan struct{} // closed at the next era; nil if nobody waits for it
}

// Observe records the era that a response states. Earlier ones have no effect.
func (e *Eras) Observe(era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.newest {
		return
	}
	e.newest = era
	if e.ended != nil {
		close(e.ended)
		e.ended = nil
	}
}

// Newest returns the newest era, or 0 before the first response.
func (e *Eras) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// closed is returned by Ended for eras that have ended already.
var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// Ended returns a channel that is closed once a later era than the given one was seen.
func (e *Eras) Ended(era int64) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest > era {
		return closed
	}
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return e.ended
}
