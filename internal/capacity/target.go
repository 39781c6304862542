package capacity

// Target is the size of a fleet and its load at the peak.
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
	// ReplacedPerDay counts VMs that fail, are restarted or replaced.
	ReplacedPerDay float64 `json:"replaced_per_day"`
	// FailedPerDay counts those of them that fail.
	FailedPerDay float64 `json:"failed_per_day"`
	// CallShare is the share of the requests that are calls of plain
	// services that may not be repeated, and KeyShare the share of the other
	// requests that carry an idempotency key. Both are assumptions.
	CallShare float64 `json:"call_share"`
	KeyShare  float64 `json:"key_share"`
	// TokenGap is the time between two tokens of a stream, in seconds.
	TokenGapSeconds float64 `json:"token_gap_seconds"`
}

// DefaultTarget returns the size that the fleet has to reach.
func DefaultTarget() Target {
	return Target{
		Daemons: 380, Endpoints: 1900, RequestsPerSec: 5900, TokensPerSec: 2.2e6,
		Budgets: 110_000, Workspaces: 16_000, Models: 39, Regions: 4, FailureDomains: 16,
		ChangesPerDay: 2500, ReplacedPerDay: 33 + 170, FailedPerDay: 33,
		CallShare: 0.05, KeyShare: 0.2, TokenGapSeconds: 0.039,
	}
}

// Bounds of the control work.
const (
	// MaxControlCPU is in cores for one daemon.
	MaxControlCPU = 0.042
	// MaxMemory is in bytes for one daemon.
	MaxMemory = 128e6
	// MaxControlBytes is in bytes a second for one daemon.
	MaxControlBytes = 3e3
	// MaxTableWrites and MaxTableReads are rows a second for the whole fleet.
	MaxTableWrites = 500
	MaxTableReads  = 2000
)

const secondsPerDay = 86400

// requestsPerDaemon is the share of one daemon, in requests a second.
func (t Target) requestsPerDaemon() float64 { return t.RequestsPerSec / t.Daemons }

// changesPerSec is the rate of changes at ten times the mean of the day.
func (t Target) changesPerSec() float64 { return t.ChangesPerDay / secondsPerDay * peakOverMean }

// peakOverMean is the ratio of the busiest hours to the mean of the day that
// is reckoned with for changes and replacements.
const peakOverMean = 10
