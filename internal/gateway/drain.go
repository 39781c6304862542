package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Times of a planned stop.
const (
	// balancerNotice is the time in which the balancer learns that a router is
	// not ready: two questions a second apart, and some more.
	balancerNotice = 2600 * time.Millisecond
	// drainPoll is the interval of looking whether requests are in flight.
	drainPoll = 50 * time.Millisecond
	// stopReserve is kept of the grace for the return of grants and the exit.
	stopReserve = 700 * time.Millisecond
	// leastDrain holds where the platform gives little grace.
	leastDrain = time.Second
)

// drain ends a router without cutting off a request: readiness turns false,
// connections that still come are served, requests in flight finish, and grants
// go back.
func (g *Gateway) drain() error {
	g.draining.Store(true)
	g.handler.Drain()
	grace := g.identity.Load().Grace
	g.log.Info("drain starts", "in_flight", g.handler.InFlight(), "grace_ms", grace.Milliseconds())
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-stopReserve, leastDrain))
	defer cancel()
	for ctx.Err() == nil && (time.Since(begun) < balancerNotice || g.handler.InFlight() > 0) {
		if clock.Sleep(ctx, g.clock, drainPoll) != nil {
			break
		}
	}
	left := g.handler.InFlight()
	err := g.caller.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%d requests cut off at the end of the grace", left)
	}
	err = errors.Join(err, g.leave())
	g.log.Info("drain ends", "cut_off", left, "ms", time.Since(begun).Milliseconds(), "err", fmt.Sprint(err))
	return err
}

// leave returns what the router holds in the store.
func (g *Gateway) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	return g.prepaid.Close(ctx)
}
