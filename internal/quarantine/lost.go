package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// lostRequest is the evidence on the requests with one fingerprint.
type lostRequest struct {
	fingerprint Fingerprint
	ends        []presence // at which one was lost, one for each end, in no order
	// completedAt is the last response that was complete, and announced that of the last
	// clearance, own or received; zero if there is none.
	completedAt, announced time.Time
}

// addLostLocked records that a request was lost at an end. It reports whether that is
// kept.
func (q *Quarantine) addLostLocked(c *crash, r *Report, sentAt time.Time) bool {
	f := r.Fingerprint
	if f == (Fingerprint{}) {
		return false
	}
	l := q.lost[f]
	if l != nil {
		if i := slices.IndexFunc(l.ends, func(p presence) bool { return p.crash == c }); i >= 0 {
			if sentAt.After(l.ends[i].sentAt) {
				l.ends[i].sentAt = sentAt
			}
			l.ends[i].advanced = l.ends[i].advanced && r.Advanced
			return true
		}
	}
	if len(c.lost) >= maxLost && (l == nil || !q.replaceLostLocked(c)) {
		return false
	}
	if l == nil {
		l = &lostRequest{fingerprint: f, completedAt: q.completed.at(f)}
		q.lost[f] = l
	}
	c.lost = append(c.lost, f)
	l.ends = append(l.ends, presence{crash: c, sentAt: sentAt, advanced: r.Advanced})
	return true
}

// replaceLostLocked makes room at an end for a request that was lost at others, too: it
// forgets one that was lost at this end only. It returns false if there is none.
func (q *Quarantine) replaceLostLocked(c *crash) bool {
	i := slices.IndexFunc(c.lost, func(f Fingerprint) bool { return len(q.lost[f].ends) == 1 })
	if i < 0 {
		return false
	}
	delete(q.lost, c.lost[i])
	c.lost = slices.Delete(c.lost, i, i+1)
	return true
}

// dropOldLocked drops the ends before Retention and those beyond maxCrashes, and the
// reports of segments beyond maxSegmentCrashes. It reports whether there were some.
func (q *Quarantine) dropOldLocked(now time.Time) (segmentsChanged bool) {
	excess, excessReports := len(q.crashes)-maxCrashes, len(withReports(q.crashes))-maxSegmentCrashes
	kept := q.crashes[:0]
	for i, c := range q.crashes {
		drop := i < excess || now.Sub(c.at) > Retention
		if len(c.reports) > 0 && (drop || excessReports > 0) {
			c.reports, segmentsChanged = nil, true
			excessReports--
		}
		if !drop {
			kept = append(kept, c)
			continue
		}
		q.forgetLostLocked(c)
	}
	clear(q.crashes[len(kept):])
	q.crashes = kept
	return segmentsChanged
}

// forgetLostLocked forgets the requests that were lost at an end.
func (q *Quarantine) forgetLostLocked(c *crash) {
	for _, f := range c.lost {
		l := q.lost[f]
		if l.ends = slices.DeleteFunc(l.ends, func(p presence) bool { return p.crash == c }); len(l.ends) == 0 {
			delete(q.lost, f)
		}
	}
}

// RecordComplete records that the response to a request with this fingerprint was
// complete, so that earlier ends do not count against it.
func (q *Quarantine) RecordComplete(f Fingerprint) {
	if f == (Fingerprint{}) {
		return
	}
	now := q.options.Clock.Now()
	q.mu.Lock()
	q.completed.set(f, now)
	var clearances []Clearance
	if l := q.lost[f]; l != nil && len(l.open()) >= announceFrom {
		clearances = append(clearances, l.announce(now, now))
	}
	changes := q.clearRequestLocked(f, now, now)
	q.mu.Unlock()
	q.publishClearances(clearances)
	q.logChanges(changes, "complete response")
}

// receiveRequestClearance takes in that a response to a request was complete at another
// router at a time.
func (q *Quarantine) receiveRequestClearance(f Fingerprint, at time.Time) {
	q.mu.Lock()
	if at.After(q.completed.at(f)) {
		q.completed.set(f, at)
	}
	if l := q.lost[f]; l != nil && at.After(l.announced) {
		l.announced = at
	}
	changes := q.clearRequestLocked(f, at, q.options.Clock.Now())
	q.mu.Unlock()
	q.logChanges(changes, "clearance")
}

// clearRequestLocked applies that a response was complete at a time and returns what has
// changed.
func (q *Quarantine) clearRequestLocked(f Fingerprint, at, now time.Time) []change {
	l := q.lost[f]
	if l == nil || !at.After(l.completedAt) {
		return nil
	}
	l.completedAt = at
	if !slices.ContainsFunc(q.quarantined, func(x *quarantined) bool { return x.fingerprint == f }) {
		return nil // nothing else depends on its ends
	}
	return q.evaluateLocked(now, false)
}

// announce returns the clearance of the request, whose last response was complete at the
// given time.
func (l *lostRequest) announce(at, now time.Time) Clearance {
	l.announced = at
	return Clearance{Fingerprint: l.fingerprint, AgeMS: now.Sub(at).Milliseconds()}
}

// clearanceOfUse reports whether other routers should be told when a response to the
// request was complete here: they know of several ends, and of no complete response, or of
// none that is later than one of these ends while this router does.
func (l *lostRequest) clearanceOfUse() bool {
	return l != nil && len(l.ends) >= announceFrom && l.completedAt.After(l.announced) &&
		(l.announced.IsZero() || slices.ContainsFunc(l.ends, func(p presence) bool { return p.at.After(l.announced) && p.at.Before(l.completedAt) }))
}

// open returns the ends that count against the request, in the order of their times:
// those after its last complete response.
func (l *lostRequest) open() []presence {
	var open []presence
	for _, p := range l.ends {
		if !l.completedAt.After(p.at) {
			open = append(open, p)
		}
	}
	slices.SortFunc(open, func(a, b presence) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint))
	})
	return open
}

// countLost returns how many of the ends, which are in the order of their times, count as
// independent evidence against a request. Endpoints that end together for another reason
// can have a request in flight that many callers make, so an end counts only if the
// request was sent after the end that counted before. That is not asked if no response to
// the request was ever complete: it was sent to several endpoints at the same time.
func countLost(ends []presence, completed bool) int {
	if !completed {
		return len(ends)
	}
	inTurn := 0
	var last time.Time
	for _, p := range ends {
		if inTurn == 0 || p.sentAt.After(last) {
			inTurn++
			last = p.at
		}
	}
	return inTurn
}

// candidate is a request with enough evidence to be quarantined.
type candidate struct {
	*lostRequest
	ends      []presence // that count, in the order of their times
	completed bool       // a response was complete once
}

// candidatesLocked returns the requests with enough evidence.
func (q *Quarantine) candidatesLocked() []candidate {
	var found []candidate
	for _, l := range q.lost {
		if int64(len(l.ends)) < q.options.Settings.MinCrashes {
			continue
		}
		c := candidate{l, l.open(), !l.completedAt.IsZero()}
		if int64(countLost(c.ends, c.completed)) >= q.options.Settings.MinCrashes {
			found = append(found, c)
		}
	}
	return found
}

// mostLostLocked returns the candidate with the most evidence from ends that are not
// explained yet, with these ends, and its count. Of equal ones it prefers the one of which
// fewer responses had got past their beginning, then one that was never complete, and then
// the one with more ends.
func (q *Quarantine) mostLostLocked(candidates []candidate) (candidate, int) {
	var best candidate
	bestCount := 0
	for _, c := range candidates {
		c.ends = unexplained(c.ends, q.explained)
		count := countLost(c.ends, c.completed)
		order := cmp.Or(cmp.Compare(count, bestCount), cmp.Compare(countAdvanced(best.ends), countAdvanced(c.ends)), compareBool(!c.completed, !best.completed), cmp.Compare(len(c.ends), len(best.ends)),
			c.compareFingerprint(best))
		if order > 0 && int64(count) >= q.options.Settings.MinCrashes {
			best, bestCount = c, count
		}
	}
	return best, bestCount
}

// countAdvanced returns how many of the ends came after events of a response.
func countAdvanced(ends []presence) int {
	n := 0
	for _, p := range ends {
		if p.advanced {
			n++
		}
	}
	return n
}

// compareFingerprint orders candidates by their fingerprints, a missing one last.
func (c candidate) compareFingerprint(other candidate) int {
	if other.lostRequest == nil {
		return 1
	}
	return bytes.Compare(other.fingerprint[:], c.fingerprint[:])
}

// newQuarantinedRequest returns the quarantined request of a candidate.
func (q *Quarantine) newQuarantinedRequest(c candidate) *quarantined {
	x := &quarantined{subject: c.fingerprint.subject(), fingerprint: c.fingerprint}
	for _, p := range c.ends {
		x.crashes = append(x.crashes, p.crash)
	}
	q.setTimes(x)
	last := x.crashes[len(x.crashes)-1].at
	switch {
	case q.lateEnds(x.crashes) >= maxTries:
		x.until = last.Add(Retention)
	case last.Sub(x.crashes[0].at) < simultaneousTime:
		x.until = last.Add(togetherHold)
	}
	return x
}

const (
	// togetherHold replaces Hold for simultaneous ends, which can have another cause in
	// common.
	togetherHold = 2 * time.Second
	// maxTries is the number of requests with one fingerprint that are let through after
	// the hold time. Each end that came late takes the place of one.
	maxTries = 2
	// spreadTime is the time after which routers that reach each other act on an end.
	spreadTime = 3 * time.Second
)

// lateEnds returns how many of the ends came when all routers could have known enough.
func (q *Quarantine) lateEnds(crashes []*crash) int {
	n := 0
	for i, enough := int(q.options.Settings.MinCrashes), int(q.options.Settings.MinCrashes)-1; i < len(crashes); i++ {
		if crashes[i].at.Sub(crashes[enough].at) >= spreadTime {
			n++
		}
	}
	return n
}

// suspectedLocked reports whether the end of another endpoint than the given one counts
// against the request. An end that something else explains does not.
func (q *Quarantine) suspectedLocked(f Fingerprint, endpoint string) bool {
	l := q.lost[f]
	if l == nil {
		return false
	}
	found := slices.ContainsFunc(q.quarantined, func(x *quarantined) bool { return x.fingerprint == f })
	return found || slices.ContainsFunc(l.ends, func(p presence) bool {
		return p.endpoint != endpoint && !l.completedAt.After(p.at) && !q.explained[p.crash]
	})
}

// completions holds when responses were last complete, by fingerprint, in two
// generations: the older one is dropped when the newer one is full.
type completions struct{ newer, older map[Fingerprint]time.Time }

// set records a complete response.
func (c *completions) set(f Fingerprint, at time.Time) {
	if len(c.newer) >= maxCompleted/2 {
		c.older, c.newer = c.newer, nil
	}
	if c.newer == nil {
		c.newer = make(map[Fingerprint]time.Time)
	}
	c.newer[f] = at
}

// at returns when a response was last complete; zero if that is not known.
func (c *completions) at(f Fingerprint) time.Time {
	if at, ok := c.newer[f]; ok {
		return at
	}
	return c.older[f]
}
