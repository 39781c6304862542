package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// Times of a planned stop. All of them are part of the grace period that the
// platform gives the process.
const (
	// balancerNoticeTime is the time in which the load balancer notices that a
	// router isn't ready: two readiness checks, one second apart, and a margin.
	// Until then it opens connections that must be served.
	balancerNoticeTime = 2600 * time.Millisecond
	// drainPoll is the interval at which drain checks the number of requests in
	// flight.
	drainPoll = 50 * time.Millisecond
	// stopReserve is the part of the grace period that is left for the return of
	// grants and the exit of the process.
	stopReserve = 700 * time.Millisecond
	// exitReserve is the part of stopReserve that is left for the exit of the
	// process. The return of grants gets at least as much.
	exitReserve = 300 * time.Millisecond
	// minDrainTime is the time for requests in flight if the grace period is so
	// short that less would remain.
	minDrainTime = time.Second
)

// drain stops the router without cutting off requests, as far as the grace period
// allows. Readiness turns false, connections that still arrive are served until the
// load balancer has noticed, requests in flight complete, and unspent grants are
// returned. It returns an error if requests had to be cut off or grants couldn't be
// returned in time.
func (g *Gateway) drain() error {
	g.draining.Store(true)
	grace := g.platformSettings.Load().Grace
	g.handler.Drain(time.Now().Add(grace - stopReserve))
	g.log.Info("drain started", "in_flight", g.handler.InFlight(), "grace_ms", grace.Milliseconds())
	startedAt := time.Now()
	go g.members.Leave(context.Background()) // it has a timeout of its own
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-stopReserve, minDrainTime))
	defer cancel()
	for ctx.Err() == nil && (time.Since(startedAt) < balancerNoticeTime || g.handler.InFlight() > 0 || g.prepaid.OutstandingLoans() > 0) {
		if clock.Sleep(ctx, g.clock, drainPoll) != nil {
			break
		}
	}
	unfinished := g.handler.InFlight()
	err := g.callerServer.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%d requests cut off at the end of the grace period", unfinished)
	}
	// While the store is unreachable, Close retries until this deadline.
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), max(grace-time.Since(startedAt)-exitReserve, exitReserve))
	defer cancelReturn()
	err = errors.Join(err, g.prepaid.Close(returnCtx))
	g.log.Info("drain finished", "cut_off", unfinished, "ms", time.Since(startedAt).Milliseconds(), "err", fmt.Sprint(err))
	return err
}
