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

// Run starts the fleet of a scenario, runs its phases one after another, stops the fleet
// and returns what callers observed. It calls progress at the start of each phase.
func Run(ctx context.Context, s Scenario, log *slog.Logger, progress func(Phase)) (report Report, err error) {
	fleet, err := dev.Start(ctx, s.fleetOptions(), log)
	if err != nil {
		return Report{}, fmt.Errorf("start the fleet: %w", err)
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	r := &runner{scenario: s, fleet: fleet, startedAt: time.Now()}
	for i, phase := range s.Phases {
		progress(phase)
		if err := r.runPhase(ctx, i, phase); err != nil {
			return Report{}, fmt.Errorf("run phase %s: %w", phase.Name, err)
		}
	}
	r.replaceFaults(nil)
	if err := r.readBalance(ctx); err != nil {
		return Report{}, err
	}
	return r.report(), nil
}

// fleetOptions returns the options of the scenario's fleet.
func (s Scenario) fleetOptions() dev.Options {
	o := dev.DefaultOptions()
	o.Routers, o.Engines, o.BudgetTokens = s.Fleet.Routers, s.Fleet.Engines, s.Fleet.BudgetTokens
	o.Engine.TokenTime, o.Engine.PrefillTime = s.Fleet.TokenTime, s.Fleet.PrefillTime
	o.Engine.Slots, o.Engine.BatchSlowdown = s.Fleet.Slots, s.Fleet.BatchSlowdown
	return o
}

// runner runs one experiment.
type runner struct {
	scenario     Scenario
	fleet        *dev.Fleet
	startedAt    time.Time
	tallies      []*tally
	finalBalance budget.Balance
}

// runPhase sets the faults of a phase, sends its load and adds its tally. The index
// varies the seed of the prompts.
func (r *runner) runPhase(ctx context.Context, index int, p Phase) error {
	r.replaceFaults(p.Faults)
	t := newTally(p, time.Since(r.startedAt))
	r.tallies = append(r.tallies, t)
	o := load.DefaultOptions()
	o.Model, o.Streams, o.Duration, o.Rate = dev.ModelName, r.scenario.Load.Streams, p.Duration, p.Rate
	o.MaxTokens, o.PromptWords = r.scenario.Load.MaxTokens, r.scenario.Load.PromptWords
	o.SharedPrefixWords, o.PromptGroups, o.Deadline = r.scenario.Load.SharedPrefixWords, r.scenario.Load.PromptGroups, r.scenario.Load.Deadline
	o.Seed = r.scenario.Seed + uint64(index)
	o.OneTargetPerPrompt = true
	o.Observe = func(observation load.Observation) { t.add(observation, r.startedAt) }
	for _, url := range r.fleet.Info().Routers {
		o.Targets = append(o.Targets, load.Target{Name: url, URL: url, Key: dev.WorkspaceKey})
	}
	_, err := load.Run(ctx, o)
	return err
}

// replaceFaults removes all faults from the fleet and then sets the given ones.
func (r *runner) replaceFaults(faults []Fault) {
	r.fleet.Platform.SetFaults("", memory.Faults{})
	r.fleet.Service.SetFaults(standin.ServiceFaults{})
	for _, e := range r.fleet.Engines {
		e.SetFaults(standin.EngineFaults{})
	}
	for _, f := range faults {
		r.applyFault(f)
	}
}

// applyFault sets the faults of the part of the fleet that f.Target names.
func (r *runner) applyFault(f Fault) {
	switch {
	case f.Target == targetPlatform:
		r.fleet.Platform.SetFaults("", f.platformFaults())
	case f.Target == targetService:
		r.fleet.Service.SetFaults(f.serviceFaults())
	case strings.HasPrefix(f.Target, platformClientPrefix):
		r.fleet.Platform.SetFaults(strings.TrimPrefix(f.Target, platformClientPrefix), f.platformFaults())
	default:
		n, err := strconv.Atoi(strings.TrimPrefix(f.Target, enginePrefix))
		if err != nil {
			panic(err) // Parse has checked the targets
		}
		r.fleet.Engines[n-1].SetFaults(f.engineFaults())
	}
}

// readBalance reads the balance of the fleet's budget. It is called after the faults are
// removed.
func (r *runner) readBalance(ctx context.Context) error {
	info := r.fleet.Info()
	c := client.New(info.Operator, info.OperatorToken, "experiment")
	balance, err := c.Balance(ctx, budget.Account{Workspace: dev.WorkspaceName, Budget: catalog.DefaultBudget})
	if err != nil {
		return fmt.Errorf("read the balance of the fleet's budget: %w", err)
	}
	r.finalBalance = balance
	return nil
}
