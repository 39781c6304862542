package rowstore

import (
	"context"
	"fmt"
	"time"
)

// progressKey is the context key of the function that ReportProgress calls.
type progressKey struct{}

// ReportProgress tells the caller of a store that a part of the response to the call
// with ctx has arrived. Implementations of Store that receive responses in parts call it
// for each of them, so that a long response isn't taken for a store that hangs.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

// withStallTimeout returns a context that ends when nothing of a response has arrived for
// first, or no further part of it for stall after one, and in any case after limit. The
// function that it returns must be called at the end of the call.
func withStallTimeout(ctx context.Context, first, stall, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelLimit := context.WithTimeout(ctx, limit)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() {
		cancel(fmt.Errorf("nothing received in time: %w", context.DeadlineExceeded))
	})
	ctx = context.WithValue(ctx, progressKey{}, func() { timer.Reset(stall) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
		cancelLimit()
	}
}
