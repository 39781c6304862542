// Package experiment runs a development fleet through the phases of a scenario, under
// load and with simulated faults, and reports what callers observed.
package experiment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/check"
	"daisyslip.dev/daisyslip/internal/standin"
	"daisyslip.dev/daisyslip/internal/strictjson"
)

// Scenario describes one experiment.
type Scenario struct {
	Name string `json:"name"`
	// Seed determines the prompts and the times between requests.
	Seed   uint64    `json:"seed"`
	Fleet  FleetSpec `json:"fleet"`
	Load   LoadSpec  `json:"load"`
	Phases []Phase   `json:"phases"`
}

// FleetSpec describes the routers and the engines of the fleet.
type FleetSpec struct {
	Routers      int   `json:"routers"`
	Engines      int   `json:"engines"`
	BudgetTokens int64 `json:"budget_tokens"`
	// TokenTime and PrefillTime are the times that an engine needs for one token
	// of a response and of a prompt. See standin.EngineSettings.
	TokenTime   time.Duration `json:"token_time"`
	PrefillTime time.Duration `json:"prefill_time"`
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots"`
	// BatchSlowdown is the growth of TokenTime when all slots are in use, as a
	// multiple of TokenTime.
	BatchSlowdown float64 `json:"batch_slowdown"`
}

// LoadSpec describes the requests. See load.Options.
type LoadSpec struct {
	// Streams is the largest number of requests in flight.
	Streams           int           `json:"streams"`
	MaxTokens         int           `json:"max_tokens"`
	PromptWords       int           `json:"prompt_words"`
	SharedPrefixWords int           `json:"shared_words"`
	PromptGroups      int           `json:"groups"`
	Deadline          time.Duration `json:"deadline"`
}

// Phase is a period with one request rate and one set of faults. The faults of a phase
// end with it.
type Phase struct {
	Name     string        `json:"name"`
	Duration time.Duration `json:"duration"`
	// Rate is the number of requests per second over all routers. 0 sends the next
	// request of each stream when the previous one has ended.
	Rate   float64 `json:"rate"`
	Faults []Fault `json:"faults"`
}

// Fault sets faults of one part of the fleet.
type Fault struct {
	// Target is "platform", "platform/entry-N" for the platform as router N sees it,
	// "engine-N" or "service". N counts from 1.
	Target string `json:"target"`
	// Outage, Delay and LoseResponses are faults of the platform; see
	// memory.Faults. Delay also applies to the service, and to the first token of
	// an engine.
	Outage        bool          `json:"outage"`
	Delay         time.Duration `json:"delay"`
	LoseResponses int           `json:"lose_replies"`
	// The fields below are faults of an engine; see standin.EngineFaults. Refuse
	// and Leaving also apply to the service.
	SlowFactor    float64 `json:"slow_factor"`
	Refuse        bool    `json:"refuse"`
	Hang          bool    `json:"silent"`
	Leaving       bool    `json:"leaving"`
	BreakAfter    int     `json:"break_after"`
	TruncateAfter int     `json:"truncate_after"`
	StallAfter    int     `json:"stall_after"`
}

// Values and prefixes of Fault.Target.
const (
	targetPlatform       = "platform"
	targetService        = "service"
	enginePrefix         = "engine-"
	platformClientPrefix = targetPlatform + "/"
)

// DefaultScenario returns the values of the fields that a scenario file omits. It has no
// phases.
func DefaultScenario() Scenario {
	return Scenario{
		Name: "experiment",
		Seed: 1,
		Fleet: FleetSpec{
			Routers: 3, Engines: 4, BudgetTokens: 100_000_000, TokenTime: 10 * time.Millisecond,
			PrefillTime: 50 * time.Microsecond, Slots: 16, BatchSlowdown: 1,
		},
		Load: LoadSpec{Streams: 256, MaxTokens: 32, PromptWords: 64, SharedPrefixWords: 32, PromptGroups: 16, Deadline: 10 * time.Second},
	}
}

// Read reads the scenario file at path and validates it.
func Read(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %s:\n%w", path, err)
	}
	return s, nil
}

// Parse decodes a scenario from JSON, fills in the defaults and validates it. If the
// scenario is invalid, the error is a *check.Error with all problems.
func Parse(data []byte) (Scenario, error) {
	s := DefaultScenario()
	var problems check.List
	if err := strictjson.Decode(data, &s, &problems); err != nil {
		return Scenario{}, err
	}
	s.validate(&problems)
	return s, problems.Err()
}

// Upper bounds of a scenario's fields.
const (
	maxPhaseDuration = time.Hour
	maxRouters       = 32
	maxEngines       = 256
)

// validate adds every problem of the scenario to l.
func (s Scenario) validate(l *check.List) {
	l.Required("name", s.Name)
	checkCount(l, "fleet.routers", s.Fleet.Routers, maxRouters)
	checkCount(l, "fleet.engines", s.Fleet.Engines, maxEngines)
	l.Positive("fleet.budget_tokens", s.Fleet.BudgetTokens)
	l.Duration("fleet.token_time", s.Fleet.TokenTime, 0, time.Minute)
	l.Duration("fleet.prefill_time", s.Fleet.PrefillTime, 0, time.Minute)
	l.Positive("fleet.slots", int64(s.Fleet.Slots))
	l.Positive("load.streams", int64(s.Load.Streams))
	l.Positive("load.max_tokens", int64(s.Load.MaxTokens))
	l.Positive("load.prompt_words", int64(s.Load.PromptWords))
	l.Positive("load.groups", int64(s.Load.PromptGroups))
	if s.Load.SharedPrefixWords < 0 || s.Load.SharedPrefixWords > s.Load.PromptWords {
		l.Add("load.shared_words", s.Load.SharedPrefixWords, "0 to load.prompt_words")
	}
	if len(s.Phases) == 0 {
		l.Add("phases", 0, "one phase or more")
	}
	for i, p := range s.Phases {
		p.validate(l, fmt.Sprintf("phases[%d]", i), s.Fleet)
	}
}

// checkCount adds a problem to l unless value is from 1 to maximum.
func checkCount(l *check.List, path string, value, maximum int) {
	if value < 1 || value > maximum {
		l.Add(path, value, fmt.Sprintf("a number from 1 to %d", maximum))
	}
}

// validate adds every problem of the phase to l. The fleet decides which targets exist.
func (p Phase) validate(l *check.List, path string, f FleetSpec) {
	l.Required(path+".name", p.Name)
	l.Duration(path+".duration", p.Duration, time.Millisecond, maxPhaseDuration)
	if p.Rate < 0 {
		l.Add(path+".rate", p.Rate, "0 or more requests a second")
	}
	for i, fault := range p.Faults {
		if !fault.hasTarget(f) {
			l.Add(fmt.Sprintf("%s.faults[%d].target", path, i), fault.Target,
				fmt.Sprintf("platform, platform/entry-1 to platform/entry-%d, engine-1 to engine-%d, or service", f.Routers, f.Engines))
		}
	}
}

// hasTarget reports whether the fault's target is part of the fleet.
func (f Fault) hasTarget(fleet FleetSpec) bool {
	if f.Target == targetPlatform || f.Target == targetService {
		return true
	}
	if number, found := strings.CutPrefix(f.Target, platformClientPrefix+"entry-"); found {
		return isNumberUpTo(number, fleet.Routers)
	}
	number, found := strings.CutPrefix(f.Target, enginePrefix)
	return found && isNumberUpTo(number, fleet.Engines)
}

// isNumberUpTo reports whether text is a number from 1 to maximum.
func isNumberUpTo(text string, maximum int) bool {
	n, err := strconv.Atoi(text)
	return err == nil && n >= 1 && n <= maximum
}

// platformFaults returns the fields of f that apply to the platform.
func (f Fault) platformFaults() memory.Faults {
	return memory.Faults{Outage: f.Outage, Delay: f.Delay, LoseResponses: f.LoseResponses}
}

// engineFaults returns the fields of f that apply to an engine.
func (f Fault) engineFaults() standin.EngineFaults {
	return standin.EngineFaults{
		SlowFactor: f.SlowFactor, Refuse: f.Refuse, Hang: f.Hang, Leaving: f.Leaving, FirstTokenDelay: f.Delay,
		BreakAfter: f.BreakAfter, TruncateAfter: f.TruncateAfter, StallAfter: f.StallAfter,
	}
}

// serviceFaults returns the fields of f that apply to the service.
func (f Fault) serviceFaults() standin.ServiceFaults {
	return standin.ServiceFaults{Refuse: f.Refuse, DelayBefore: f.Delay, Leaving: f.Leaving}
}
