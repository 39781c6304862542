package gossip

import (
	"cmp"
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"daisyslip.dev/daisyslip/coord/bus"
)

// updateNeighboursLocked adds new neighbours and forgets those that are none any more.
func (s *Spreader) updateNeighboursLocked(ids []bus.ID) {
	for id := range s.neighbours {
		if !slices.Contains(ids, id) {
			delete(s.neighbours, id)
		}
	}
	for _, id := range ids {
		if s.neighbours[id] == nil {
			s.neighbours[id] = &neighbour{}
		}
	}
}

// neighboursOf returns the members to which self sends: those at the distances 1, 2, 4
// and so on behind it in the list.
func neighboursOf(self bus.ID, listed []bus.ID) []bus.ID {
	i := slices.Index(listed, self)
	if i < 0 {
		return nil
	}
	ids := make([]bus.ID, 0, bits.Len(uint(len(listed))))
	for distance := 1; distance < len(listed); distance *= 2 {
		ids = append(ids, listed[(i+distance)%len(listed)])
	}
	return ids
}

// wireObservation is the encoded form of an observation.
type wireObservation struct {
	Origin  bus.ID `cbor:"1,keyasint"`
	Number  uint64 `cbor:"2,keyasint"`
	Topic   Topic  `cbor:"3,keyasint"`
	Subject string `cbor:"4,keyasint"`
	// AgeMS is the time since the observation was made, in milliseconds.
	AgeMS int64  `cbor:"5,keyasint"`
	Body  []byte `cbor:"6,keyasint"`
}

// message is what is sent to a neighbour.
type message struct {
	Observations []wireObservation `cbor:"1,keyasint"`
}

// acknowledgement is the response to a message.
type acknowledgement struct{}

// batchLocked returns the entries after the arrival acked for a neighbour, oldest
// first, and the arrival up to which the neighbour then has all. Entries that it has
// sent or made itself are left out.
func (s *Spreader) batchLocked(to bus.ID, acked uint64, now time.Time) ([]wireObservation, uint64) {
	var pending []*entry
	for _, e := range s.entries {
		if e.arrival > acked {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int { return cmp.Compare(a.arrival, b.arrival) })
	var batch []wireObservation
	size := 0
	for _, e := range pending {
		if size += len(e.Body) + len(e.Subject); size > maxBatchBytes {
			break
		}
		acked = e.arrival
		if e.from != to && e.Origin != to {
			batch = append(batch, e.encode(now))
		}
	}
	return batch, acked
}

// encode returns the encoded form of the entry at the time now.
func (e *entry) encode(now time.Time) wireObservation {
	return wireObservation{
		Origin: e.Origin, Number: e.number, Topic: e.Topic, Subject: e.Subject,
		AgeMS: max(now.Sub(e.At), 0).Milliseconds(), Body: e.Body,
	}
}

// send sends a batch to a neighbour and records the result.
func (s *Spreader) send(ctx context.Context, to bus.ID, batch []wireObservation, upTo uint64) {
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := bus.Call[message, acknowledgement](callCtx, s.options.Bus, to, kindSpread, message{Observations: batch})
	s.mu.Lock()
	if n := s.neighbours[to]; n != nil {
		n.inFlight = false
		if err == nil {
			s.stats.sent.Inc()
			n.acked, n.failures, n.retryAt = max(n.acked, upTo), 0, time.Time{}
		} else {
			s.stats.failed.Inc()
			n.retryAt = s.options.Clock.Now().Add(retryDelay(n.failures))
			n.failures++
		}
	}
	s.mu.Unlock()
	if err != nil {
		s.options.Log.Debug("observations not sent", "peer", to.String(), "observations", len(batch), "err", err.Error())
	}
	s.signal()
}

// retryDelay returns the wait after a failed message that follows a number of failures.
func retryDelay(failures int) time.Duration {
	if failures >= lostFailures {
		return lostRetryDelay
	}
	return min(minRetryDelay<<min(failures, maxRetryDoublings), maxRetryDelay)
}

// maxRetryDoublings bounds how often the delay of a retry is doubled, so that its
// computation does not overflow.
const maxRetryDoublings = 8

// handleSpread keeps the observations of a neighbour and hands over the new ones.
func (s *Spreader) handleSpread(_ context.Context, from bus.ID, m message) (acknowledgement, error) {
	s.receive(from, m.Observations, 0)
	return acknowledgement{}, nil
}

// receive keeps observations that are older by extraAge than they tell, and hands over
// the new ones. It drops those that exceed the bounds, have an unknown topic, are too
// old, or name this router as their origin, which keeps its own.
func (s *Spreader) receive(from bus.ID, observations []wireObservation, extraAge time.Duration) {
	now := s.options.Clock.Now()
	type delivery struct {
		handler Handler
		Observation
	}
	var deliveries []delivery
	s.mu.Lock()
	for _, o := range observations {
		topic, known := s.topics[o.Topic]
		age := durationOfMS(o.AgeMS) + extraAge
		if !known || o.Origin == s.self || o.Origin.IsZero() || len(o.Body) > MaxBodyBytes || len(o.Subject) > maxSubjectBytes || age > topic.retention {
			s.stats.refused.Inc()
			continue
		}
		e := &entry{Observation: Observation{Origin: o.Origin, Topic: o.Topic, Subject: o.Subject, At: now.Add(-age), Body: o.Body}, number: o.Number, from: from}
		if s.keepLocked(e) {
			s.stats.received.Inc()
			deliveries = append(deliveries, delivery{topic.handler, e.Observation})
		}
	}
	s.mu.Unlock()
	for _, d := range deliveries {
		d.handler(d.Observation)
	}
	if len(deliveries) > 0 {
		s.signal()
	}
}

// maxAge is the largest age that is told apart from larger ones.
const maxAge = 365 * 24 * time.Hour

// durationOfMS returns a number of milliseconds as a duration from 0 to maxAge.
func durationOfMS(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// Encode returns the CBOR form of the body of an observation. The value must be one
// that always encodes.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// decMode decodes what other routers sent. Its limits keep a small malformed message
// from allocating much memory.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes the body of an observation into v.
func Decode(body []byte, v any) error { return decMode.Unmarshal(body, v) }
