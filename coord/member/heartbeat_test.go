package member

import (
	"context"
	"sync"
	"testing"
)

// TestConcurrentHeartbeatsDoNotConflict guards against a failed heartbeat when
// several goroutines of one process write the member's row at the same time.
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
