package member

import (
	"context"
	"errors"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Run registers this member, writes its heartbeats and refreshes the directory
// until ctx ends; then it returns nil. The table is not read while other members'
// listings are up to date. Run returns ErrSuperseded if a newer incarnation has
// taken over the row; other errors are passed to onError and retried.
func (d *Directory) Run(ctx context.Context, onError func(error)) error {
	nextHeartbeat, nextRead := d.clock.Now(), d.clock.Now()
	for {
		now := d.clock.Now()
		if !now.Before(nextHeartbeat) {
			err := d.withTimeout(ctx, d.Heartbeat)
			if errors.Is(err, ErrSuperseded) {
				return err
			}
			if err == nil {
				nextHeartbeat = now.Add(d.settings.HeartbeatInterval)
			}
			reportUnlessDone(ctx, err, onError)
		}
		interval, skip := d.nextRefresh()
		switch {
		case skip:
		case !now.Before(nextRead):
			reportUnlessDone(ctx, d.withTimeout(ctx, d.Refresh), onError)
			nextRead = now.Add(interval)
		default:
			reportUnlessDone(ctx, d.withTimeout(ctx, d.RefreshVMs), onError)
		}
		if err := clock.Sleep(ctx, d.clock, d.settings.ListInterval); err != nil {
			return nil
		}
	}
}

// withTimeout runs a call of the store for at most HeartbeatInterval.
func (d *Directory) withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.HeartbeatInterval)
	defer cancel()
	return call(ctx)
}
