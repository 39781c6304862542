package prepaid

import (
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
)

// ballot is a holder's count of the consents to its newest heartbeat. Heartbeats are numbered from 1.
type ballot struct {
	// accepted is the newest heartbeat that the store has accepted, and newest the newest that may be in the store.
	accepted, newest int64
	// acceptedConsenters and newestConsenters are those that the rows of the two heartbeats name.
	acceptedConsenters, newestConsenters []bus.ID
	consented                            map[bus.ID]bool
}

// prepare numbers a new heartbeat. Its predecessor must have been accepted.
func (b *ballot) prepare(consenters []bus.ID) int64 {
	b.newest++
	b.newestConsenters, b.consented = consenters, make(map[bus.ID]bool)
	return b.newest
}

// accept notes that the store has accepted the newest heartbeat.
func (b *ballot) accept() { b.accepted, b.acceptedConsenters = b.newest, b.newestConsenters }

// receive notes that a router has consented to a heartbeat.
func (b *ballot) receive(id bus.ID, heartbeat int64) {
	if heartbeat == b.newest && heartbeat > 0 {
		b.consented[id] = true
	}
}

// missing returns the consenters that have not consented yet, or nil if no heartbeat was accepted.
func (b *ballot) missing() []bus.ID {
	if b.accepted == 0 {
		return nil
	}
	var ids []bus.ID
	for _, id := range slices.Concat(b.acceptedConsenters, b.newestConsenters) {
		if !b.consented[id] && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// complete reports whether enough consenters of both heartbeats have consented.
func (b *ballot) complete() bool {
	for _, consenters := range [][]bus.ID{b.acceptedConsenters, b.newestConsenters} {
		missing := 0
		for _, id := range consenters {
			if !b.consented[id] {
				missing++
			}
		}
		if missing > mayMiss(len(consenters)) {
			return false
		}
	}
	return true
}

// heartbeatState has what the use of inactive tokens depends on.
type heartbeatState struct {
	// last and confirmed are when the newest heartbeat that may be in the store and the newest that the store has
	// accepted were created, or the zero time before the first, and gapEnded is when the last gap between heartbeats ended.
	last, confirmed, gapEnded time.Time
	// consented says that enough consenters have consented.
	consented bool
}

func (hb *heartbeat) state() heartbeatState {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return heartbeatState{hb.lastHeartbeat, hb.confirmed, hb.gapEnded, hb.ballot.complete()}
}

// consentsMissing returns the numbers of the newest accepted heartbeat and of the newest one, and the routers that have
// not consented to the latter yet.
func (hb *heartbeat) consentsMissing() (accepted, newest int64, missing []bus.ID) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return hb.ballot.accepted, hb.ballot.newest, hb.ballot.missing()
}

// noteConsent notes that a router has consented to a heartbeat.
func (hb *heartbeat) noteConsent(id bus.ID, number int64) {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.ballot.receive(id, number)
}

// newest returns the number of the newest heartbeat.
func (hb *heartbeat) newest() int64 {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	return hb.ballot.newest
}
