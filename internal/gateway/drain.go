package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Times of a planned stop, within the grace that the platform gives.
const (
	// balancerNotice is the time in which the balancer learns that a router is
	// not ready: two questions a second apart, and some more.
	balancerNoticeTime = 2600 * time.Millisecond
	// drainPoll is the interval of looking whether requests are in flight.
	drainPoll = 50 * time.Millisecond
	// stopReserve is kept of the grace for the return of grants and the exit.
	stopReserve = 700 * time.Millisecond
	// exitReserve is kept of the grace for the exit.
	exitReserve = 300 * time.Millisecond
	// leastDrain holds where the platform gives little grace.
	minDrainTime = time.Second
)

// drain ends a router without cutting off a request: readiness turns false,
// connections that still come are served, requests in flight finish, and grants
// go back.
func (g *Gateway) drain() error {
	g.draining.Store(true)
	grace := g.platformSettings.Load().Grace
	g.handler.Drain(time.Now().Add(grace - stopReserve))
	g.log.Info("drain starts", "in_flight", g.handler.InFlight(), "grace_ms", grace.Milliseconds())
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-stopReserve, minDrainTime))
	defer cancel()
	for ctx.Err() == nil && (time.Since(startedAt) < balancerNoticeTime || g.handler.InFlight() > 0) {
		if clock.Sleep(ctx, g.clock, drainPoll) != nil {
			break
		}
	}
	unfinished := g.handler.InFlight()
	err := g.callerServer.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%d requests cut off at the end of the grace", unfinished)
	}
	// While the store is away the return of grants is tried until the end.
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), max(grace-time.Since(startedAt)-exitReserve, exitReserve))
	defer cancelReturn()
	err = errors.Join(err, g.prepaid.Close(returnCtx))
	g.log.Info("drain ends", "cut_off", unfinished, "ms", time.Since(startedAt).Milliseconds(), "err", fmt.Sprint(err))
	return err
}
