// Package prepaid keeps prepaid token totals of workspaces by escrow on a row
// store. A holder draws a grant from the workspace's total before it spends;
// all grants together never pass the limit, so that a holder which is cut off,
// suspended or woken again can spend only what is already set aside for it.
//
// Of its grant a holder spends what it has cleared by a write. The rest is
// released to it little by little while it does not reach the store, all of it
// after ReleaseWithin. So a process that starts on the same VM, where its
// predecessor is surely dead, knows from the time of the last contact how much of
// the grant can have been spent at most, and gives back what is above that.
//
// Rows, each in the part of its workspace but for the last two:
//
//	prepaid/WORKSPACE/total      what all grants hold together
//	prepaid/WORKSPACE/grant/...  one grant, written by its holder only
//	prepaid_holders//VM          the last contact of a VM's process
//	prepaid_wanted//WORKSPACE    asks holders to return what they need not
package prepaid

import (
	"errors"
	"time"
)

// Errors of reservations. They are wrapped with the workspace.
var (
	// ErrExhausted: the total has too few tokens that are not spent or in use.
	ErrExhausted = errors.New("prepaid total exhausted")
	// ErrBusy: too few tokens are free, but others hold some that may come
	// back; trying again can help.
	ErrBusy = errors.New("prepaid tokens held elsewhere")
	// ErrUnavailable: the store was not reached and the grant is too small.
	ErrUnavailable = errors.New("prepaid store unavailable")
	// ErrUnlimited: no limit is known for the workspace.
	ErrUnlimited = errors.New("workspace without prepaid limit")
	// ErrClosed: the holder takes no more reservations.
	ErrClosed = errors.New("prepaid holder closed")
)

// Settings are the settings of a holder.
type Settings struct {
	// Horizon is the use, at the present rate, that a grant should cover. It
	// is also about how long a holder can serve without the store.
	Horizon time.Duration `json:"horizon"`
	// LowWater is the share of that stock below which more is drawn.
	LowWater float64 `json:"low_water"`
	// StockShare bounds the stock of all grants together by a share of the
	// tokens that are not spent. Each grant's part of it is its part of the
	// use.
	HeadroomShare float64 `json:"stock_share"`
	// ScarceShare takes its place while a holder is short of tokens that
	// others hold.
	ScarceShare float64 `json:"scarce_share"`
	// ScarceFor is how long a holder counts as short after it was heard to ask.
	ScarceFor time.Duration `json:"scarce_for"`
	// Surplus is the factor over the stock above which a grant gives tokens
	// back.
	Surplus float64 `json:"surplus"`
	// ReleaseAfter and ReleaseWithin are the times without the store after which
	// a holder may spend the first, and all, of what it has not cleared.
	UnlockAfter  time.Duration `json:"release_after"`
	UnlockWithin time.Duration `json:"release_within"`
	// ReleaseWait is the longest wait of a reservation for that.
	UnlockWait time.Duration `json:"release_wait"`
	// ClearAhead is the use, at the present rate, that is cleared ahead.
	ActivateAhead time.Duration `json:"clear_ahead"`
	// ClearShare bounds what all holders clear ahead by a share of the limit,
	// since it is lost if all die.
	ActivateShare float64 `json:"clear_share"`
	// ContactEvery is the interval of proving contact with the store.
	HeartbeatInterval time.Duration `json:"contact_every"`
	// CheckEvery is the interval of looking for surplus.
	CheckInterval time.Duration `json:"check_every"`
	// WaitLeast and WaitMost bound the wait of a reservation for the store,
	// which is WaitFactor times its usual answer. A caller that waits no longer
	// can try another holder while it is still on time.
	MinStoreWait    time.Duration `json:"wait_least"`
	MaxStoreWait    time.Duration `json:"wait_most"`
	StoreWaitFactor float64       `json:"wait_factor"`
	// AskWait is the longest wait for others to return tokens.
	RecallWait time.Duration `json:"ask_wait"`
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration `json:"call_timeout"`
	// RetryAfter is the pause after a call that failed.
	RetryInterval time.Duration `json:"retry_after"`
	// ShortFor is how long a shortage that was read from the store is
	// believed without reading again.
	ShortageFor time.Duration `json:"short_for"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Horizon:           10 * time.Second, // the usual outage, 8 s, and some use above the mean
		LowWater:          0.7,
		HeadroomShare:     0.75, // what all die with that have lost the store; the rest serves after that
		ScarceShare:       0.4,
		ScarceFor:         5 * time.Second, // half the horizon
		Surplus:           1.5,
		UnlockAfter:       1500 * time.Millisecond, // a process that is killed is back in about that
		UnlockWithin:      8 * time.Second,         // the usual outage
		UnlockWait:        400 * time.Millisecond,  // a usual objective
		ActivateAhead:     1500 * time.Millisecond, // the use until tokens are released
		ActivateShare:     0.015,                   // 3 in 100 may be stranded; the rest of it is in use
		HeartbeatInterval: 500 * time.Millisecond,  // a quarter of a restart, in which little is released
		CheckInterval:     time.Second,
		MinStoreWait:      100 * time.Millisecond, // ten usual answers, a fifth of an objective
		MaxStoreWait:      time.Second,
		StoreWaitFactor:   5,
		RecallWait:        300 * time.Millisecond, // what is left of an objective beside the work itself
		CallTimeout:       700 * time.Millisecond, // twice the answer of a store that is slow
		RetryInterval:     100 * time.Millisecond,
		ShortageFor:       500 * time.Millisecond,
	}
}

// Released is the share of uncleared tokens that is released after a time
// without contact.
func (s Settings) UnlockedShare(away time.Duration) float64 {
	return min(max((away-s.UnlockAfter).Seconds()/(s.UnlockWithin-s.UnlockAfter).Seconds(), 0), 1)
}

// Problem is a setting that is wrong.
type Problem struct {
	// Name is that of the setting in JSON.
	Name  string
	Value any
	// Want says what would be right.
	Want string
}

// Validate returns every problem of the settings.
func (s Settings) Validate() []Problem {
	var problems []Problem
	require := func(ok bool, name string, value any, want string) {
		if !ok {
			problems = append(problems, Problem{Name: name, Value: value, Want: want})
		}
	}
	above := func(name string, d time.Duration) { require(d > 0, name, d, "a duration above 0") }
	from := func(name string, d time.Duration) { require(d >= 0, name, d, "a duration from 0") }
	share := func(name string, v float64) { require(v > 0 && v <= 1, name, v, "a share above 0, at most 1") }
	above("horizon", s.Horizon)
	share("low_water", s.LowWater)
	share("stock_share", s.HeadroomShare)
	require(s.ScarceShare >= 0 && s.ScarceShare <= s.HeadroomShare, "scarce_share", s.ScarceShare, "a share from 0 to stock_share")
	require(s.Surplus >= 1, "surplus", s.Surplus, "a factor from 1")
	require(s.UnlockAfter >= 0 && s.UnlockAfter < s.UnlockWithin, "release_after", s.UnlockAfter, "a duration from 0, below release_within")
	from("release_wait", s.UnlockWait)
	from("clear_ahead", s.ActivateAhead)
	share("clear_share", s.ActivateShare)
	above("contact_every", s.HeartbeatInterval)
	from("scarce_for", s.ScarceFor)
	above("check_every", s.CheckInterval)
	above("wait_least", s.MinStoreWait)
	require(s.MaxStoreWait >= s.MinStoreWait, "wait_most", s.MaxStoreWait, "at least wait_least")
	require(s.StoreWaitFactor >= 1, "wait_factor", s.StoreWaitFactor, "a factor from 1")
	from("ask_wait", s.RecallWait)
	above("call_timeout", s.CallTimeout)
	above("retry_after", s.RetryInterval)
	from("short_for", s.ShortageFor)
	return problems
}

// The tables of the ledger.
const (
	ledgerTable  = "prepaid"
	holdersTable = "prepaid_holders"
	wantedTable  = "prepaid_wanted"
)

// totalName is the row that all holders of a workspace share.
const totalName = "total"

// totalRow counts what is in grants, in tokens.
type totalRow struct {
	// Granted is what open grants hold, spent or not, plus what closed grants
	// spent.
	Granted int64 `json:"granted"`
	// Spent is what holders have reported as spent.
	Spent int64 `json:"spent"`
	// Open is the number of open grants.
	Open int64 `json:"open"`
	// Recent is Spent with an exponential decay of shareMemory, as of the store's
	// clock at RecentMs.
	Recent   float64 `json:"recent"`
	RecentMs int64   `json:"recent_ms"`
	// Limit and Revision are the newest limit that a holder has drawn under.
	Limit    int64 `json:"limit"`
	Revision int64 `json:"revision"`
}

// grantRow is the grant of one holder. Only that holder writes it, and after
// its death a successor on its VM.
type grantRow struct {
	// Granted is what was drawn and not returned, in tokens.
	Granted int64 `json:"granted"`
	// Cleared is what of it the holder may spend while it is in contact.
	Cleared int64 `json:"cleared"`
	// Spent is what of it the total has as spent.
	Spent int64 `json:"spent"`
	// Used is what was spent or reserved of it at the writing.
	Used int64 `json:"used"`
	// StoreMs is the store's clock at the writing, in milliseconds, as far as
	// the holder knew it.
	StoreMs int64 `json:"store_ms"`
}

// grantPrefix, the VM and the incarnation of a holder name its row.
const grantPrefix = "grant/"

// holderRow tells of the last contact of the process on a VM.
type holderRow struct {
	Incarnation string `json:"incarnation"`
	// StoreMs is a lower bound of the store's clock when the row was sent.
	StoreMs int64 `json:"store_ms"`
	// ReleaseAfterMs and ReleaseWithinMs are the process's settings, which a
	// successor's may differ from.
	ReleaseAfterMs  int64 `json:"release_after_ms"`
	ReleaseWithinMs int64 `json:"release_within_ms"`
	// Before are earlier incarnations on the VM.
	Before []deadHolder `json:"before,omitempty"`
}

// released is the share of uncleared tokens that is released to the process after
// a time without contact; all, if its row does not tell.
func (r holderRow) released(away time.Duration) float64 {
	s := Settings{
		UnlockAfter:  time.Duration(r.ReleaseAfterMs) * time.Millisecond,
		UnlockWithin: time.Duration(r.ReleaseWithinMs) * time.Millisecond,
	}
	if s.UnlockWithin <= s.UnlockAfter {
		return 1
	}
	return s.UnlockedShare(away)
}

// deadHolder tells of a process that is dead which share of its uncleared tokens
// was released to it at most.
type deadHolder struct {
	Incarnation string  `json:"incarnation"`
	Released    float64 `json:"released"`
}

// wantedRow asks for the return of tokens.
type wantedRow struct {
	StoreMs int64 `json:"store_ms"`
	// All asks for all stock, instead of that above ScarceShare.
	All bool `json:"all,omitempty"`
}
