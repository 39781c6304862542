package budget

import (
	"fmt"
	"time"
)

// GrantPolicy decides how large the grants of a workspace's budgets are.
type GrantPolicy struct {
	// Horizon is how long the available tokens of a grant should last at the
	// current spending rate; this defines the target headroom of the grant.
	Horizon time.Duration `json:"horizon"`
	// LowWaterMark is the fraction of the target headroom below which the
	// holder draws more tokens ahead of need.
	LowWaterMark float64 `json:"low_water"`
	// MaxDrawShare bounds one draw to this fraction of the unspent tokens
	// divided by the number of open grants, so that few tokens are stranded in
	// other grants when the budget is nearly spent.
	MaxDrawShare float64 `json:"rest_share"`
	// MaxGrantShare bounds a grant to this fraction of the paid tokens, so
	// that few tokens are in doubt after a crash.
	MaxGrantShare float64 `json:"held_share"`
	// IdleAfter is the time without a request after which a grant is returned.
	IdleAfter time.Duration `json:"idle_after"`
	// MinReplicas is the number of peers that must store a bill before its
	// request is settled while the platform is unreachable. A bill without a
	// replica is lost with the process, so reservations are refused while
	// fewer peers are reachable.
	MinReplicas int `json:"min_copies"`
}

// Settings configure a holder.
type Settings struct {
	// SmallHoldings is the policy of workspaces that prefer small grants, with
	// few tokens in doubt after a crash. ServeOutages is the policy of
	// workspaces that prefer to be served during an outage of the platform.
	SmallHoldings GrantPolicy `json:"small_holdings"`
	ServeOutages  GrantPolicy `json:"serve"`
	// MaxWait bounds the time a reservation waits for tokens. The wait also
	// ends after half of the time to the deadline of its context.
	MaxWait time.Duration `json:"wait_max"`
	// MaxWaiting bounds the number of reservations that wait for tokens of one
	// budget.
	MaxWaiting int `json:"max_waiting"`
	// CallTimeout bounds each operation on the platform, including its
	// retries, and each recall of tokens from other holders.
	CallTimeout time.Duration `json:"call_timeout"`
	// RetryBackoff is the wait after a failed draw or return.
	RetryBackoff time.Duration `json:"retry_after"`
	// IdleCheckInterval is the interval between two searches for idle grants.
	IdleCheckInterval time.Duration `json:"idle_check"`
	// Linger is how long the first bill of a group waits for others before the
	// group may be written. Bills that arrive while the previous batch is
	// written are batched in any case.
	Linger time.Duration `json:"linger"`
	// MaxBatch bounds the number of bills in one row.
	MaxBatch int `json:"max_batch"`
	// MaxUnwritten bounds the number of bills that wait to be written; at the
	// bound, new reservations are refused. The same bound applies to the bill
	// replicas stored for other holders.
	MaxUnwritten int `json:"max_unwritten"`
	// Replicas is the number of peers that store each bill during an outage.
	// ReplicateAfter is how long a bill may wait to be written before it is
	// replicated even if no write has failed.
	Replicas       int           `json:"copies"`
	ReplicateAfter time.Duration `json:"copy_after"`
	// MaxReplays bounds how often a request with an already billed caller's
	// key is served again without a full charge.
	MaxReplays int `json:"max_replays"`
	// ShareRowThreshold is the number of open grants on a budget's row from
	// which on new grants are drawn on the share row of their failure domain
	// instead, which reduces conflicts on the budget's row.
	ShareRowThreshold int64 `json:"share_drawers"`
}

// DefaultSettings returns the default settings.
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

// Problem describes one invalid value of the settings.
type Problem struct {
	// Path is the JSON path of the value relative to the settings.
	Path string
	// Value is the invalid value and Want describes the valid ones.
	Value string
	Want  string
}

// Validate returns all problems of the settings.
func (s Settings) Validate() []Problem {
	var problems []Problem
	require := func(ok bool, path string, value any, want string) {
		if !ok {
			problems = append(problems, Problem{Path: path, Value: fmt.Sprint(value), Want: want})
		}
	}
	for path, policy := range map[string]GrantPolicy{"small_holdings": s.SmallHoldings, "serve": s.ServeOutages} {
		require(policy.Horizon > 0, path+".horizon", policy.Horizon, "a duration above 0")
		require(policy.IdleAfter > 0, path+".idle_after", policy.IdleAfter, "a duration above 0")
		require(policy.MinReplicas >= 0 && policy.MinReplicas <= s.Replicas, path+".min_copies", policy.MinReplicas, "a number from 0 to copies")
		require(policy.LowWaterMark > 0 && policy.LowWaterMark <= 1, path+".low_water", policy.LowWaterMark, "a share above 0, at most 1")
		require(policy.MaxDrawShare > 0 && policy.MaxDrawShare <= 1, path+".rest_share", policy.MaxDrawShare, "a share above 0, at most 1")
		require(policy.MaxGrantShare > 0 && policy.MaxGrantShare <= 1, path+".held_share", policy.MaxGrantShare, "a share above 0, at most 1")
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
