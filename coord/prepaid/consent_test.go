package prepaid

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// reclaimModel is a holder with one grant, two other routers, and a third one that reclaims the grant, in any order of
// their steps and messages.
type reclaimModel struct {
	rules reclaimRules
	// The store: the grant's row by its version, whether it was reclaimed, and the heartbeat row. aged is set once the
	// heartbeat is older than lostAfter.
	grantVersion int
	reclaimed    bool
	heartbeat    modelHeartbeat
	aged         bool
	// The holder. pending is its heartbeat that is not known to be accepted, and applied whether the store has
	// applied it, after a gap. It has to write the grant again if mustWrite is set. used is the version of the grant of which
	// it has used inactive tokens.
	ballot                       ballot
	pending, applied, afterGap   bool
	mustWrite, knowsReclaim      bool
	knownVersion, used, restarts int
	routers                      [2]modelRouter
	// replies are consents on their way to the holder.
	replies []modelReply
	// The reclaimer: how far it is, the rows that it has read, and whether it has the word of a consenter.
	step        int
	readVersion int
	read        modelHeartbeat
	word        bool
}

type modelRouter struct {
	incarnation int
	consent     consent
}

type modelHeartbeat struct {
	number     int64
	consenters []bus.ID
}

type modelReply struct {
	from      bus.ID
	heartbeat int64
}

// reclaimRules leaves out rules one by one.
type reclaimRules struct {
	oneIsEnough, forgetsWithheld, successorConsents, ignoresGap, countsOldConsents, ignoresPending bool
}

const (
	modelHeartbeats = 2
	modelRestarts   = 1
)

func (m *reclaimModel) id(i int) bus.ID {
	return bus.ID{VM: fmt.Sprint("vm-", i), Incarnation: fmt.Sprint(m.routers[i].incarnation)}
}

func (m *reclaimModel) clone() *reclaimModel {
	c := *m
	c.ballot.consented = maps.Clone(m.ballot.consented)
	c.replies = slices.Clone(m.replies)
	return &c
}

// key identifies the state apart from the rules.
func (m *reclaimModel) key() []byte {
	var key []byte
	for _, n := range []int{
		m.grantVersion, m.flags(), m.knownVersion, m.used, m.restarts, m.step, m.readVersion,
		int(m.ballot.accepted), int(m.ballot.newest), int(m.heartbeat.number), int(m.read.number),
	} {
		key = append(key, byte(n))
	}
	for _, ids := range [][]bus.ID{m.ballot.acceptedConsenters, m.ballot.newestConsenters, m.heartbeat.consenters, m.read.consenters, slices.Collect(maps.Keys(m.ballot.consented))} {
		key = append(key, maskOf(ids))
	}
	for _, r := range m.routers {
		key = append(key, byte(r.incarnation), byte(r.consent.given), byte(r.consent.withheld))
	}
	for _, r := range m.replies {
		key = append(key, maskOf([]bus.ID{r.from}), byte(r.heartbeat))
	}
	return key
}

// flags has a bit for each boolean field.
func (m *reclaimModel) flags() (bits int) {
	for i, set := range []bool{m.reclaimed, m.aged, m.pending, m.applied, m.afterGap, m.mustWrite, m.knowsReclaim, m.word} {
		if set {
			bits |= 1 << i
		}
	}
	return bits
}

// maskOf has a bit for each incarnation of each router.
func maskOf(ids []bus.ID) (mask byte) {
	for _, id := range ids {
		mask |= 1 << (2*(id.VM[len(id.VM)-1]-'0') + id.Incarnation[0] - '0')
	}
	return mask
}

// mayUse reports whether the holder may use inactive tokens.
func (m *reclaimModel) mayUse() bool {
	if m.ballot.accepted == 0 || m.knowsReclaim || m.mustWrite && !m.rules.ignoresGap {
		return false
	}
	if m.rules == (reclaimRules{}) {
		return m.ballot.complete()
	}
	missing := m.ballot.missing()
	if m.rules.ignoresPending {
		missing = slices.DeleteFunc(missing, func(id bus.ID) bool { return !slices.Contains(m.ballot.acceptedConsenters, id) })
	}
	if m.rules.successorConsents {
		missing = slices.DeleteFunc(missing, func(id bus.ID) bool {
			for other := range m.ballot.consented {
				if other.VM == id.VM {
					return true
				}
			}
			return false
		})
	}
	return len(missing) == 0 || m.rules.oneIsEnough && len(missing) < 2
}

// next calls visit with each state that one step leads to.
func (m *reclaimModel) next(visit func(step string, s *reclaimModel)) {
	take := func(step string, f func(s *reclaimModel)) {
		s := m.clone()
		f(s)
		visit(step, s)
	}
	if m.heartbeat.number > 0 && !m.aged {
		take("time passes", func(s *reclaimModel) { s.aged = true })
	}
	m.nextOfHolder(take)
	m.nextOfRouters(take)
	m.nextOfReclaimer(take)
}

func (m *reclaimModel) nextOfHolder(take func(string, func(s *reclaimModel))) {
	if !m.pending && m.used == 0 && m.ballot.newest < modelHeartbeats {
		for _, consenters := range [][]bus.ID{{m.id(0), m.id(1)}, {m.id(1)}} {
			take(fmt.Sprint("heartbeat with ", consenters), func(s *reclaimModel) {
				consented := s.ballot.consented
				s.ballot.prepare(consenters)
				if s.rules.countsOldConsents {
					maps.Copy(s.ballot.consented, consented)
				}
				s.pending, s.applied = true, false
			})
		}
	}
	if m.pending && !m.applied {
		take("heartbeat applied", func(s *reclaimModel) {
			s.heartbeat = modelHeartbeat{s.ballot.newest, s.ballot.newestConsenters}
			s.applied, s.afterGap, s.aged = true, s.aged, false
		})
	}
	if m.pending && m.applied {
		take("heartbeat known to be accepted", func(s *reclaimModel) {
			s.ballot.accept()
			s.pending, s.mustWrite = false, s.mustWrite || s.afterGap
		})
	}
	if !m.knowsReclaim && m.grantVersion < 2 {
		take("grant written", func(s *reclaimModel) {
			if s.grantVersion != s.knownVersion {
				s.knowsReclaim = true
				return
			}
			s.grantVersion++
			s.knownVersion, s.used, s.mustWrite = s.grantVersion, 0, false
		})
	}
	if m.used == 0 && m.mayUse() {
		take("inactive tokens used", func(s *reclaimModel) { s.used = s.knownVersion })
	}
	for i, r := range m.replies {
		take("consent received", func(s *reclaimModel) {
			s.replies = slices.Delete(s.replies, i, i+1)
			s.ballot.receive(r.from, r.heartbeat)
		})
	}
}

func (m *reclaimModel) nextOfRouters(take func(string, func(s *reclaimModel))) {
	for i := range m.routers {
		if reply := (modelReply{m.id(i), m.ballot.newest}); reply.heartbeat > 0 && !slices.Contains(m.replies, reply) && !m.ballot.consented[reply.from] {
			take(fmt.Sprint("poll of ", m.id(i)), func(s *reclaimModel) {
				if s.routers[i].consent.give(s.ballot.accepted, s.ballot.newest) {
					s.replies = append(s.replies, reply)
				}
			})
		}
		if m.restarts < modelRestarts {
			take(fmt.Sprint("restart of ", m.id(i)), func(s *reclaimModel) {
				s.restarts++
				s.routers[i] = modelRouter{incarnation: s.routers[i].incarnation + 1}
			})
		}
	}
}

func (m *reclaimModel) nextOfReclaimer(take func(string, func(s *reclaimModel))) {
	switch {
	case m.step == 0:
		take("grant read", func(s *reclaimModel) { s.step, s.readVersion = 1, s.grantVersion })
	case m.step == 1 && m.aged:
		take("heartbeat read", func(s *reclaimModel) { s.step, s.read = 2, s.heartbeat })
	case m.step == 2:
		for i := range m.routers {
			if !slices.Contains(m.read.consenters, m.id(i)) {
				continue
			}
			take(fmt.Sprint("word of ", m.id(i)), func(s *reclaimModel) {
				before := s.routers[i].consent
				s.word = s.word || s.routers[i].consent.withhold(s.read.number)
				if s.rules.forgetsWithheld {
					s.routers[i].consent = before
				}
			})
		}
		if m.word {
			take("reclaim", func(s *reclaimModel) {
				s.step = 3
				if s.grantVersion == s.readVersion {
					s.grantVersion++
					s.reclaimed = true
				}
			})
		}
	}
}

// overspends reports whether tokens were used that were also reclaimed.
func (m *reclaimModel) overspends() bool {
	return m.reclaimed && m.used != 0 && m.used == m.readVersion
}

// search returns the steps to a state that overspends, or nil if there is none, and the number of states.
func search(rules reclaimRules) (steps []string, states int) {
	seen := make(map[uint64]bool)
	var visit func(m *reclaimModel) bool
	visit = func(m *reclaimModel) (found bool) {
		if m.overspends() {
			return true
		}
		m.next(func(step string, s *reclaimModel) {
			key := xxhash.Sum64(s.key())
			if found || seen[key] {
				return
			}
			seen[key] = true
			if found = visit(s); found {
				steps = append(steps, step)
			}
		})
		return found
	}
	visit(&reclaimModel{rules: rules, grantVersion: 1, knownVersion: 1})
	slices.Reverse(steps)
	return steps, len(seen)
}

// TestNoOrderOfStepsReclaimsUsedTokens guards against a reclaim of tokens that a holder which is cut off uses, in all
// orders of the steps of a small fleet.
func TestNoOrderOfStepsReclaimsUsedTokens(t *testing.T) {
	t.Parallel()
	steps, states := search(reclaimRules{})
	t.Logf("%d states", states)
	assert.Equal(t, len(steps), 0, "%q", steps)
	for name, rules := range map[string]reclaimRules{
		"the consent of one is enough": {oneIsEnough: true}, "withheld consents are forgotten": {forgetsWithheld: true},
		"a successor consents": {successorConsents: true}, "no write after a gap": {ignoresGap: true},
		"consents to earlier heartbeats count": {countsOldConsents: true}, "the pending heartbeat is ignored": {ignoresPending: true},
	} {
		steps, _ := search(rules)
		t.Logf("%s: %q", name, steps)
		assert.Check(t, len(steps) > 0, "%s: no step overspends", name)
	}
}

// TestConsentsAndWordsMeet guards against numbers of consenters of which some allow a holder the use of its tokens while
// others allow their reclaim.
func TestConsentsAndWordsMeet(t *testing.T) {
	for n := 1; n <= maxVoters; n++ {
		var ids []bus.ID
		for i := range n {
			ids = append(ids, bus.ID{VM: fmt.Sprint("vm-", i), Incarnation: "1"})
		}
		var b ballot
		number := b.prepare(ids)
		b.accept()
		consents := 0
		for ; !b.complete(); consents++ {
			b.receive(ids[consents], number)
		}
		assert.Assert(t, consents+mayMiss(newRouterSet(ids).len())+1 > n, "%d consents of %d", consents, n)
	}
}

// TestPauseEndsWithGap guards against a holder that has paused, and does not write its grants again although they may
// have been reclaimed on its last heartbeat before.
func TestPauseEndsWithGap(t *testing.T) {
	for sinceAccepted, want := range map[time.Duration]bool{2 * time.Second: false, lostAfter: true} {
		h := NewHolder(Options{Clock: clock.NewFake(time.Unix(1000, 0)), Store: memory.New(), Log: slog.New(slog.DiscardHandler)})
		hb := &h.heartbeat
		hb.acceptedMs = 7000
		hb.pause()
		hb.newestMs = 7000 + sinceAccepted.Milliseconds()
		hb.noteAccepted(7*time.Second + sinceAccepted)
		assert.Equal(t, !hb.gapEnded.IsZero(), want, "%v", sinceAccepted)
	}
}
