// Package prepaid enforces prepaid token totals of workspaces by escrow on a row
// store. A holder draws a grant from the workspace's total before it spends. All
// grants together never exceed the limit, so a holder that is partitioned,
// suspended or resumed can spend only what is already set aside for it.
//
// A holder may spend the part of its grant that it has activated by a write. The
// remaining, inactive part is unlocked gradually while the holder does not reach
// the store, and completely after Settings.UnlockWithin. A process that starts on
// the same VM, where its predecessor is certainly dead, therefore knows from the
// time of the last heartbeat how much of the orphaned grant can have been spent at
// most, and returns what is above that.
//
// Rows, each in the partition of its workspace except for the last two:
//
//	prepaid/WORKSPACE/total      the sum of all grants
//	prepaid/WORKSPACE/grant/...  one grant, written by its holder only
//	prepaid_holders//VM          the last heartbeat of a VM's process
//	prepaid_wanted//WORKSPACE    a recall request: holders return what they do not need
package prepaid

import (
	"errors"
	"time"
)

// Errors of reservations. They are wrapped with the workspace.
var (
	// ErrExhausted: the total has too few tokens that are neither spent nor
	// reserved.
	ErrExhausted = errors.New("prepaid total exhausted")
	// ErrBusy: too few tokens are available, but other holders have some that may
	// be returned; a retry can succeed.
	ErrBusy = errors.New("prepaid tokens held elsewhere")
	// ErrUnavailable: the store was not reached and the grant is too small.
	ErrUnavailable = errors.New("prepaid store unavailable")
	// ErrUnlimited: no limit is known for the workspace.
	ErrUnlimited = errors.New("workspace without prepaid limit")
	// ErrClosed: the holder accepts no more reservations.
	ErrClosed = errors.New("prepaid holder closed")
)

// Settings are the settings of a holder.
type Settings struct {
	// Horizon is the time for which the headroom of a grant, its tokens beyond those
	// spent and reserved, should last at the current rate of use. It is also roughly
	// how long a holder can serve without the store.
	Horizon time.Duration `json:"horizon"`
	// LowWaterMark is the fraction of the intended headroom below which more tokens
	// are drawn.
	LowWaterMark float64 `json:"low_water"`
	// HeadroomShare bounds the headroom of all grants together by a share of the
	// unspent tokens. Each grant's part of it follows its share of the use.
	HeadroomShare float64 `json:"stock_share"`
	// ScarceShare replaces HeadroomShare while tokens are scarce, that is, while
	// one holder lacks tokens that others have.
	ScarceShare float64 `json:"scarce_share"`
	// ScarceFor is how long tokens count as scarce after a recall request.
	ScarceFor time.Duration `json:"scarce_for"`
	// Surplus is the multiple of the intended headroom above which a grant returns
	// tokens.
	Surplus float64 `json:"surplus"`
	// UnlockAfter and UnlockWithin are the times without a heartbeat after which a
	// holder may start to spend its inactive tokens, and may spend all of them.
	UnlockAfter  time.Duration `json:"release_after"`
	UnlockWithin time.Duration `json:"release_within"`
	// UnlockWait is the longest time that a reservation waits for tokens to be
	// unlocked.
	UnlockWait time.Duration `json:"release_wait"`
	// ActivateAhead is the time for which the activated tokens should last at the
	// current rate of use.
	ActivateAhead time.Duration `json:"clear_ahead"`
	// ActivateShare bounds the tokens that all holders activate ahead of use by a
	// share of the limit, since these are lost if all holders die.
	ActivateShare float64 `json:"clear_share"`
	// HeartbeatInterval is the mean interval between heartbeats.
	HeartbeatInterval time.Duration `json:"contact_every"`
	// CheckInterval is the mean interval between checks for surplus tokens.
	CheckInterval time.Duration `json:"check_every"`
	// MinStoreWait and MaxStoreWait bound how long a reservation waits for the
	// store, which is StoreWaitFactor times the store's mean response time. A
	// caller that waits no longer can retry at another holder and still be on time.
	MinStoreWait    time.Duration `json:"wait_least"`
	MaxStoreWait    time.Duration `json:"wait_most"`
	StoreWaitFactor float64       `json:"wait_factor"`
	// RecallWait is the longest wait for other holders to return tokens.
	RecallWait time.Duration `json:"ask_wait"`
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration `json:"call_timeout"`
	// RetryInterval is the wait after a failed call to the store. An account whose
	// calls keep failing waits longer.
	RetryInterval time.Duration `json:"retry_after"`
	// ShortageFor is how long a shortage that was read from the store is assumed to
	// last without another read.
	ShortageFor time.Duration `json:"short_for"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Horizon:           10 * time.Second, // a typical store outage, 8 s, and some use above the mean
		LowWaterMark:      0.7,
		HeadroomShare:     0.75, // headroom is lost if all holders die during a store outage; the remaining tokens serve after that
		ScarceShare:       0.4,
		ScarceFor:         5 * time.Second, // half the horizon
		Surplus:           1.5,
		UnlockAfter:       1500 * time.Millisecond, // about the restart time of a killed process
		UnlockWithin:      8 * time.Second,         // a typical store outage
		UnlockWait:        400 * time.Millisecond,  // a typical latency objective
		ActivateAhead:     1500 * time.Millisecond, // covers the use until tokens are unlocked
		ActivateShare:     0.015,                   // at most 3% of the limit may be stranded, which includes the tokens in use
		HeartbeatInterval: 500 * time.Millisecond,  // a quarter of a restart's duration, in which few tokens are unlocked
		CheckInterval:     time.Second,
		MinStoreWait:      100 * time.Millisecond, // ten typical response times, a fifth of a typical latency objective
		MaxStoreWait:      time.Second,
		StoreWaitFactor:   5,
		RecallWait:        300 * time.Millisecond, // what remains of a typical latency objective after the request's own work
		CallTimeout:       700 * time.Millisecond, // twice the response time of a slow store
		RetryInterval:     100 * time.Millisecond,
		ShortageFor:       500 * time.Millisecond,
	}
}

// UnlockedShare returns the share of inactive tokens that is unlocked a given time
// after the last heartbeat, from 0 to 1.
func (s Settings) UnlockedShare(sinceHeartbeat time.Duration) float64 {
	return min(max((sinceHeartbeat-s.UnlockAfter).Seconds()/(s.UnlockWithin-s.UnlockAfter).Seconds(), 0), 1)
}

// Problem describes an invalid setting.
type Problem struct {
	// Name is the name of the setting in JSON.
	Name  string
	Value any
	// Want describes the valid values.
	Want string
}

// Validate returns all invalid settings.
func (s Settings) Validate() []Problem {
	var problems []Problem
	require := func(ok bool, name string, value any, want string) {
		if !ok {
			problems = append(problems, Problem{Name: name, Value: value, Want: want})
		}
	}
	requirePositive := func(name string, d time.Duration) { require(d > 0, name, d, "a duration above 0") }
	requireNonNegative := func(name string, d time.Duration) { require(d >= 0, name, d, "a duration from 0") }
	requireShare := func(name string, v float64) { require(v > 0 && v <= 1, name, v, "a share above 0, at most 1") }
	requirePositive("horizon", s.Horizon)
	requireShare("low_water", s.LowWaterMark)
	requireShare("stock_share", s.HeadroomShare)
	require(s.ScarceShare >= 0 && s.ScarceShare <= s.HeadroomShare, "scarce_share", s.ScarceShare, "a share from 0 to stock_share")
	require(s.Surplus >= 1, "surplus", s.Surplus, "a factor from 1")
	require(s.UnlockAfter >= 0 && s.UnlockAfter < s.UnlockWithin, "release_after", s.UnlockAfter, "a duration from 0, below release_within")
	requireNonNegative("release_wait", s.UnlockWait)
	requireNonNegative("clear_ahead", s.ActivateAhead)
	requireShare("clear_share", s.ActivateShare)
	requirePositive("contact_every", s.HeartbeatInterval)
	requireNonNegative("scarce_for", s.ScarceFor)
	requirePositive("check_every", s.CheckInterval)
	requirePositive("wait_least", s.MinStoreWait)
	require(s.MaxStoreWait >= s.MinStoreWait, "wait_most", s.MaxStoreWait, "at least wait_least")
	require(s.StoreWaitFactor >= 1, "wait_factor", s.StoreWaitFactor, "a factor from 1")
	requireNonNegative("ask_wait", s.RecallWait)
	requirePositive("call_timeout", s.CallTimeout)
	requirePositive("retry_after", s.RetryInterval)
	requireNonNegative("short_for", s.ShortageFor)
	return problems
}

// The tables of the ledger.
const (
	ledgerTable  = "prepaid"
	holdersTable = "prepaid_holders"
	recallTable  = "prepaid_wanted"
)

// totalName is the name of the row that all holders of a workspace share.
const totalName = "total"

// totalRow sums up the grants of a workspace, in tokens.
type totalRow struct {
	// Granted is what open grants have drawn, spent or not, plus what closed grants
	// spent.
	Granted int64 `json:"granted"`
	// Spent is what holders have reported as spent.
	Spent int64 `json:"spent"`
	// OpenGrants is the number of open grants.
	OpenGrants int64 `json:"open"`
	// RecentSpent is Spent with an exponential decay of shareTimeConstant, as of
	// the store's clock at RecentAsOfMs, in milliseconds.
	RecentSpent  float64 `json:"recent"`
	RecentAsOfMs int64   `json:"recent_ms"`
	// Limit and Revision are the newest limit under which a holder has drawn
	// tokens.
	Limit    int64 `json:"limit"`
	Revision int64 `json:"revision"`
}

// grantRow is the grant of one holder, in tokens. Only that holder writes it, and
// after its death a successor on its VM, which removes it.
type grantRow struct {
	// Granted is what was drawn and not returned.
	Granted int64 `json:"granted"`
	// Activated is the part of Granted that the holder may spend while it reaches
	// the store.
	Activated int64 `json:"cleared"`
	// Spent is the part of Granted that the total includes as spent.
	Spent int64 `json:"spent"`
	// InUse is what was spent or reserved when the row was written.
	InUse int64 `json:"used"`
	// StoreMs is a lower bound of the store's clock when the row was written, in
	// milliseconds.
	StoreMs int64 `json:"store_ms"`
}

// grantPrefix starts the name of a grant row; the VM and the incarnation of the
// holder follow, with a slash between them.
const grantPrefix = "grant/"

// heartbeatRow is the last heartbeat of the process on a VM.
type heartbeatRow struct {
	Incarnation string `json:"incarnation"`
	// StoreMs is a lower bound of the store's clock when the row was sent, in
	// milliseconds.
	StoreMs int64 `json:"store_ms"`
	// UnlockAfterMs and UnlockWithinMs are the settings of the process that wrote
	// the row, which may differ from those of its successor.
	UnlockAfterMs  int64 `json:"release_after_ms"`
	UnlockWithinMs int64 `json:"release_within_ms"`
	// Predecessors are earlier incarnations on the VM, oldest first.
	Predecessors []predecessor `json:"before,omitempty"`
}

// unlockedShare returns the share of inactive tokens that is unlocked for the
// process a given time after this heartbeat. It is 1 if the row has no valid
// settings.
func (r heartbeatRow) unlockedShare(sinceHeartbeat time.Duration) float64 {
	s := Settings{
		UnlockAfter:  time.Duration(r.UnlockAfterMs) * time.Millisecond,
		UnlockWithin: time.Duration(r.UnlockWithinMs) * time.Millisecond,
	}
	if s.UnlockWithin <= s.UnlockAfter {
		return 1
	}
	return s.UnlockedShare(sinceHeartbeat)
}

// predecessor is a dead process on a VM, with the greatest share of its inactive
// tokens that can have been unlocked for it.
type predecessor struct {
	Incarnation   string  `json:"incarnation"`
	UnlockedShare float64 `json:"released"`
}

// recallRow requests that other holders return tokens of a workspace. StoreMs is
// the store's clock when it was written, in milliseconds.
type recallRow struct {
	StoreMs int64 `json:"store_ms"`
	// All requests all headroom, instead of only the part above
	// Settings.ScarceShare.
	All bool `json:"all,omitempty"`
}
