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

// newHolder starts the holder of budgets and shows its counters as metrics.
func (d *Daemon) newHolder(link bus.Bus) *budget.LocalHolder {
	holder := budget.NewHolder(budget.Options{
		Settings:     d.settings.Budget,
		Table:        d.platform,
		Bus:          link,
		Clock:        clock.Real{},
		Events:       d.events,
		Log:          d.part("budget"),
		ServeOutages: d.leansToServe,
	})
	d.budgetMetrics(holder.Stats())
	return holder
}

// kindPing asks a router whether it runs.
const kindPing bus.Kind = "daemon.ping"

// pingTimeout bounds one question whether a router runs.
const pingTimeout = 500 * time.Millisecond

// ping and pong are the question and the answer of kindPing.
type (
	ping struct{}
	pong struct{}
)

// newLedger returns the ledger, which takes a holder as live while its
// process is this one or a peer that answers. The membership alone would show
// a killed router as live until its row is old.
func (d *Daemon) newLedger(link bus.Bus) *budget.Ledger {
	bus.Handle(link, kindPing, func(context.Context, bus.ID, ping) (pong, error) { return pong{}, nil })
	return budget.NewLedger(d.platform).WithLive(func(holder string) bool {
		if holder == link.Self().ID.String() {
			return true
		}
		for _, p := range link.Peers() {
			if p.ID.String() == holder {
				return answers(link, p.ID)
			}
		}
		return false
	})
}

// answers reports whether a peer answers a ping.
func answers(link bus.Bus, id bus.ID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	_, err := bus.Call[ping, pong](ctx, link, id, kindPing, ping{})
	return err == nil
}

// leansToServe reports whether a workspace keeps a stock for an outage.
func (d *Daemon) leansToServe(workspace string) bool {
	w := d.config.Catalog().Workspace(workspace)
	return w != nil && w.GrantPolicy == catalog.GrantPolicyServeOutages
}

// budgetMetrics shows the holder's counters.
func (d *Daemon) budgetMetrics(s *budget.Stats) {
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
