package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/dev"
	"daisyslip.dev/daisyslip/internal/load"
	"daisyslip.dev/daisyslip/internal/standin"
)

// Run starts the fleet of a scenario, goes through its phases and returns
// what callers saw. progress is told of each phase as it starts.
func Run(ctx context.Context, s Scenario, log *slog.Logger, progress func(Phase)) (report Report, err error) {
	fleet, err := dev.Start(ctx, s.options(), log)
	if err != nil {
		return Report{}, fmt.Errorf("start the fleet: %w", err)
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	r := &runner{scenario: s, fleet: fleet, began: time.Now()}
	for i, phase := range s.Phases {
		progress(phase)
		if err := r.phase(ctx, i, phase); err != nil {
			return Report{}, fmt.Errorf("phase %s: %w", phase.Name, err)
		}
	}
	r.apply(nil)
	if err := r.balance(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

// options describes the scenario's fleet.
func (s Scenario) options() dev.Options {
	o := dev.DefaultOptions()
	o.Routers, o.Engines, o.BudgetTokens = s.Fleet.Routers, s.Fleet.Engines, s.Fleet.BudgetTokens
	o.Engine.TokenTime, o.Engine.PrefillTime = s.Fleet.TokenTime, s.Fleet.PrefillTime
	o.Engine.Slots, o.Engine.BatchSlowdown = s.Fleet.Slots, s.Fleet.BatchSlowdown
	return o
}

// runner is an experiment in progress.
type runner struct {
	scenario Scenario
	fleet    *dev.Fleet
	began    time.Time
	phases   []*tally
	final    budget.Balance
}

// phase runs one phase.
func (r *runner) phase(ctx context.Context, i int, p Phase) error {
	r.apply(p.Faults)
	t := newTally(p, time.Since(r.began))
	r.phases = append(r.phases, t)
	o := load.DefaultOptions()
	o.Model, o.Streams, o.Duration, o.Rate = dev.ModelName, r.scenario.Load.Streams, p.Duration, p.Rate
	o.MaxTokens, o.PromptWords = r.scenario.Load.MaxTokens, r.scenario.Load.PromptWords
	o.SharedPrefixWords, o.PromptGroups, o.Deadline = r.scenario.Load.SharedWords, r.scenario.Load.Groups, r.scenario.Load.Deadline
	o.Seed = r.scenario.Seed + uint64(i)
	o.OneTargetPerPrompt = true
	o.Observe = func(seen load.Observation) { t.add(seen, r.began) }
	for _, url := range r.fleet.Info().Routers {
		o.Targets = append(o.Targets, load.Target{Name: url, URL: url, Key: dev.WorkspaceKey})
	}
	_, err := load.Run(ctx, o)
	return err
}

// apply makes faults the only ones.
func (r *runner) apply(faults []Fault) {
	r.fleet.Platform.SetFaults("", memory.Faults{})
	r.fleet.Service.SetFaults(standin.ServiceFaults{})
	for _, e := range r.fleet.Engines {
		e.SetFaults(standin.EngineFaults{})
	}
	for _, f := range faults {
		r.applyOne(f)
	}
}

func (r *runner) applyOne(f Fault) {
	switch {
	case f.Target == targetPlatform:
		r.fleet.Platform.SetFaults("", f.platform())
	case f.Target == targetService:
		r.fleet.Service.SetFaults(f.service())
	case strings.HasPrefix(f.Target, viewPrefix):
		r.fleet.Platform.SetFaults(strings.TrimPrefix(f.Target, viewPrefix), f.platform())
	default:
		n, err := strconv.Atoi(strings.TrimPrefix(f.Target, enginePrefix))
		if err != nil {
			panic(err) // the scenario was checked
		}
		r.fleet.Engines[n-1].SetFaults(f.engine())
	}
}

// balance reads the budget once the faults have ended.
func (r *runner) balance(ctx context.Context) error {
	info := r.fleet.Info()
	c := client.New(info.Operator, info.OperatorToken, "experiment")
	b, err := c.Balance(ctx, budget.Account{Workspace: dev.WorkspaceName, Budget: catalog.DefaultBudget})
	if err != nil {
		return fmt.Errorf("read the budget: %w", err)
	}
	r.final = b
	return nil
}
