// Package conf keeps the configuration: it commits the changes of operators
// to a revisioned log in the platform's table and puts each revision in force
// on this router, in order and never an older one.
//
// A router serves under a view that it has confirmed: it has read from the
// table, or heard from a peer that did, which revision is the newest. A view
// that is older than ViewBound is confirmed again before new work; one that
// could not be confirmed for UnconfirmedBound serves no more. So a change is
// accepted once every registered router has acknowledged it, or once so much
// time has passed since its commit that a router which has not can no longer
// serve the revision before.
package conf

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings are the settings of the configuration duty.
type Settings struct {
	// PollInterval is the time between two confirmations of the view.
	PollInterval time.Duration `json:"poll_interval"`
	// ViewBound is the age of the view beyond which it is confirmed before
	// new work is taken.
	ViewBound time.Duration `json:"view_bound"`
	// UnconfirmedBound is the age of the view beyond which no new work is
	// taken. It is the longest outage of the platform through which a router
	// serves, and the longest wait until a change is accepted past a router
	// that is cut off from everything.
	UnconfirmedBound time.Duration `json:"unconfirmed_bound"`
	// OfferBound is how long a router without a row serves under a view that a
	// peer gave it, without asking again.
	ViewLeaseDuration time.Duration `json:"offer_bound"`
	// CallTimeout bounds one call of the platform or of a peer.
	CallTimeout time.Duration `json:"call_timeout"`
	// AcceptWait is how long a commit waits to be accepted before it is
	// answered as committed.
	AcceptWait time.Duration `json:"accept_wait"`
	// PushInterval is the time between two pushes to a router that has not
	// acknowledged.
	PushInterval time.Duration `json:"push_interval"`
	// RelayAbove is the number of routers above which one router in each
	// failure domain confirms views and passes on pushes for the others.
	RelayThreshold int `json:"relay_above"`
	// SnapshotEvery is the number of revisions between two snapshots.
	SnapshotEvery int64 `json:"snapshot_every"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:      time.Second,
		ViewBound:         3 * time.Second,
		UnconfirmedBound:  10 * time.Minute,
		ViewLeaseDuration: 5 * time.Second,
		CallTimeout:       time.Second,
		AcceptWait:        2 * time.Second,
		PushInterval:      250 * time.Millisecond,
		RelayThreshold:    16,
		SnapshotEvery:     256,
	}
}

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".poll_interval", s.PollInterval, 10*time.Millisecond, time.Minute)
	l.Duration(path+".view_bound", s.ViewBound, 2*s.PollInterval, time.Minute)
	l.Duration(path+".unconfirmed_bound", s.UnconfirmedBound, 2*s.ViewBound, 24*time.Hour)
	l.Duration(path+".offer_bound", s.ViewLeaseDuration, s.ViewBound, s.UnconfirmedBound)
	l.Duration(path+".call_timeout", s.CallTimeout, time.Millisecond, time.Minute)
	l.Duration(path+".accept_wait", s.AcceptWait, 0, time.Minute)
	l.Duration(path+".push_interval", s.PushInterval, time.Millisecond, time.Minute)
	l.Positive(path+".relay_above", int64(s.RelayThreshold))
	l.Positive(path+".snapshot_every", s.SnapshotEvery)
}
