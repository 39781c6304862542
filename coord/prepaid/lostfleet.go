package prepaid

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// usableWithoutReplicas returns how much of a grant its holder can use at most, if its replicas do
// not respond and the store has responded to the routers that have started since. fenceErr says
// why the replicas were not enough.
func (l *lostHolders) usableWithoutReplicas(id grantID, grant grantRow, last heartbeatRow, fenceErr error) (int64, error) {
	if last.Incarnation != id.holder.Incarnation || !last.Polls {
		return 0, fmt.Errorf("%w, and its heartbeats do not bound its use", fenceErr)
	}
	series, err := l.pool.contact.responsesSince(last.StoreMs, grant.Era)
	if errors.Is(err, errSurvivors) {
		l.mu.Lock()
		l.survivorsAt = l.pool.options.Clock.Now()
		l.mu.Unlock()
	}
	if err != nil {
		return 0, fmt.Errorf("%w, and %w", fenceErr, err)
	}
	inactive, ok := series.bound(last, grant)
	l.pool.options.Log.Info("store responds to routers that started after a lost one", "workspace", id.workspace, "holder", id.holder.String(),
		"heartbeat_ms", last.StoreMs, "since_ms", series.since.Milliseconds(), "until_ms", series.until.Milliseconds(), "usable", grant.Activated+inactive, "enough", ok)
	if !ok {
		return 0, fmt.Errorf("%w, and the store has responded for too short a time", fenceErr)
	}
	return grant.Activated + inactive, nil
}

// needsEvidence reports whether a grant may have to be reclaimed without replicas, since none of
// its holder's fleet is known to respond.
func (l *lostHolders) needsEvidence(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.survivorsAt.IsZero() && now.Sub(l.survivorsAt) < maxProbeInterval {
		return false
	}
	for id := range l.grants {
		if s := l.silent[id.holder]; s != nil && now.Sub(s.since) < maxProbeInterval {
			return true
		}
	}
	return false
}

// errSurvivors is returned while a router of the lost fleet responds: it may know more.
var errSurvivors = errors.New("routers of the same fleet respond")

// responsesSince returns the longest series of responses of the store to one of the routers in an
// era. It returns errSurvivors unless all routers that respond have started after a time of the
// store's clock, in milliseconds.
func (c *contact) responsesSince(startedAfterMs, era int64) (responses, error) {
	c.mu.Lock()
	answers := []contactResponse{c.responseLocked()}
	c.mu.Unlock()
	var mu sync.Mutex // guards answers
	var ids []bus.ID
	for _, m := range c.pool.records.recentMembers() {
		ids = append(ids, m.ID)
	}
	c.ask(ids, contactRequest{}, func(_ bus.ID, r contactResponse) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, r)
	})
	longest, found := responses{}, false
	for _, r := range answers {
		if r.StartedMs <= startedAfterMs {
			return responses{}, errSurvivors
		}
		series := responses{time.Duration(r.SinceMs) * time.Millisecond, time.Duration(r.UntilMs) * time.Millisecond, r.Era}
		if r.Responding && r.Era == era && (!found || series.since < longest.since) {
			longest, found = series, true
		}
	}
	if !found {
		return responses{}, fmt.Errorf("the store did not respond to any of %d routers all the time", len(answers))
	}
	return longest, nil
}
