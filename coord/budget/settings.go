package budget

import (
	"fmt"
	"time"
)

// Lean is the size policy of a workspace's grants.
type Lean struct {
	// Horizon is the time of spending, at the present rate, that a grant
	// should cover.
	Horizon time.Duration `json:"horizon"`
	// LowWater is the share of that stock below which more is drawn.
	LowWater float64 `json:"low_water"`
	// RestShare bounds a draw by a share of the unspent tokens, divided by
	// the number of open grants, so that little is stranded near the end.
	RestShare float64 `json:"rest_share"`
	// HeldShare bounds what a grant holds by a share of the paid tokens, so
	// that little is in doubt after a crash.
	HeldShare float64 `json:"held_share"`
	// IdleAfter is the time without a request after which a grant goes back.
	IdleAfter time.Duration `json:"idle_after"`
	// MinCopies is the number of peers that must keep a bill before its
	// request is settled while the platform is away. With fewer in reach, a
	// bill is lost with the process, and reservations are refused.
	MinCopies int `json:"min_copies"`
}

// Settings are the settings of a holder.
type Settings struct {
	// Small is the lean of workspaces that want little out on grant, and
	// Serve of those that want to be served during an outage.
	Small Lean `json:"small_holdings"`
	Serve Lean `json:"serve"`
	// WaitMax bounds the wait of a reservation for tokens; it also ends after
	// half of the time to its context's deadline.
	WaitMax time.Duration `json:"wait_max"`
	// MaxWaiting bounds the reservations of one budget that wait.
	MaxWaiting int `json:"max_waiting"`
	// CallTimeout bounds one step at the platform.
	CallTimeout time.Duration `json:"call_timeout"`
	// RetryAfter is the pause after a failed draw.
	RetryAfter time.Duration `json:"retry_after"`
	// IdleCheck is the interval of the search for idle grants.
	IdleCheck time.Duration `json:"idle_check"`
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
	Copies    int           `json:"copies"`
	CopyAfter time.Duration `json:"copy_after"`
	// MaxReplays bounds how often one caller's key is served again without
	// a bill.
	MaxReplays int `json:"max_replays"`
	// ShareDrawers is the number of open grants of one budget above which
	// further ones draw on the share row of their failure domain.
	ShareDrawers int64 `json:"share_drawers"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Small:        Lean{Horizon: 20 * time.Second, LowWater: 0.5, RestShare: 0.25, HeldShare: 0.0025, IdleAfter: 5 * time.Minute, MinCopies: 1},
		Serve:        Lean{Horizon: 15 * time.Minute, LowWater: 0.8, RestShare: 0.5, HeldShare: 0.0085, IdleAfter: 30 * time.Minute},
		WaitMax:      10 * time.Second,
		MaxWaiting:   1024,
		CallTimeout:  10 * time.Second,
		RetryAfter:   250 * time.Millisecond,
		IdleCheck:    5 * time.Second,
		Linger:       0,
		MaxBatch:     500,
		MaxUnwritten: 200_000,
		Copies:       2,
		CopyAfter:    2 * time.Second,
		MaxReplays:   3,
		ShareDrawers: 16,
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
	for path, lean := range map[string]Lean{"small_holdings": s.Small, "serve": s.Serve} {
		require(lean.Horizon > 0, path+".horizon", lean.Horizon, "a duration above 0")
		require(lean.IdleAfter > 0, path+".idle_after", lean.IdleAfter, "a duration above 0")
		require(lean.MinCopies >= 0 && lean.MinCopies <= s.Copies, path+".min_copies", lean.MinCopies, "a number from 0 to copies")
		require(lean.LowWater > 0 && lean.LowWater <= 1, path+".low_water", lean.LowWater, "a share above 0, at most 1")
		require(lean.RestShare > 0 && lean.RestShare <= 1, path+".rest_share", lean.RestShare, "a share above 0, at most 1")
		require(lean.HeldShare > 0 && lean.HeldShare <= 1, path+".held_share", lean.HeldShare, "a share above 0, at most 1")
	}
	for path, d := range map[string]time.Duration{
		"wait_max": s.WaitMax, "call_timeout": s.CallTimeout, "retry_after": s.RetryAfter,
		"idle_check": s.IdleCheck, "copy_after": s.CopyAfter,
	} {
		require(d > 0, path, d, "a duration above 0")
	}
	for path, n := range map[string]int{
		"max_waiting": s.MaxWaiting, "max_batch": s.MaxBatch, "max_unwritten": s.MaxUnwritten,
		"share_drawers": int(s.ShareDrawers),
	} {
		require(n > 0, path, n, "a number above 0")
	}
	require(s.Linger >= 0, "linger", s.Linger, "a duration from 0")
	require(s.Copies >= 0, "copies", s.Copies, "a number from 0")
	require(s.MaxReplays >= 0, "max_replays", s.MaxReplays, "a number from 0")
	return problems
}
