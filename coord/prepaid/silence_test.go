package prepaid

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns a time that is ms milliseconds after a fixed one.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// TestSuspensionIsNoSilenceOfStore guards against a process that takes the store to be silent since
// it was itself suspended.
func TestSuspensionIsNoSilenceOfStore(t *testing.T) {
	var s attempts
	for ms := 0; ms <= 1000; ms += 200 {
		s.started(at(ms))
		s.failed()
	}
	assert.Assert(t, s.silent(at(1000)))
	assert.Assert(t, !s.silent(at(9000)), "silent without an attempt of the last seconds")
	s.started(at(9000))
	assert.Assert(t, !s.silent(at(9000)), "silent at the first attempt after a suspension")
	s.started(at(9200))
	s.started(at(9400))
	assert.Assert(t, s.silent(at(9400)))
	s.responded(at(9400), at(9404), 0, 1)
	s.started(at(9600))
	assert.Assert(t, !s.silent(at(9900)))
}

// TestSeriesOfResponsesEndsWithEachDoubt guards against responses that hide an outage between them.
func TestSeriesOfResponsesEndsWithEachDoubt(t *testing.T) {
	doubts := map[string]func(s *attempts){
		"none":           func(*attempts) {},
		"failure":        func(s *attempts) { s.failed() },
		"late response":  func(s *attempts) { s.responded(at(400), at(700), 700*time.Millisecond, 1) },
		"restored store": func(s *attempts) { s.responded(at(700), at(704), 700*time.Millisecond, 2) },
		"gap":            func(s *attempts) { s.responded(at(900), at(904), 900*time.Millisecond, 1) },
	}
	for name, doubt := range doubts {
		var s attempts
		for ms := 0; ms <= 400; ms += 200 {
			s.started(at(ms))
			s.responded(at(ms), at(ms+4), time.Duration(ms)*time.Millisecond, 1)
		}
		doubt(&s)
		s.started(at(800))
		s.responded(at(800), at(804), 800*time.Millisecond, max(s.era, 1))
		series, ok := s.responding(at(900))
		assert.Assert(t, ok, name)
		assert.Equal(t, series.since == 0, name == "none", name)
		_, ok = s.responding(at(2000))
		assert.Assert(t, !ok, name)
	}
}

// TestOutageOfAFewUnlocksNothing guards against a holder that takes a cut of its own for an outage of the
// store.
func TestOutageOfAFewUnlocksNothing(t *testing.T) {
	const unlockAfter = 1500 * time.Millisecond
	unlockTime := func(o outage, lastMs, confirmedMs, nowMs int) time.Duration {
		d, ok := o.unlockTime(at(lastMs), at(confirmedMs), at(nowMs), unlockAfter)
		assert.Equal(t, ok, d > 0)
		return d
	}
	polls := func(silent, responding int, times ...int) (o outage) {
		for _, ms := range times {
			o.observe(at(ms), 4, silent, responding)
		}
		return o
	}
	all := polls(3, 0, 1000, 1800, 2600)
	assert.Equal(t, unlockTime(all, 0, 0, 2700), 2600*time.Millisecond+unlockLookahead)
	assert.Equal(t, unlockTime(all, 0, 0, 4000), time.Duration(0), "the last poll is too old")
	assert.Equal(t, unlockTime(all, 1500, 0, 2700), time.Duration(0), "a later heartbeat may be in the store")
	assert.Equal(t, unlockTime(all, 0, -2500, 2700), time.Duration(0), "the store responded to others meanwhile")
	assert.Equal(t, unlockTime(polls(2, 0, 1000, 1800, 2600), 0, 0, 2700), time.Duration(0), "half of the routers")
	assert.Equal(t, unlockTime(polls(3, 0, 1000, 2600, 3400), -1000, -1000, 3500), time.Duration(0), "a gap between polls")
	few := polls(1, 2, 1000)
	assert.Assert(t, few.refuted(at(1500)) && !few.refuted(at(2500)))
}

// TestBoundOfLostHolder guards against a reclaim of what a holder may have used, or may still use.
func TestBoundOfLostHolder(t *testing.T) {
	last := heartbeatRow{StoreMs: 10_000, UnlockAfterMs: 1500, UnlockWithinMs: 60_000}
	grant := grantRow{Granted: 200_000, Activated: 50_000, UnlockRate: 1000}
	ms := func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
	for _, tt := range []struct {
		name         string
		since, until int64
		atMost       int64
		ok           bool
	}{
		{"store responds since the heartbeat", 10_100, 15_000, 0, true},
		{"too soon to show that", 10_100, 14_999, 0, false},
		{"responds again after 8 s", 18_000, 20_000, 28_517, true},
		{"responds again, but not for long", 18_000, 19_999, 0, false},
		{"after minutes", 300_000, 302_000, 150_000, true},
	} {
		bound, ok := responses{since: ms(tt.since), until: ms(tt.until)}.bound(last, grant)
		assert.Equal(t, ok, tt.ok, tt.name)
		assert.Equal(t, bound, tt.atMost, tt.name)
	}
}
