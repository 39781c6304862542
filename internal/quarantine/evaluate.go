package quarantine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"
)

// change is a set of segments or a request that was quarantined, or is not any more.
type change struct {
	subject     string
	fingerprint Fingerprint // zero for segments
	evidence    string
	hold        time.Duration // from now
	ended       bool
	own         bool // this router made a report of one of its ends
}

// evaluateLocked computes the quarantined segments and requests from the evidence and
// returns what has changed. What has the most ends explains them first; of equal ones a
// request, as that is narrower than segments. SegmentsChanged is set if there is other
// evidence on segments than at the last evaluation.
func (q *Quarantine) evaluateLocked(now time.Time, segmentsChanged bool) []change {
	if q.dropOldLocked(now) || segmentsChanged {
		q.suspects = q.presentLocked()
	}
	present := q.suspects
	before := q.quarantined
	q.quarantined, q.explained = nil, make(map[*crash]bool)
	often, candidates := q.oftenPresent(present), q.candidatesLocked()
	for len(q.quarantined) < maxQuarantined {
		s, open := q.mostPresentLocked(often, q.explained)
		c, lost := q.mostLostLocked(candidates)
		count := q.countLocked(s, open)
		if int64(max(count, lost)) < q.options.Settings.MinCrashes {
			break
		}
		if lost >= count {
			q.quarantined = append(q.quarantined, q.newQuarantinedRequest(c))
			open = c.ends
		} else {
			q.quarantined = append(q.quarantined, q.newQuarantined(s, open, present, q.explained))
		}
		for _, p := range open {
			q.explained[p.crash] = true
		}
	}
	return q.changesLocked(before, now)
}

// oftenPresent returns the segments with enough ends to be quarantined.
func (q *Quarantine) oftenPresent(present map[segment][]presence) map[segment][]presence {
	often := make(map[segment][]presence)
	for s, ends := range present {
		if int64(len(ends)) >= q.options.Settings.MinCrashes {
			often[s] = ends
		}
	}
	return often
}

// presentLocked returns, for each segment, the ends that count against it in the order
// of their times: those at which it was present and after which it was not served. If
// responses had started at an end, only their segments count, and otherwise only segments
// that were never served.
func (q *Quarantine) presentLocked() map[segment][]presence {
	present := make(map[segment][]presence)
	byTime := sortedByTime(withReports(q.crashes))
	for _, c := range byTime {
		anyStarted := slices.ContainsFunc(c.reports, func(r report) bool { return r.started })
		for _, r := range c.reports {
			if anyStarted && !r.started {
				continue
			}
			for _, s := range r.segments {
				if servedAt := q.servedAtLocked(s); servedAt.After(c.at) || !r.started && !servedAt.IsZero() {
					continue
				}
				list := present[s]
				if len(list) == 0 || list[len(list)-1].crash != c {
					present[s] = append(list, presence{crash: c, started: r.started, sentAt: r.sentAt})
				} else if last := &list[len(list)-1]; r.sentAt.After(last.sentAt) {
					last.sentAt = r.sentAt
				}
			}
		}
	}
	dropCommonCauses(present, byTime)
	return present
}

// withReports returns the ends that have reports of segments.
func withReports(crashes []*crash) []*crash {
	var found []*crash
	for _, c := range crashes {
		if len(c.reports) > 0 {
			found = append(found, c)
		}
	}
	return found
}

// dropCommonCauses drops the ends that do not count against a segment because several
// other endpoints ended at the same time without it, so that they have another cause in
// common. The ends are in the order of their times.
func dropCommonCauses(present map[segment][]presence, byTime []*crash) {
	for i, c := range byTime {
		c.simultaneous = countSimultaneous(byTime, i, func(other *crash) time.Time { return other.at })
	}
	for s, ends := range present {
		counting := ends[:0:0]
		for i, p := range ends {
			with := countSimultaneous(ends, i, func(other presence) time.Time { return other.at })
			if p.simultaneous-with < commonCause {
				counting = append(counting, p)
			}
		}
		if present[s] = counting; len(counting) == 0 {
			delete(present, s)
		}
	}
}

const (
	// simultaneousTime is the time in which ends are simultaneous.
	simultaneousTime = 100 * time.Millisecond
	// commonCause is the number of simultaneous ends without a segment from which an end
	// does not count against it.
	commonCause = 2
)

// countSimultaneous returns how many others of the ends, which are in the order of their
// times, are simultaneous with the i-th.
func countSimultaneous[T any](ends []T, i int, at func(T) time.Time) int {
	n := 0
	for j := i - 1; j >= 0 && at(ends[i]).Sub(at(ends[j])) < simultaneousTime; j-- {
		n++
	}
	for j := i + 1; j < len(ends) && at(ends[j]).Sub(at(ends[i])) < simultaneousTime; j++ {
		n++
	}
	return n
}

// simultaneousDiscount is the number of ends that do not count if ends count although
// their requests were in flight at the same time.
const simultaneousDiscount = 2

// countLocked returns how many of the ends count as independent evidence against a
// segment. Endpoints that end at the same time for another reason have requests with
// the same segments in flight. So an end counts only if a request with the segment was
// sent after the end that counted before. If the segment was never served, the ends at
// which responses had started count all the same, less simultaneousDiscount.
func (q *Quarantine) countLocked(s segment, ends []presence) int {
	inTurn, started := 0, 0
	var last time.Time
	for _, p := range ends {
		if inTurn == 0 || p.sentAt.After(last) {
			inTurn++
			last = p.at
		}
		if p.started {
			started++
		}
	}
	if !q.servedAtLocked(s).IsZero() {
		return inTurn
	}
	return max(inTurn, started-simultaneousDiscount)
}

// mostPresentLocked returns the segment with the most evidence from ends that are not
// explained yet, and these ends. Of equal ones it prefers one that was never served.
func (q *Quarantine) mostPresentLocked(present map[segment][]presence, explained map[*crash]bool) (segment, []presence) {
	type rank struct {
		count, ends int
		unproven    bool
	}
	var best segment
	var bestEnds []presence
	var bestRank rank
	for s, ends := range present {
		open := unexplained(ends, explained)
		r := rank{q.countLocked(s, open), len(open), q.servedAtLocked(s).IsZero()}
		order := cmp.Or(cmp.Compare(r.count, bestRank.count), compareBool(r.unproven, bestRank.unproven), cmp.Compare(r.ends, bestRank.ends), cmp.Compare(best.id, s.id))
		if len(open) > 0 && (len(bestEnds) == 0 || order > 0) {
			best, bestEnds, bestRank = s, open, r
		}
	}
	return best, bestEnds
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// unexplained returns the ends that are not explained.
func unexplained(ends []presence, explained map[*crash]bool) []presence {
	var open []presence
	for _, p := range ends {
		if !explained[p.crash] {
			open = append(open, p)
		}
	}
	return open
}

// newQuarantined returns the quarantined set of a segment and those that were in the
// same requests at all of these ends and at no others.
func (q *Quarantine) newQuarantined(s segment, ends []presence, present map[segment][]presence, explained map[*crash]bool) *quarantined {
	x := &quarantined{}
	for _, p := range ends {
		x.crashes = append(x.crashes, p.crash)
	}
	sameEnd := func(a, b presence) bool { return a.crash == b.crash }
	for other, its := range present {
		together := other == s || len(its) >= len(ends) && slices.EqualFunc(unexplained(its, explained), ends, sameEnd) &&
			!slices.ContainsFunc(ends, func(p presence) bool { return !p.hasTogether(s, other) })
		if together {
			x.segments = append(x.segments, other)
		}
	}
	slices.SortFunc(x.segments, func(a, b segment) int { return cmp.Compare(a.id, b.id) })
	ids := make([]string, len(x.segments))
	for i, member := range x.segments {
		ids[i] = member.id
	}
	x.subject = s.pool + "/" + strings.Join(ids, "+")
	q.setTimes(x)
	return x
}

// setTimes sets the times of a quarantine from its ends.
func (q *Quarantine) setTimes(x *quarantined) {
	x.from = x.crashes[min(int(q.options.Settings.MinCrashes), len(x.crashes))-1].at.Add(objectionTime)
	x.until = x.crashes[len(x.crashes)-1].at.Add(q.hold(x.crashes))
}

// objectionTime is the time after the end that makes the evidence sufficient in which
// other routers can tell that they have served a segment or the request.
const objectionTime = 500 * time.Millisecond

// hasTogether reports whether one request had both segments.
func (c *crash) hasTogether(a, b segment) bool {
	return slices.ContainsFunc(c.reports, func(r report) bool {
		return slices.Contains(r.segments, a) && slices.Contains(r.segments, b)
	})
}

// hold returns how long after the last of the ends no request is let through. Each end
// that came Hold or more after the one before it was caused by a request that was let
// through.
func (q *Quarantine) hold(crashes []*crash) time.Duration {
	hold := q.options.Settings.Hold
	for i := 1; i < len(crashes); i++ {
		if crashes[i].at.Sub(crashes[i-1].at) >= q.options.Settings.Hold {
			hold = min(2*hold, q.options.Settings.MaxHold)
		}
	}
	return hold
}

// changesLocked compares what is quarantined with what was before.
func (q *Quarantine) changesLocked(before []*quarantined, now time.Time) []change {
	sameSubject := func(x *quarantined) func(*quarantined) bool {
		return func(other *quarantined) bool { return other.subject == x.subject }
	}
	var changes []change
	for _, x := range q.quarantined {
		if !slices.ContainsFunc(before, sameSubject(x)) {
			own := slices.ContainsFunc(x.crashes, func(c *crash) bool { return c.own })
			changes = append(changes, change{subject: x.subject, fingerprint: x.fingerprint, evidence: x.describe(now), hold: x.until.Sub(now), own: own})
		}
	}
	for _, x := range before {
		if !slices.ContainsFunc(q.quarantined, sameSubject(x)) {
			changes = append(changes, change{subject: x.subject, fingerprint: x.fingerprint, ended: true})
			delete(q.tried, x.subject)
			delete(q.refused, x.subject)
		}
	}
	return changes
}

// logChanges logs changes and has the evidence stored if this router contributed to it.
// The cause is what this router learned.
func (q *Quarantine) logChanges(changes []change, cause string) {
	store := false
	for _, c := range changes {
		what, key, subject := "segments", "segments", c.subject
		if c.fingerprint != (Fingerprint{}) {
			what, key, subject = "request", "fingerprint", c.fingerprint.String()
		}
		if c.ended {
			q.options.Log.Info(what+" not quarantined any more", key, subject, "cause", cause)
			continue
		}
		store = store || c.own
		q.options.Log.Warn(what+" quarantined", key, subject, "cause", cause, "evidence", c.evidence, "hold_ms", c.hold.Milliseconds())
	}
	if store {
		q.options.Quarantined()
	}
}

// signal wakes Run.
func (q *Quarantine) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run publishes delayed observations until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	for {
		var timer <-chan time.Time
		if wait, any := q.publishDue(); any {
			timer = q.options.Clock.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer:
		}
	}
}

// neverServedLocked returns the segments of a report that this router has never served.
func (q *Quarantine) neverServedLocked(r Report) []string {
	return slices.DeleteFunc(r.Segments, func(id string) bool { return !q.servedAtLocked(segment{r.Pool, id}).IsZero() })
}

// publishDue publishes what is due and still of use. It returns the time until the next
// one, and false if there is none.
func (q *Quarantine) publishDue() (time.Duration, bool) {
	now := q.options.Clock.Now()
	q.mu.Lock()
	var reports []duePublication
	var clearances []Clearance
	var waiting []duePublication
	next := time.Duration(0)
	for _, d := range q.due {
		switch {
		case now.Before(d.at):
			waiting = append(waiting, d)
			if wait := d.at.Sub(now); next == 0 || wait < next {
				next = wait
			}
		case d.request != "":
			d.report.Segments = q.neverServedLocked(d.report)
			if slices.ContainsFunc(d.crash.reports, func(r report) bool { return r.started }) {
				d.report.Segments = nil
			}
			if len(d.report.Segments) > 0 || d.report.Fingerprint != (Fingerprint{}) {
				reports = append(reports, d)
			}
		case d.completed != (Fingerprint{}):
			if l := q.lost[d.completed]; l.clearanceOfUse() {
				clearances = append(clearances, l.announce(l.completedAt, now))
			}
		case q.clearanceOfUseLocked(d.cleared):
			clearances = append(clearances, q.clearanceLocked(d.cleared, now))
		}
	}
	q.due = waiting
	if len(q.announced) > maxServed {
		clear(q.announced)
	}
	q.mu.Unlock()
	for _, d := range reports {
		q.publishReport(d.request, d.report, d.lostAt)
	}
	q.publishClearances(clearances)
	return next, len(waiting) > 0
}
