// Package prepaid keeps prepaid token totals of workspaces by escrow on a row
// store. A holder draws a grant from the workspace's total before it spends;
// all grants together never pass the limit, so that a holder which is cut off,
// suspended or woken again can spend only what is already set aside for it.
//
// What a holder that died had left of its grant stays set aside: nobody else
// can tell how much of it was spent. Grants are therefore small against what is
// left of the total.
package prepaid

import (
	"errors"
	"fmt"
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
	// RestShare bounds the stock of all grants together by a share of the
	// tokens that are in no grant.
	RestShare float64 `json:"rest_share"`
	// Surplus is the factor over the stock above which a grant gives tokens
	// back.
	Surplus float64 `json:"surplus"`
	// CheckEvery is the interval of looking for surplus.
	CheckEvery time.Duration `json:"check_every"`
	// WaitMax bounds the wait of a reservation for the store.
	WaitMax time.Duration `json:"wait_max"`
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration `json:"call_timeout"`
	// RetryAfter is the pause after a call that failed.
	RetryAfter time.Duration `json:"retry_after"`
	// ShortFor is how long a shortage that was read from the store is
	// believed without reading again.
	ShortFor time.Duration `json:"short_for"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Horizon:     6 * time.Second, // the usual outage of a store, 4 to 6 s
		LowWater:    0.6,
		RestShare:   0.25,
		Surplus:     2,
		CheckEvery:  time.Second,
		WaitMax:     1200 * time.Millisecond, // a caller's patience before its first byte
		CallTimeout: time.Second,
		RetryAfter:  100 * time.Millisecond,
		ShortFor:    500 * time.Millisecond,
	}
}

// Validate returns an error that lists every problem.
func (s Settings) Validate() error {
	var problems []error
	require := func(ok bool, name string, value any, want string) {
		if !ok {
			problems = append(problems, fmt.Errorf("%s: %v is wrong: want %s", name, value, want))
		}
	}
	for name, d := range map[string]time.Duration{
		"horizon": s.Horizon, "check_every": s.CheckEvery, "wait_max": s.WaitMax,
		"call_timeout": s.CallTimeout, "retry_after": s.RetryAfter,
	} {
		require(d > 0, name, d, "a duration above 0")
	}
	require(s.ShortFor >= 0, "short_for", s.ShortFor, "a duration from 0")
	require(s.LowWater > 0 && s.LowWater <= 1, "low_water", s.LowWater, "a share above 0, at most 1")
	require(s.RestShare > 0 && s.RestShare <= 1, "rest_share", s.RestShare, "a share above 0, at most 1")
	require(s.Surplus >= 1, "surplus", s.Surplus, "a factor from 1")
	return errors.Join(problems...)
}

// Table is the table of the ledger's rows; a workspace's rows are in the part
// of its name.
const Table = "prepaid"

// totalName is the row that all holders of a workspace share.
const totalName = "total"

// totalRow counts what is in grants, in tokens.
type totalRow struct {
	// Granted is what open grants hold, spent or not, plus what closed grants
	// spent.
	Granted int64 `json:"granted"`
	// Open is the number of open grants.
	Open int64 `json:"open"`
	// Limit and Revision are the newest limit that a holder has drawn under.
	Limit    int64 `json:"limit"`
	Revision int64 `json:"revision"`
}

// grantRow is the grant of one holder. Only that holder writes it.
type grantRow struct {
	// Granted is what was drawn and not returned, in tokens.
	Granted int64 `json:"granted"`
	// Spent is what of it was spent at the time of writing, in tokens.
	Spent int64 `json:"spent"`
	// StoreMs is the store's clock at the writing, in milliseconds, as far as
	// the holder knew it.
	StoreMs int64 `json:"store_ms"`
}

// grantPrefix and the incarnation of a holder name its row.
const grantPrefix = "grant/"
