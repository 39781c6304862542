package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// meteredStore wraps a store and records the number, the outcomes and the durations
// of its calls as metrics.
type meteredStore struct {
	rowstore.Store
	set *metrics.Set
}

var _ rowstore.Store = meteredStore{}

// outcomeLabel returns the value of the metric label "outcome" for an error of a
// store.
func outcomeLabel(err error) string {
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, rowstore.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, rowstore.ErrCompacted):
		return "compacted"
	case errors.Is(err, rowstore.ErrInvalid):
		return "invalid"
	}
	return "unknown"
}

// recordCall records one call of a table that began at startedAt and returned err.
func (s meteredStore) recordCall(call, table string, startedAt time.Time, err error) {
	s.set.GetOrCreateCounter(fmt.Sprintf("daisyslip_store_calls_total{call=%q,table=%q,outcome=%q}", call, table, outcomeLabel(err))).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf("daisyslip_store_call_seconds{call=%q}", call)).UpdateDuration(startedAt)
}

// Commit implements rowstore.Store.
func (s meteredStore) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	startedAt := time.Now()
	result, err := s.Store.Commit(ctx, tx)
	s.recordCall("commit", tableOf(tx), startedAt, err)
	return result, err
}

// tableOf returns the table of the first row that a transaction puts, or else removes,
// for the metric label "table". It returns "" if the transaction does neither.
func tableOf(tx rowstore.Tx) string {
	switch {
	case len(tx.Put) > 0:
		return tx.Put[0].Key.Table
	case len(tx.Remove) > 0:
		return tx.Remove[0].Table
	}
	return ""
}

// Read implements rowstore.Store.
func (s meteredStore) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	startedAt := time.Now()
	snap, err := s.Store.Read(ctx, table, part)
	s.recordCall("read", table, startedAt, err)
	return snap, err
}

// Changes implements rowstore.Store.
func (s meteredStore) Changes(ctx context.Context, table string, since int64, wait time.Duration) (rowstore.Snapshot, error) {
	startedAt := time.Now()
	snap, err := s.Store.Changes(ctx, table, since, wait)
	s.recordCall("follow", table, startedAt, err)
	return snap, err
}
