package budget

import (
	"fmt"
	"time"
)

// Lean is the size policy of a workspace's grants.
type GrantPolicy struct {
	// Horizon is the time of spending, at the present rate, that a grant
	// should cover.
	Horizon time.Duration `json:"horizon"`
	// LowWater is the share of that stock below which more is drawn.
	LowWaterMark float64 `json:"low_water"`
	// RestShare bounds a draw by a share of the unspent tokens, divided by
	// the number of open grants, so that little is stranded near the end.
	MaxDrawShare float64 `json:"rest_share"`
	// HeldShare bounds what a grant holds by a share of the paid tokens, so
	// that little is in doubt after a crash.
	MaxGrantShare float64 `json:"held_share"`
	// IdleAfter is the time without a request after which a grant goes back.
	IdleAfter time.Duration `json:"idle_after"`
	// MinCopies is the number of peers that must keep a bill before its
	// request is settled while the platform is away. With fewer in reach, a
	// bill is lost with the process, and reservations are refused.
	MinReplicas int `json:"min_copies"`
}

// Settings are the settings of a holder.
type Settings struct {
	// Small is the lean of workspaces that want little out on grant, and
	// Serve of those that want to be served during an outage.
	SmallHoldings GrantPolicy `json:"small_holdings"`
	ServeOutages  GrantPolicy `json:"serve"`
	// WaitMax bounds the wait of a reservation for tokens; it also ends after
	// half of the time to its context's deadline.
	MaxWait time.Duration `json:"wait_max"`
	// MaxWaiting bounds the reservations of one budget that wait.
	MaxWaiting int `json:"max_waiting"`
	// CallTimeout bounds one step at the platform.
	CallTimeout time.Duration `json:"call_timeout"`
	// RetryAfter is the pause after a failed draw.
	RetryBackoff time.Duration `json:"retry_after"`
	// IdleCheck is the interval of the search for idle grants.
	IdleCheckInterval time.Duration `json:"idle_check"`
	// Linger is how long a bill waits for others that share its row, besides
	// those that come while the row before is written.
	Linger time.Duration `json:"linger"`
	// MaxBatch bounds the bills of one row.
	MaxBatch int `json:"max_batch"`
	// MaxUnwritten bounds the bills that wait for the platform; at the bound
	// new reservations are refused.
	MaxUnwritten int `json:"max_unwritten"`
	// Copies is the number of peers that keep a bill during an outage, and
	// CopyAfter how long a write may take before its bills are copied.
	Replicas       int           `json:"copies"`
	ReplicateAfter time.Duration `json:"copy_after"`
	// MaxReplays bounds how often one caller's key is served again without
	// a bill.
	MaxReplays int `json:"max_replays"`
	// ShareDrawers is the number of open grants of one budget above which
	// further ones draw on the share row of their failure domain.
	ShareRowThreshold int64 `json:"share_drawers"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		SmallHoldings:     GrantPolicy{Horizon: 20 * time.Second, LowWaterMark: 0.5, MaxDrawShare: 0.25, MaxGrantShare: 0.0025, IdleAfter: 5 * time.Minute, MinReplicas: 1},
		ServeOutages:      GrantPolicy{Horizon: 15 * time.Minute, LowWaterMark: 0.8, MaxDrawShare: 0.5, MaxGrantShare: 0.0085, IdleAfter: 30 * time.Minute},
		MaxWait:           10 * time.Second,
		MaxWaiting:        1024,
		CallTimeout:       10 * time.Second,
		RetryBackoff:      250 * time.Millisecond,
		IdleCheckInterval: 5 * time.Second,
		Linger:            0,
		MaxBatch:          500,
		MaxUnwritten:      200_000,
		Replicas:          2,
		ReplicateAfter:    2 * time.Second,
		MaxReplays:        3,
		ShareRowThreshold: 16,
	}
}

// Problem is one wrong value of the settings.
type Problem struct {
	// Path is the JSON path of the value below the settings.
	Path string
	// Value is the wrong value and Want says what would be right.
	Value string
	Want  string
}

// Validate returns every problem of the settings.
func (s Settings) Validate() []Problem {
	var problems []Problem
	require := func(ok bool, path string, value any, want string) {
		if !ok {
			problems = append(problems, Problem{Path: path, Value: fmt.Sprint(value), Want: want})
		}
	}
	for path, lean := range map[string]GrantPolicy{"small_holdings": s.SmallHoldings, "serve": s.ServeOutages} {
		require(lean.Horizon > 0, path+".horizon", lean.Horizon, "a duration above 0")
		require(lean.IdleAfter > 0, path+".idle_after", lean.IdleAfter, "a duration above 0")
		require(lean.MinReplicas >= 0 && lean.MinReplicas <= s.Replicas, path+".min_copies", lean.MinReplicas, "a number from 0 to copies")
		require(lean.LowWaterMark > 0 && lean.LowWaterMark <= 1, path+".low_water", lean.LowWaterMark, "a share above 0, at most 1")
		require(lean.MaxDrawShare > 0 && lean.MaxDrawShare <= 1, path+".rest_share", lean.MaxDrawShare, "a share above 0, at most 1")
		require(lean.MaxGrantShare > 0 && lean.MaxGrantShare <= 1, path+".held_share", lean.MaxGrantShare, "a share above 0, at most 1")
	}
	for path, d := range map[string]time.Duration{
		"wait_max": s.MaxWait, "call_timeout": s.CallTimeout, "retry_after": s.RetryBackoff,
		"idle_check": s.IdleCheckInterval, "copy_after": s.ReplicateAfter,
	} {
		require(d > 0, path, d, "a duration above 0")
	}
	for path, n := range map[string]int{
		"max_waiting": s.MaxWaiting, "max_batch": s.MaxBatch, "max_unwritten": s.MaxUnwritten,
		"share_drawers": int(s.ShareRowThreshold),
	} {
		require(n > 0, path, n, "a number above 0")
	}
	require(s.Linger >= 0, "linger", s.Linger, "a duration from 0")
	require(s.Replicas >= 0, "copies", s.Replicas, "a number from 0")
	require(s.MaxReplays >= 0, "max_replays", s.MaxReplays, "a number from 0")
	return problems
}
