package prepaid

import (
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
)

// This file decides whether the store was out of reach of most routers, in an outage or with a
// fleet that is lost. A holder uses inactive tokens only while most of the routers that it
// knows find the store silent. Routers that start after a fleet was lost know from the responses
// that they get how long that can have been the case.
//
// Invariant: inactive tokens are used only as far as they were unlocked while polls without a
// gap showed the store to be silent for most routers. The polls began after the last heartbeat
// that the store has accepted. If that ended a time of more than maxHeartbeatGap without
// heartbeats, the grant's row was written since: others may have reclaimed the grant, or their
// write for that may still be applied, which then conflicts.

const (
	// attemptInterval is the mean interval between two attempts to read from the store. After
	// more than maxAttemptGap without one, the process was suspended or overloaded, and its
	// attempts say nothing about the time in between.
	attemptInterval = 200 * time.Millisecond
	maxAttemptGap   = 450 * time.Millisecond
	// responseLimit is the time after which an attempt counts as unanswered. A store that responds
	// within promptResponse answers the attempts of all routers.
	responseLimit  = 350 * time.Millisecond
	promptResponse = responseLimit / 2
	// silenceLag is the longest time after the return of the store for which a router can still
	// find it silent, and missedOutage the longest outage between two prompt responses.
	silenceLag   = maxAttemptGap + responseLimit
	missedOutage = maxAttemptGap + promptResponse
	// pollInterval is the least time between two polls of the routers, maxPollGap the longest in one outage, and
	// outageNoticedWithin that from a holder's last heartbeat to the first of them.
	pollInterval        = 350 * time.Millisecond
	maxPollGap          = time.Second
	outageNoticedWithin = 3 * time.Second
	// maxHeartbeatGap is the longest time between two accepted heartbeats in which nobody can have
	// reclaimed the holder's grants. It is below lostAfter by more than the duration of a call.
	maxHeartbeatGap = lostAfter - time.Second
	// unlockLookahead is how far beyond the newest poll an extension reaches, so that it lasts until
	// the next one.
	unlockLookahead = 700 * time.Millisecond
	// shownAfter is how long the store must have responded, from outageNoticedWithin after a
	// holder's last heartbeat on, to show that the holder can use no further tokens. It exceeds
	// maxPollGap and silenceLag together.
	shownAfter = 2 * time.Second
)

// attempts are one router's attempts to read from the store.
type attempts struct {
	last time.Time // start of the newest attempt
	// unansweredSince is the start of the first attempt since the last response, or since a gap
	// between attempts.
	unansweredSince time.Time
	// prompt is the start of the newest attempt of a series with prompt responses only, or zero
	// without one. since and until are the store's clock at its first and newest response. The series
	// ends at a gap, a late response, a failure or a restored store.
	prompt       time.Time
	since, until time.Duration
	era          int64
}

// started notes the start of an attempt.
func (s *attempts) started(now time.Time) {
	if s.unansweredSince.IsZero() || clock.Elapsed(s.last, now) > maxAttemptGap {
		s.unansweredSince = now
	}
	s.last = now
}

// reached notes a response of the store to any call.
func (s *attempts) reached() { s.unansweredSince = time.Time{} }

// responded notes the response to the attempt that began at a time. storeNow and era are the
// store's.
func (s *attempts) responded(began, now time.Time, storeNow time.Duration, era int64) {
	s.reached()
	switch {
	case clock.Elapsed(began, now) > promptResponse:
		s.prompt = time.Time{}
		return
	case s.prompt.IsZero() || s.era != era || clock.Elapsed(s.prompt, began) > maxAttemptGap:
		s.since = storeNow
	}
	s.prompt, s.until, s.era = began, max(s.until, storeNow), era
}

// failed notes an attempt without a response.
func (s *attempts) failed() { s.prompt = time.Time{} }

// silent reports whether no attempt of the last responseLimit or more was answered.
func (s *attempts) silent(now time.Time) bool {
	return !s.unansweredSince.IsZero() && clock.Elapsed(s.last, now) <= maxAttemptGap && now.Sub(s.unansweredSince) >= responseLimit
}

// responses are the times, by the store's clock, of the first and the newest of a series of prompt
// responses without a gap, in one era.
type responses struct {
	since, until time.Duration
	era          int64
}

// unanswered reports whether the store has not answered an attempt promptly, so that it may be silent.
func (s *attempts) unanswered(now time.Time) bool {
	return !s.unansweredSince.IsZero() && clock.Elapsed(s.last, now) <= maxAttemptGap && now.Sub(s.unansweredSince) >= promptResponse
}

// responding returns the series of responses up to now, and false if there is none.
func (s *attempts) responding(now time.Time) (responses, bool) {
	if s.prompt.IsZero() || clock.Elapsed(s.prompt, now) > maxAttemptGap {
		return responses{}, false
	}
	return responses{since: s.since, until: s.until, era: s.era}, true
}

// outage is an outage of the store as polls of the routers show it: the starts of the first and
// the newest of a series of polls in which most of them found the store silent.
type outage struct {
	since, last time.Time
	// refutedAt is the start of the newest poll in which the store responded to so many routers that
	// it cannot be silent for most.
	refutedAt time.Time
}

// observe notes a poll of a number of routers that began at a time. silent of them found
// the store silent, and to others it responded.
func (o *outage) observe(began time.Time, routers, silent, responding int) {
	switch {
	case silent >= majority(routers):
		if o.since.IsZero() || clock.Elapsed(o.last, began) > maxPollGap {
			o.since = began
		}
		o.last = later(o.last, began)
	case routers-responding < majority(routers):
		o.refutedAt = later(o.refutedAt, began)
	}
}

// ended notes a response of the store to this router.
func (o *outage) ended() { o.since, o.last = time.Time{}, time.Time{} }

// unlockTime returns the time since the last heartbeat for which a holder may unlock tokens. It returns
// false if the store is not known to be silent, for most routers, since the last heartbeat that it has
// accepted.
func (o *outage) unlockTime(last, confirmed, now time.Time, unlockAfter time.Duration) (time.Duration, bool) {
	if o.since.IsZero() || confirmed.IsZero() {
		return 0, false
	}
	silence := o.last.Sub(last)
	if silence < unlockAfter || clock.Elapsed(o.last, now) > maxPollGap || clock.Elapsed(confirmed, o.since) > outageNoticedWithin {
		return 0, false
	}
	return silence + unlockLookahead, true
}

// refuted reports whether a poll of the last maxPollGap showed that the store responds to
// other routers.
func (o *outage) refuted(now time.Time) bool {
	return !o.refutedAt.IsZero() && clock.Elapsed(o.refutedAt, now) <= maxPollGap
}

// bound returns how many of the inactive tokens of a grant its holder has used at most, and can
// ever use, given the responses to routers that started after its last heartbeat. It returns
// false while the responses are too few for a bound.
func (r responses) bound(last heartbeatRow, grant grantRow) (int64, bool) {
	heartbeat := time.Duration(last.StoreMs) * time.Millisecond
	if r.until-max(r.since, heartbeat+outageNoticedWithin) < shownAfter {
		return 0, false
	}
	silence := max(r.since-heartbeat, missedOutage) + silenceLag
	if silence <= time.Duration(last.UnlockAfterMs)*time.Millisecond {
		return 0, true
	}
	holder := predecessor{
		SilentMs:      (silence + unlockLookahead).Milliseconds() + 1,
		UnlockAfterMs: last.UnlockAfterMs, UnlockWithinMs: last.UnlockWithinMs,
	}
	return holder.unlocked(grant.Granted-grant.Activated, grant.UnlockRate), true
}
