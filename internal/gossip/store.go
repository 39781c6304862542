package gossip

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// Bounds of the row with observations.
const (
	// maxRowBytes bounds the bodies and subjects in a row. The newest observations are
	// written.
	maxRowBytes = 32 << 10
	// writeInterval is the least time between two writes, and writeTimeout bounds one.
	writeInterval = time.Second
	writeTimeout  = time.Second
)

// row is the value of a router's row in the store.
type row struct {
	// WrittenMS is the time of the write in Unix milliseconds, by the writer's clock.
	// Clocks may differ by seconds, which is little compared to how long observations
	// are kept.
	WrittenMS    int64             `cbor:"1,keyasint"`
	Observations []wireObservation `cbor:"2,keyasint"`
}

// storeWriter writes the observations of a Spreader to the store. Its fields are
// guarded by the lock of the Spreader.
type storeWriter struct {
	spreader  *Spreader
	written   uint64 // arrival of the newest entry in the row
	era       int64  // of the store when the row was written
	wanted    uint64 // arrival of the newest entry that must be in the row
	writing   bool
	notBefore time.Time
}

// Persist has Run write the observations to the store, so that routers that start later,
// or that others can't reach, learn them. A write that fails is tried again.
func (s *Spreader) Persist() {
	s.mu.Lock()
	s.store.wanted = s.arrivals
	s.mu.Unlock()
	s.signal()
}

// forgetLostRowLocked has the row written again if the store came back from a copy after
// the last write.
func (w *storeWriter) forgetLostRowLocked() {
	if store := w.spreader.options.Store; store != nil && store.Era() > w.era {
		w.written = 0
	}
}

// requestLocked starts a write if there are entries that the row lacks and the last
// write was writeInterval ago.
func (w *storeWriter) requestLocked(ctx context.Context, now time.Time) {
	s := w.spreader
	if s.options.Store == nil || w.writing || w.written == s.arrivals || now.Before(w.notBefore) {
		return
	}
	newest := s.storedLocked()
	if len(newest) == 0 || newest[0].arrival <= w.written {
		w.written = s.arrivals // the row has all that is written to the store
		return
	}
	value, upTo := s.encodeRow(newest, now), s.arrivals
	w.writing, w.notBefore = true, now.Add(writeInterval)
	s.sending.Go(func() { w.write(ctx, value, upTo) })
}

// storedLocked returns the entries that are written to the store, with the newest first.
func (s *Spreader) storedLocked() []*entry {
	newest := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		if stored := s.topics[e.Topic].stored; stored == nil || e.Origin == s.self || stored(e.Subject) {
			newest = append(newest, e)
		}
	}
	slices.SortFunc(newest, func(a, b *entry) int { return cmp.Compare(b.arrival, a.arrival) })
	return newest
}

// encodeRow returns a row with as many of the entries as there is room for.
func (s *Spreader) encodeRow(newest []*entry, now time.Time) []byte {
	r := row{WrittenMS: now.UnixMilli()}
	size := 0
	for _, e := range newest {
		if size += len(e.Body) + len(e.Subject); size > maxRowBytes {
			break
		}
		r.Observations = append(r.Observations, e.encode(now))
	}
	return Encode(r)
}

// write writes the row and records the result.
func (w *storeWriter) write(ctx context.Context, value []byte, upTo uint64) {
	s := w.spreader
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result, err := s.options.Store.Commit(ctx, rowstore.Tx{Put: []rowstore.Put{{Key: s.options.Row, Value: value}}})
	s.mu.Lock()
	defer s.mu.Unlock()
	w.writing = false
	if err != nil {
		s.options.Log.Info("observations not written to the store, tried again while they are needed", "row", s.options.Row.String(), "err", err.Error())
		return
	}
	w.written, w.era = upTo, result.Era
	s.stats.written.Inc()
}

// ReadRow takes in the row of a router, which is read from the store.
func (s *Spreader) ReadRow(value []byte) error {
	var r row
	if err := decMode.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("decode row with observations: %w", err)
	}
	s.receive(bus.ID{}, r.Observations, durationOfMS(s.options.Clock.Now().UnixMilli()-max(r.WrittenMS, 0)))
	return nil
}
