package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// newHolder returns the budget holder of this router and registers its counters as
// metrics. It must be called before the bus runs.
func (d *Daemon) newHolder(peerBus bus.Bus) *budget.LocalHolder {
	holder := budget.NewHolder(budget.Options{
		Settings:     d.settings.Budget,
		Table:        d.platform,
		Bus:          peerBus,
		Clock:        clock.Real{},
		Events:       d.events,
		Log:          d.componentLog("budget"),
		ServeOutages: d.servesDuringOutage,
	})
	d.registerBudgetMetrics(holder.Stats())
	return holder
}

// kindPing is the message kind by which a router checks whether a peer is alive.
const kindPing bus.Kind = "daemon.ping"

// pingTimeout bounds one ping, from the request to the response.
const pingTimeout = 500 * time.Millisecond

// ping and pong are the empty request and response of kindPing.
type (
	ping struct{}
	pong struct{}
)

// newLedger returns the ledger. It considers a holder live if the holder is this process
// or a peer that responds to a ping. The membership alone would show a killed router as
// live until its row is outdated.
func (d *Daemon) newLedger(peerBus bus.Bus) *budget.Ledger {
	bus.Handle(peerBus, kindPing, func(context.Context, bus.ID, ping) (pong, error) { return pong{}, nil })
	return budget.NewLedger(d.platform).WithLive(func(holder string) bool {
		if holder == peerBus.Self().ID.String() {
			return true
		}
		for _, p := range peerBus.Peers() {
			if p.ID.String() == holder {
				return respondsToPing(peerBus, p.ID)
			}
		}
		return false
	})
}

// respondsToPing reports whether a peer responds to a ping within pingTimeout.
func respondsToPing(peerBus bus.Bus, id bus.ID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	_, err := bus.Call[ping, pong](ctx, peerBus, id, kindPing, ping{})
	return err == nil
}

// servesDuringOutage reports whether the grant policy of a workspace keeps headroom on
// each router, so that its requests are served during an outage of the platform.
func (d *Daemon) servesDuringOutage(workspace string) bool {
	w := d.config.Catalog().Workspace(workspace)
	return w != nil && w.GrantPolicy == catalog.GrantPolicyServeOutages
}

// registerBudgetMetrics registers the counters of the budget holder as metrics.
func (d *Daemon) registerBudgetMetrics(s *budget.Stats) {
	for name, counter := range map[string]*atomic.Int64{
		`reservations_total`:                   &s.Reserved,
		`reservations_waited_total`:            &s.Waited,
		`refusals_total{reason="exhausted"}`:   &s.RefusedExhausted,
		`refusals_total{reason="busy"}`:        &s.RefusedBusy,
		`refusals_total{reason="unavailable"}`: &s.RefusedUnavailable,
		`draws_total`:                          &s.Draws,
		`draw_failures_total`:                  &s.DrawFailures,
		`drawn_tokens_total`:                   &s.DrawnTokens,
		`returns_total`:                        &s.Returns,
		`returned_tokens_total`:                &s.ReturnedTokens,
		`conflicts_total`:                      &s.Conflicts,
		`recalls_total`:                        &s.Recalls,
		`bill_rows_total`:                      &s.Batches,
		`bills_total`:                          &s.Bills,
		`billed_tokens_total`:                  &s.BilledTokens,
		`replayed_tokens_total`:                &s.ReplayedTokens,
		`bill_write_failures_total`:            &s.BillFailures,
		`bills_copied_total`:                   &s.BillsReplicated,
		`bills_copied_to_too_few_peers_total`:  &s.BillsUnderReplicated,
	} {
		d.metrics.NewGauge(fmt.Sprintf("daisyslip_budget_%s", name), func() float64 { return float64(counter.Load()) })
	}
}
