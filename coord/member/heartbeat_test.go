package member

import (
	"context"
	"sync"
	"testing"
)

// TestHeartbeatsAtOnce has several duties write the row at the same time; they
// do not conflict with each other.
func TestConcurrentHeartbeatsDoNotConflict(t *testing.T) {
	f := newFleet(t)
	d, _ := f.join("entry-1", "a")
	errs := make(chan error, 16)
	var all sync.WaitGroup
	for range cap(errs) {
		all.Go(func() { errs <- d.Heartbeat(context.Background()) })
	}
	all.Wait()
	close(errs)
	for err := range errs {
		f.ok(err)
	}
}
