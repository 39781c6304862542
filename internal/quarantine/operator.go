package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Values of Entry.Kind.
const (
	KindSegments = "segments"
	KindRequest  = "request"
)

// End is the end of an endpoint that counts against what is quarantined.
type End struct {
	Endpoint string
	At       time.Time // by this router's clock
}

// Entry tells what is quarantined.
type Entry struct {
	Kind string // KindSegments or KindRequest
	// Subject names it for Lift and is the same at all routers.
	Subject string
	Ends    []End // in the order of their times
	// Refused counts the requests that this router has refused because of it.
	Refused int64
	// HeldUntil is until when this router lets no request through.
	HeldUntil time.Time
}

// List returns what is quarantined, in the order of the subjects.
func (q *Quarantine) List() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Entry
	for _, x := range q.quarantined {
		e := Entry{Kind: KindSegments, Subject: x.subject, Refused: q.refused[x.subject], HeldUntil: q.heldUntilLocked(x)}
		if x.isRequest() {
			e.Kind = KindRequest
		}
		for _, c := range x.crashes {
			e.Ends = append(e.Ends, End{c.endpoint, c.at})
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Subject, b.Subject) })
	return list
}

// Lift ends a quarantine at all routers: the ends up to now count no more, as if a request
// had been served. It returns false if the subject is not quarantined here.
func (q *Quarantine) Lift(subject string) bool {
	now := q.options.Clock.Now()
	q.mu.Lock()
	i := slices.IndexFunc(q.quarantined, func(x *quarantined) bool { return x.subject == subject })
	if i < 0 {
		q.mu.Unlock()
		return false
	}
	x := q.quarantined[i]
	var clearances []Clearance
	var changes []change
	if x.isRequest() {
		q.completed.set(x.fingerprint, now)
		clearances = append(clearances, q.lost[x.fingerprint].announce(now, now))
		changes = q.clearRequestLocked(x.fingerprint, now, now)
	}
	for _, s := range x.segments {
		q.setServedLocked(s, now)
		clearances = append(clearances, q.clearanceLocked(s, now))
	}
	if len(x.segments) > 0 {
		changes = q.evaluateLocked(now, true)
	}
	q.mu.Unlock()
	q.publishClearances(clearances)
	q.logChanges(changes, "lifted by an operator")
	return true
}
