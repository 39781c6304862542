// Package prepaid enforces prepaid token totals of workspaces by escrow on a row
// store. A holder draws a grant from the workspace's total before it spends. All
// grants together never exceed the limit, so a holder that is partitioned,
// suspended or resumed can spend only what is already set aside for it.
//
// A holder may spend the part of its grant that it has activated by a write. The
// remaining, inactive part is unlocked gradually while the holder does not reach
// the store: as fast as the workspace used tokens before, and completely after
// Settings.UnlockWithin. A process that starts on the same VM, where its predecessor
// is certainly dead, therefore knows from the time of the last heartbeat how much of
// the orphaned grant can have been spent at most, and returns what is above that.
//
// A holder whose VM is lost for good has no such successor. The replicas, up to three other
// processes, therefore record how much of its grant a holder may use before it
// uses inactive tokens, and other holders can reclaim the rest; see extension.go and lost.go. If
// the holder and all of its fleet are lost together, routers that start later reclaim what the store's
// outages, as far as they are possible, have not unlocked; see silence.go. If the holder and most of its replicas are
// lost and others of the fleet live, these know whether they have consented to the use of inactive tokens; see
// consent.go.
//
// Pool makes the grants of a few processes, the lenders, serve a whole fleet.
//
// A store that is restored from a copy has forgotten the newest draws. Before the
// holder can use a draw, it therefore tells a few other processes, the witnesses, of it.
// After a restore, tokens are drawn again only once the total was confirmed; see
// repair.go. What is held is spent meanwhile. Only draws that nobody knows of any more
// are forgotten: those that a process made, in the time that the copy lacks, while it
// was cut off from all others, or less than a message's duration before it died, if it
// is dead or cut off from the store until the total is confirmed; and all of that time
// if all processes die before. In the latter case, an estimate of them is set aside.
//
// Rows, each in the partition of its workspace except for the last two:
//
//	prepaid/WORKSPACE/total      the sum of all grants
//	prepaid/WORKSPACE/grant/...  one grant, written by its holder only
//	prepaid/WORKSPACE/era/...    marks an era in which the total was written
//	prepaid_heartbeats/VM/last   the last heartbeat of a VM's process
//	prepaid_wanted//WORKSPACE    a recall request: holders return what they do not need
package prepaid

import (
	"errors"
	"fmt"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
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

// errStoreNotReached is ErrUnavailable of a holder that does not reach the store: another
// process that does may have more tokens.
var errStoreNotReached = fmt.Errorf("%w: not reached", ErrUnavailable)

// RetryError adds to an error when a retry can succeed.
type RetryError struct {
	Err   error
	After time.Duration
}

// Error implements error.
func (e *RetryError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the time.
func (e *RetryError) Unwrap() error { return e.Err }

// RetryAfter returns the time after which a reservation that failed with err can
// succeed, and false if that is not known.
func RetryAfter(err error) (time.Duration, bool) {
	var retry *RetryError
	if errors.As(err, &retry) {
		return retry.After, true
	}
	return 0, false
}

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
	// UnlockFactor is the rate at which tokens are unlocked from UnlockAfter on, as a
	// multiple of the rate of use when the grant was last written.
	UnlockFactor float64 `json:"release_factor"`
	// UnlockWait is the longest time that a reservation waits for tokens to be
	// unlocked.
	UnlockWait time.Duration `json:"release_wait"`
	// InTimeFor is how long after its arrival a reservation counts as in time. Those
	// in time are served before the others, so that a backlog does not delay all
	// later reservations.
	InTimeFor time.Duration `json:"in_time_for"`
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
		UnlockAfter:       1500 * time.Millisecond, // about the restart time of a killed process and the age of its last heartbeat
		UnlockWithin:      60 * time.Second,        // several times a typical store outage, since the rest of a grant is lost with its holder
		UnlockFactor:      1.4,                     // use varies by about this much in a few seconds
		UnlockWait:        1700 * time.Millisecond, // callers give up a stream without a first event after 2 s or more
		InTimeFor:         400 * time.Millisecond,  // a typical latency objective
		ActivateAhead:     1500 * time.Millisecond, // covers the use until tokens are unlocked
		ActivateShare:     0.01,                    // at most 3% of the limit may be stranded, which includes the tokens in use
		HeartbeatInterval: 250 * time.Millisecond,  // a quarter of a restart's duration, in which few tokens are unlocked
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

// Unlocked returns how many of the inactive tokens of a grant are unlocked a given
// time after the last heartbeat. unlockRate is that of the grant, in tokens per second.
func (s Settings) Unlocked(sinceHeartbeat time.Duration, inactive int64, unlockRate float64) int64 {
	return min(int64(s.unlockSpeed(inactive, unlockRate)*max(sinceHeartbeat-s.UnlockAfter, 0).Seconds()), inactive)
}

// unlockSpeed returns the tokens per second that are unlocked of a grant after
// UnlockAfter.
func (s Settings) unlockSpeed(inactive int64, unlockRate float64) float64 {
	return unlockRate + float64(inactive)/(s.UnlockWithin-s.UnlockAfter).Seconds()
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
	require(s.UnlockFactor >= 0, "release_factor", s.UnlockFactor, "a factor from 0")
	requireNonNegative("release_wait", s.UnlockWait)
	requireNonNegative("in_time_for", s.InTimeFor)
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
	holdersTable = "prepaid_heartbeats"
	recallTable  = "prepaid_wanted"
)

// heartbeatName is the name of the heartbeat row in the partition of its VM.
const heartbeatName = "last"

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
	// Era is the era of the store in which the total was last confirmed.
	Era int64 `json:"era,omitempty"`
}

// grantRow is the grant of one holder, in tokens. Only that holder writes it, and
// after its death a successor on its VM, which removes it. Other holders can write it
// again after the store was restored from a copy, and reduce it once its holder is lost.
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
	// UnlockRate is the rate at which inactive tokens are unlocked, in tokens per
	// second, apart from what Settings.UnlockWithin adds.
	UnlockRate float64 `json:"release_rate"`
	// StoreMs is a lower bound of the store's clock when the row was written, in
	// milliseconds.
	StoreMs int64 `json:"store_ms"`
	// Seq is the number of the write among those that the holder has made.
	Seq int64 `json:"seq,omitempty"`
	// Era is the newest era of the store in which the holder wrote the row.
	Era int64 `json:"era,omitempty"`
	// OpenedMs is the store's clock when the holder opened the grant.
	OpenedMs int64 `json:"opened_ms,omitempty"`
	// Replicas record how much of the inactive tokens the holder may use; see
	// extension.go.
	Replicas []bus.ID `json:"replicas,omitempty"`
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
	// Polls says that the process uses inactive tokens only by the rule of silence.go.
	Polls bool `json:"polls,omitempty"`
	// Number is that of the heartbeat among those of the process, Consenters are the routers whose consent the
	// process needs to use inactive tokens, and Era is the newest era of the store that it had seen.
	Number     int64     `json:"number,omitempty"`
	Consenters routerSet `json:"consenters,omitempty"`
	Era        int64     `json:"era,omitempty"`
	// Predecessors are earlier incarnations on the VM, oldest first.
	Predecessors []predecessor `json:"before,omitempty"`
}

// predecessor is a dead process on a VM.
type predecessor struct {
	Incarnation string `json:"incarnation"`
	// SilentMs is the longest time for which it can have lived after its last
	// heartbeat, in milliseconds. The unlock settings are those that it had.
	SilentMs       int64 `json:"silent_ms"`
	UnlockAfterMs  int64 `json:"release_after_ms"`
	UnlockWithinMs int64 `json:"release_within_ms"`
}

// unlocked returns how many of the inactive tokens of a grant can have been unlocked
// for the process at most: all if it has no valid settings.
func (p predecessor) unlocked(inactive int64, unlockRate float64) int64 {
	s := Settings{
		UnlockAfter:  time.Duration(p.UnlockAfterMs) * time.Millisecond,
		UnlockWithin: time.Duration(p.UnlockWithinMs) * time.Millisecond,
	}
	if s.UnlockWithin <= s.UnlockAfter {
		return inactive
	}
	const roundingTokens = 1
	return min(s.Unlocked(time.Duration(p.SilentMs)*time.Millisecond, inactive, unlockRate)+roundingTokens, inactive)
}

// recallRow requests that other holders return tokens of a workspace. StoreMs is
// the store's clock when it was written, in milliseconds.
type recallRow struct {
	StoreMs int64 `json:"store_ms"`
	// All requests all headroom, instead of only the part above
	// Settings.ScarceShare.
	All bool `json:"all,omitempty"`
}
