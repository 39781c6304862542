package quarantine

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/internal/exchange"
)

// RecordServed records that a response to a prompt with these segments got past its
// beginning.
func (q *Quarantine) RecordServed(pool string, shared []exchange.Segment) {
	if len(shared) == 0 {
		return
	}
	now := q.options.Clock.Now()
	q.mu.Lock()
	var clearances []Clearance
	var changes []change
	for _, s := range segmentsOf(pool, shared) {
		q.setServedLocked(s, now)
		if len(q.suspects[s]) >= announceFrom {
			clearances = append(clearances, q.clearanceLocked(s, now))
		}
		changes = append(changes, q.clearLocked(s, now)...)
	}
	q.mu.Unlock()
	q.publishClearances(clearances)
	q.logChanges(changes, "served")
}

// clearLocked applies that a segment was served and returns what has changed.
func (q *Quarantine) clearLocked(s segment, now time.Time) []change {
	switch {
	case len(q.suspects[s]) == 0:
		return nil
	case len(q.quarantined) == 0:
		// Less evidence cannot quarantine anything else.
		q.suspects[s] = slices.DeleteFunc(q.suspects[s], func(p presence) bool { return q.servedAtLocked(s).After(p.at) })
		return nil
	}
	return q.evaluateLocked(now, true)
}

// announceFrom is the number of ends against a segment from which routers tell each
// other that it was served.
const announceFrom = 2

// clearanceLocked returns the clearance of a segment that was served, which is announced
// with it.
func (q *Quarantine) clearanceLocked(s segment, now time.Time) Clearance {
	servedAt := q.servedAtLocked(s)
	q.announced[s] = servedAt
	return Clearance{Pool: s.pool, Segment: s.id, AgeMS: now.Sub(servedAt).Milliseconds()}
}

// publishClearances publishes clearances of this router.
func (q *Quarantine) publishClearances(clearances []Clearance) {
	for _, c := range clearances {
		q.stats.clearances.Inc()
		q.options.PublishClearance(c)
	}
}

// setServedLocked records that a segment was served.
func (q *Quarantine) setServedLocked(s segment, at time.Time) {
	if at.Before(q.servedAtLocked(s)) {
		return
	}
	if len(q.served) >= maxServed/2 {
		q.servedBefore, q.served = q.served, make(map[segment]time.Time)
	}
	q.served[s] = at
}

// servedAtLocked returns when a segment was last served; zero if that is not known.
func (q *Quarantine) servedAtLocked(s segment) time.Time {
	if at, ok := q.served[s]; ok {
		return at
	}
	return q.servedBefore[s]
}

// weakReportDelay is how long a router waits with a report of a response that had not
// started, which is of no use if a report of one that had comes meanwhile.
const weakReportDelay = 200 * time.Millisecond

// RecordCrash records that this router lost the response to a request at an endpoint
// that has ended. The response was lost at the given time.
func (q *Quarantine) RecordCrash(request string, r Report, at time.Time) {
	if len(r.Segments) == 0 && r.Fingerprint == (Fingerprint{}) {
		return // it would not tell of anything
	}
	r.Segments = slices.Clone(r.Segments[:min(len(r.Segments), maxSegments)])
	for i, id := range r.Segments {
		r.Segments[i] = boundedID(id)
	}
	now := q.options.Clock.Now()
	q.mu.Lock()
	c, changes := q.addReportLocked(&r, at, now, true)
	delayed := c != nil && !r.Started && len(r.Segments) > 0
	publish := c != nil && !delayed
	if delayed && len(q.due) < maxDue {
		q.due = append(q.due, duePublication{at: now.Add(weakReportDelay), request: request, report: r, lostAt: at, crash: c})
	}
	q.mu.Unlock()
	if publish {
		q.publishReport(request, r, at)
	}
	q.logChanges(changes, "crash")
	q.signal()
}

// publishReport publishes a report of this router on a response that was lost at the
// given time.
func (q *Quarantine) publishReport(request string, r Report, lostAt time.Time) {
	r.AgeMS = q.options.Clock.Now().Sub(lostAt).Milliseconds()
	q.stats.reports.Inc()
	q.options.Log.Info("endpoint ended at the start of a response", "request", request, "endpoint", r.Endpoint, "pool", r.Pool,
		"started", r.Started, "segments", strings.Join(r.Segments, ","), "fingerprint", r.Fingerprint.String())
	about := boundedID(request)
	if len(r.Segments) == 0 {
		about = r.Fingerprint.subject()
	}
	q.options.PublishReport(fmt.Sprintf("%s at %s/%d", about, r.Endpoint, r.StartedMs), r)
}

// Stores reports whether the report or clearance with a subject is to be stored for routers
// that the others can't reach. Each end of an endpoint brings a report for each request that
// was lost there, and few of these are lost at enough ends to be quarantined.
func (q *Quarantine) Stores(subject string) bool {
	about, _, _ := strings.Cut(subject, " at ")
	digits, isRequest := strings.CutPrefix(about, requestPrefix)
	var f Fingerprint
	if !isRequest || len(digits) != hex.EncodedLen(len(f)) {
		return true
	}
	if _, err := hex.Decode(f[:], []byte(digits)); err != nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lost[f]
	return l != nil && int64(len(l.ends)) >= q.options.Settings.MinCrashes
}

// ReceiveReport takes in a report of another router that was made at the given time of
// this router's clock. Malformed reports are ignored.
func (q *Quarantine) ReceiveReport(r Report, at time.Time) {
	if r.Pool == "" || r.Endpoint == "" || len(r.Segments) == 0 && r.Fingerprint == (Fingerprint{}) || len(r.Segments) > maxSegments ||
		slices.ContainsFunc(r.Segments, func(id string) bool { return id == "" || len(id) > maxSegmentBytes }) {
		q.options.Log.Warn("report of another router ignored, it is malformed", "endpoint", r.Endpoint, "pool", r.Pool, "segments", len(r.Segments))
		return
	}
	q.mu.Lock()
	_, changes := q.addReportLocked(&r, at.Add(-durationOfMS(r.AgeMS)), q.options.Clock.Now(), false)
	q.mu.Unlock()
	q.logChanges(changes, "report")
	q.signal()
}

// ReceiveClearance takes in a clearance of another router that was made at the given
// time of this router's clock.
func (q *Quarantine) ReceiveClearance(c Clearance, at time.Time) {
	at = at.Add(-durationOfMS(c.AgeMS))
	if c.Fingerprint != (Fingerprint{}) {
		q.receiveRequestClearance(c.Fingerprint, at)
		return
	}
	s := segment{c.Pool, c.Segment}
	if len(c.Segment) > maxSegmentBytes {
		return
	}
	q.mu.Lock()
	q.setServedLocked(s, at)
	if at.After(q.announced[s]) {
		q.announced[s] = at
	}
	changes := q.clearLocked(s, q.options.Clock.Now())
	q.mu.Unlock()
	q.logChanges(changes, "clearance")
}

// durationOfMS returns a number of milliseconds as a duration from 0 to Retention.
func durationOfMS(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), Retention.Milliseconds())) * time.Millisecond
}

// addReportLocked adds a report to the end that it tells of, which is returned, and
// removes from the report what is not kept. It returns nil if nothing is.
func (q *Quarantine) addReportLocked(r *Report, at, now time.Time, own bool) (*crash, []change) {
	c, sentAt := q.crashOfLocked(r, at), at.Add(-durationOfMS(r.SentBeforeMS))
	if !q.addLostLocked(c, r, sentAt) {
		r.Fingerprint = Fingerprint{}
	}
	added, kept := c.addSegments(r, sentAt)
	if !kept {
		r.Segments = nil
	}
	if !kept && r.Fingerprint == (Fingerprint{}) {
		return nil, nil
	}
	if at.Before(c.at) {
		c.at = at
	}
	c.own = c.own || own
	changes := q.evaluateLocked(now, kept)
	q.planClearancesLocked(added, now)
	if q.lost[r.Fingerprint].clearanceOfUse() && len(q.due) < maxDue {
		q.due = append(q.due, duePublication{at: now.Add(q.options.Jitter(maxClearanceDelay)), completed: r.Fingerprint})
	}
	return c, changes
}

// crashOfLocked returns the end that a report tells of, which is added if it is new.
func (q *Quarantine) crashOfLocked(r *Report, at time.Time) *crash {
	if i := slices.IndexFunc(q.crashes, func(c *crash) bool { return c.endpoint == r.Endpoint && c.startedMs == r.StartedMs }); i >= 0 {
		return q.crashes[i]
	}
	c := &crash{endpoint: r.Endpoint, startedMs: r.StartedMs, at: at}
	q.crashes = append(q.crashes, c)
	return c
}

// addSegments adds the segments of a report, if it has any. It returns false if they are
// not kept.
func (c *crash) addSegments(r *Report, sentAt time.Time) (report, bool) {
	if len(r.Segments) == 0 {
		return report{}, false
	}
	if len(c.reports) >= maxReports {
		weak := slices.IndexFunc(c.reports, func(x report) bool { return !x.started })
		if weak < 0 || !r.Started {
			return report{}, false
		}
		c.reports = slices.Delete(c.reports, weak, weak+1)
	}
	added := report{started: r.Started, sentAt: sentAt}
	for _, id := range r.Segments {
		added.segments = append(added.segments, segment{r.Pool, id})
	}
	c.reports = append(c.reports, added)
	return added, true
}

// maxClearanceDelay bounds the random wait before a router tells that a segment was
// served, so that not all routers tell the same.
const maxClearanceDelay = 200 * time.Millisecond

// planClearancesLocked plans to tell the other routers of those segments of a report
// that this router has served, if that is of use to them.
func (q *Quarantine) planClearancesLocked(r report, now time.Time) {
	for _, s := range r.segments {
		if q.clearanceOfUseLocked(s) && len(q.due) < maxDue {
			q.due = append(q.due, duePublication{at: now.Add(q.options.Jitter(maxClearanceDelay)), cleared: s})
		}
	}
}

// clearanceOfUseLocked reports whether other routers should be told when this router
// last served a segment: it was present at several ends, and they know of no response,
// or of none that is later than one of these ends while this router does.
func (q *Quarantine) clearanceOfUseLocked(s segment) bool {
	servedAt, announced := q.servedAtLocked(s), q.announced[s]
	if !servedAt.After(announced) {
		return false
	}
	ends, cleared := 0, 0
	for _, c := range q.crashes {
		if slices.ContainsFunc(c.reports, func(r report) bool { return slices.Contains(r.segments, s) }) {
			ends++
			if c.at.After(announced) && c.at.Before(servedAt) {
				cleared++
			}
		}
	}
	return ends >= announceFrom && (announced.IsZero() || cleared > 0)
}

// sortedByTime returns ends in the order of their times.
func sortedByTime(crashes []*crash) []*crash {
	slices.SortFunc(crashes, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint))
	})
	return crashes
}
