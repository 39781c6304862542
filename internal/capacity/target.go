package capacity

// Target is the size of a fleet and its peak load.
type Target struct {
	Daemons        float64 `json:"daemons"`
	Endpoints      float64 `json:"workers"`
	RequestsPerSec float64 `json:"requests_per_second"`
	TokensPerSec   float64 `json:"tokens_per_second"`
	Budgets        float64 `json:"budgets"`
	Workspaces     float64 `json:"workspaces"`
	Models         float64 `json:"models"`
	Regions        float64 `json:"regions"`
	FailureDomains float64 `json:"domains"`
	ChangesPerDay  float64 `json:"changes_per_day"`
	// ReplacedPerDay is the number of VMs that fail, are restarted or are replaced.
	ReplacedPerDay float64 `json:"replaced_per_day"`
	// FailedPerDay is the number of those VMs that fail.
	FailedPerDay float64 `json:"failed_per_day"`
	// CallShare is the share of the requests, from 0 to 1, that are calls of plain
	// services that must not be retried. KeyShare is the share of the other
	// requests that carry an idempotency key. Both are assumptions.
	CallShare float64 `json:"call_share"`
	KeyShare  float64 `json:"key_share"`
	// TokenGapSeconds is the time between two tokens of a stream.
	TokenGapSeconds float64 `json:"token_gap_seconds"`
}

// DefaultTarget returns the size and the load that the fleet must be able to reach.
func DefaultTarget() Target {
	return Target{
		Daemons: 380, Endpoints: 1900, RequestsPerSec: 5900, TokensPerSec: 2.2e6,
		Budgets: 110_000, Workspaces: 16_000, Models: 39, Regions: 4, FailureDomains: 16,
		ChangesPerDay: 2500, ReplacedPerDay: 33 + 170, FailedPerDay: 33,
		CallShare: 0.05, KeyShare: 0.2, TokenGapSeconds: 0.039,
	}
}

// Bounds of the control work, which is all work but that on callers' requests.
const (
	// MaxControlCPU is in cores per daemon.
	MaxControlCPU = 0.042
	// MaxMemory is in bytes per daemon.
	MaxMemory = 128e6
	// MaxControlBytes is in bytes per second and daemon.
	MaxControlBytes = 3e3
	// MaxTableWrites and MaxTableReads are in rows per second for the whole fleet.
	MaxTableWrites = 500
	MaxTableReads  = 2000
)

const secondsPerDay = 86400

// requestsPerDaemon returns the request rate of one daemon, per second.
func (t Target) requestsPerDaemon() float64 { return t.RequestsPerSec / t.Daemons }

// peakChangesPerSec returns the rate of configuration changes in the busiest hours, per
// second.
func (t Target) peakChangesPerSec() float64 { return t.ChangesPerDay / secondsPerDay * peakToMeanRatio }

// peakToMeanRatio is the assumed ratio of the rate in the busiest hours to the mean rate of
// the day, for changes and replacements.
const peakToMeanRatio = 10
