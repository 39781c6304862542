package prepaid_test

import (
	"context"
	"sync"
	"time"
)

// freezer holds up what a process does at its timers and its calls while it is frozen.
type freezer struct {
	mu     sync.Mutex    // guards thawed
	thawed chan struct{} // closed at the end of the freeze; nil while the process runs
}

// freeze freezes the process for a duration.
func (f *freezer) freeze(d time.Duration) {
	thawed := make(chan struct{})
	f.mu.Lock()
	f.thawed = thawed
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	f.thawed = nil
	f.mu.Unlock()
	close(thawed)
}

// await waits until the process is not frozen.
func (f *freezer) await() { f.awaitOr(context.Background()) }

// awaitOr waits until the process is not frozen, and returns false if ctx ends first.
func (f *freezer) awaitOr(ctx context.Context) bool {
	for {
		f.mu.Lock()
		thawed := f.thawed
		f.mu.Unlock()
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		}
	}
}

// freezableClock is the clock of a process that may freeze: time passes meanwhile, but no timer fires.
type freezableClock struct{ freezer *freezer }

func (freezableClock) Now() time.Time { return time.Now() }

func (c freezableClock) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	time.AfterFunc(d, func() {
		c.freezer.await()
		fired <- time.Now()
	})
	return fired
}
