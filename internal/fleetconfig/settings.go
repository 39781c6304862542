// Package fleetconfig maintains the configuration: it commits the changes of operators
// to a revisioned log in the platform's table and applies each revision on this
// router, in order and never going back to an earlier one.
//
// A router serves new work only under a view that it has confirmed: it has read
// from the table, or from a peer that did, which revision is the newest. A view
// that is older than ViewBound is confirmed again before new work is taken; under
// a view that could not be confirmed for UnconfirmedBound, no new work is taken.
// A change is therefore accepted once every registered router, that is, every one
// with a member row in the table, has acknowledged it, or once so much time has
// passed since its commit that a router that has not acknowledged it can no longer
// serve the previous revision.
//
// A router that could not write its member row serves under a view lease that a
// peer grants; the peer delays its own acknowledgement until that router has
// acknowledged or the lease has expired.
package fleetconfig

import (
	"time"

	"daisyslip.dev/daisyslip/internal/check"
)

// Settings configure a Keeper.
type Settings struct {
	// PollInterval is the time between two periodic confirmations of the view.
	PollInterval time.Duration `json:"poll_interval"`
	// ViewBound is the age of the view beyond which it is confirmed again before
	// new work is taken.
	ViewBound time.Duration `json:"view_bound"`
	// UnconfirmedBound is the age of the view beyond which no new work is
	// taken. It is the longest outage of the platform during which a router
	// keeps serving, and the longest time for which a router that is cut off
	// from everything delays the acceptance of a change.
	UnconfirmedBound time.Duration `json:"unconfirmed_bound"`
	// ViewLeaseDuration is how long a router without a member row serves under a
	// view lease granted by a peer before it has to request another.
	ViewLeaseDuration time.Duration `json:"offer_bound"`
	// CallTimeout bounds one call to the platform or to a peer.
	CallTimeout time.Duration `json:"call_timeout"`
	// AcceptWait is how long a commit waits for the revision to be accepted
	// before it returns the revision as committed but not accepted.
	AcceptWait time.Duration `json:"accept_wait"`
	// PushInterval is the initial time between two pushes to routers that have
	// not acknowledged a revision; it grows with each attempt.
	PushInterval time.Duration `json:"push_interval"`
	// RelayThreshold is the number of routers above which relays in each failure
	// domain confirm views and forward pushes for the others.
	RelayThreshold int `json:"relay_above"`
	// SnapshotEvery is the number of revisions from one stored snapshot to the next.
	SnapshotEvery int64 `json:"snapshot_every"`
}

// DefaultSettings returns the default settings.
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

// Validate adds every invalid setting to l, with its key below path.
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
