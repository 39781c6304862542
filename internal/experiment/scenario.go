// Package experiment runs a development fleet through the phases of a
// scenario, under load and with faults, and reports what callers saw.
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

// Scenario is one experiment.
type Scenario struct {
	Name string `json:"name"`
	// Seed makes the prompts repeatable.
	Seed   uint64  `json:"seed"`
	Fleet  Fleet   `json:"fleet"`
	Load   Load    `json:"load"`
	Phases []Phase `json:"phases"`
}

// Fleet describes the routers and the engines.
type Fleet struct {
	Routers      int   `json:"routers"`
	Engines      int   `json:"engines"`
	BudgetTokens int64 `json:"budget_tokens"`
	// TokenTime and PrefillTime are an engine's times for a token of an
	// answer and of a prompt.
	TokenTime   time.Duration `json:"token_time"`
	PrefillTime time.Duration `json:"prefill_time"`
	// Slots is the number of streams that an engine runs at once.
	Slots int `json:"slots"`
	// BatchSlowdown is the growth of TokenTime when all slots run.
	BatchSlowdown float64 `json:"batch_slowdown"`
}

// Load describes the requests.
type Load struct {
	// Streams bounds the requests in flight.
	Streams     int           `json:"streams"`
	MaxTokens   int           `json:"max_tokens"`
	PromptWords int           `json:"prompt_words"`
	SharedWords int           `json:"shared_words"`
	Groups      int           `json:"groups"`
	Deadline    time.Duration `json:"deadline"`
}

// Phase is a stretch of time with one rate of requests and one set of faults;
// what a phase does not name is healthy.
type Phase struct {
	Name     string        `json:"name"`
	Duration time.Duration `json:"duration"`
	// Rate is the number of requests a second over all routers; 0 sends as
	// fast as the streams go.
	Rate   float64 `json:"rate"`
	Faults []Fault `json:"faults"`
}

// Fault is a fault of one part of the fleet.
type Fault struct {
	// Target is "platform", "platform/entry-N" for one router's view of it,
	// "engine-N" or "service".
	Target string `json:"target"`
	// Outage, Delay and LoseReplies are faults of the platform; Delay also of
	// the service, and of an engine's first token.
	Outage      bool          `json:"outage"`
	Delay       time.Duration `json:"delay"`
	LoseReplies int           `json:"lose_replies"`
	// The others are faults of an engine.
	SlowFactor    float64 `json:"slow_factor"`
	Refuse        bool    `json:"refuse"`
	Silent        bool    `json:"silent"`
	Leaving       bool    `json:"leaving"`
	BreakAfter    int     `json:"break_after"`
	TruncateAfter int     `json:"truncate_after"`
	StallAfter    int     `json:"stall_after"`
}

// The targets of faults.
const (
	targetPlatform = "platform"
	targetService  = "service"
	enginePrefix   = "engine-"
	viewPrefix     = targetPlatform + "/"
)

// DefaultScenario returns the values of fields that a file does not name.
func DefaultScenario() Scenario {
	return Scenario{
		Name: "experiment",
		Seed: 1,
		Fleet: Fleet{
			Routers: 3, Engines: 4, BudgetTokens: 100_000_000, TokenTime: 10 * time.Millisecond,
			PrefillTime: 50 * time.Microsecond, Slots: 16, BatchSlowdown: 1,
		},
		Load: Load{Streams: 256, MaxTokens: 32, PromptWords: 64, SharedWords: 32, Groups: 16, Deadline: 10 * time.Second},
	}
}

// Read reads and checks the scenario file at path.
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

// Parse reads a scenario from JSON over the defaults and checks it.
func Parse(data []byte) (Scenario, error) {
	s := DefaultScenario()
	var problems check.List
	if err := strictjson.Decode(data, &s, &problems); err != nil {
		return Scenario{}, err
	}
	s.validate(&problems)
	return s, problems.Err()
}

// Bounds of a scenario.
const (
	longestPhase = time.Hour
	mostRouters  = 32
	mostEngines  = 256
)

func (s Scenario) validate(l *check.List) {
	l.Required("name", s.Name)
	between(l, "fleet.routers", s.Fleet.Routers, mostRouters)
	between(l, "fleet.engines", s.Fleet.Engines, mostEngines)
	l.Positive("fleet.budget_tokens", s.Fleet.BudgetTokens)
	l.Duration("fleet.token_time", s.Fleet.TokenTime, 0, time.Minute)
	l.Duration("fleet.prefill_time", s.Fleet.PrefillTime, 0, time.Minute)
	l.Positive("fleet.slots", int64(s.Fleet.Slots))
	l.Positive("load.streams", int64(s.Load.Streams))
	l.Positive("load.max_tokens", int64(s.Load.MaxTokens))
	l.Positive("load.prompt_words", int64(s.Load.PromptWords))
	l.Positive("load.groups", int64(s.Load.Groups))
	if s.Load.SharedWords < 0 || s.Load.SharedWords > s.Load.PromptWords {
		l.Add("load.shared_words", s.Load.SharedWords, "0 to load.prompt_words")
	}
	if len(s.Phases) == 0 {
		l.Add("phases", 0, "one phase or more")
	}
	for i, p := range s.Phases {
		p.validate(l, fmt.Sprintf("phases[%d]", i), s.Fleet)
	}
}

func between(l *check.List, path string, value, most int) {
	if value < 1 || value > most {
		l.Add(path, value, fmt.Sprintf("a number from 1 to %d", most))
	}
}

func (p Phase) validate(l *check.List, path string, f Fleet) {
	l.Required(path+".name", p.Name)
	l.Duration(path+".duration", p.Duration, time.Millisecond, longestPhase)
	if p.Rate < 0 {
		l.Add(path+".rate", p.Rate, "0 or more requests a second")
	}
	for i, fault := range p.Faults {
		if !fault.known(f) {
			l.Add(fmt.Sprintf("%s.faults[%d].target", path, i), fault.Target,
				fmt.Sprintf("platform, platform/entry-1 to platform/entry-%d, engine-1 to engine-%d, or service", f.Routers, f.Engines))
		}
	}
}

// known reports whether the fleet has the fault's target.
func (f Fault) known(fleet Fleet) bool {
	if f.Target == targetPlatform || f.Target == targetService {
		return true
	}
	if rest, found := strings.CutPrefix(f.Target, viewPrefix+"entry-"); found {
		return numbered(rest, fleet.Routers)
	}
	rest, found := strings.CutPrefix(f.Target, enginePrefix)
	return found && numbered(rest, fleet.Engines)
}

func numbered(text string, most int) bool {
	n, err := strconv.Atoi(text)
	return err == nil && n >= 1 && n <= most
}

// platform, engine and service return the fault as the stand-ins take it.
func (f Fault) platform() memory.Faults {
	return memory.Faults{Outage: f.Outage, Delay: f.Delay, LoseResponses: f.LoseReplies}
}

func (f Fault) engine() standin.EngineFaults {
	return standin.EngineFaults{
		SlowFactor: f.SlowFactor, Refuse: f.Refuse, Hang: f.Silent, Leaving: f.Leaving, FirstTokenDelay: f.Delay,
		BreakAfter: f.BreakAfter, TruncateAfter: f.TruncateAfter, StallAfter: f.StallAfter,
	}
}

func (f Fault) service() standin.ServiceFaults {
	return standin.ServiceFaults{Refuse: f.Refuse, DelayBefore: f.Delay, Leaving: f.Leaving}
}
