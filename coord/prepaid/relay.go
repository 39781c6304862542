package prepaid

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// relay is the store of a holder. While the store is silent for this router and responds to
// others, calls go through one of these, so that the tokens of its grants stay in use.
type relay struct {
	rowstore.Store
	pool *Pool
}

// kindRelay has another router call the store.
const kindRelay bus.Kind = "prepaid.relay"

// relayRequest is a transaction, or the read of a partition of a table.
type relayRequest struct {
	Tx    *rowstore.Tx `cbor:"1,keyasint,omitempty"`
	Table string       `cbor:"2,keyasint,omitempty"`
	Part  string       `cbor:"3,keyasint,omitempty"`
}

// relayResponse has the rows that were read, or those of a conflict, and otherwise the fields of
// rowstore.Result.
type relayResponse struct {
	Rows     rowstore.Snapshot `cbor:"1,keyasint"`
	Conflict bool              `cbor:"2,keyasint,omitempty"`
	// NotWritten says that the store has applied nothing.
	NotWritten bool `cbor:"3,keyasint,omitempty"`
}

// init makes the calls of p's holder go through the relay, and registers the handler.
func (r *relay) init(p *Pool) {
	r.Store, r.pool = p.holder.options.Store, p
	p.holder.options.Store = r
	bus.Handle(p.options.Bus, kindRelay, r.handle)
}

// Commit implements rowstore.Store.
func (r *relay) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.Result, error) {
	if router, found := r.pool.contact.relayRouter(); found {
		response, err := r.call(ctx, router, relayRequest{Tx: &tx})
		switch {
		case err != nil:
			return rowstore.Result{}, err
		case response.Conflict:
			return rowstore.Result{}, &rowstore.ConflictError{Rows: response.Rows.Rows, Era: response.Rows.Era}
		}
		return rowstore.Result{Version: response.Rows.Version, Now: response.Rows.Now, Era: response.Rows.Era}, nil
	}
	result, err := r.Store.Commit(ctx, tx)
	var conflict *rowstore.ConflictError
	if err == nil || errors.As(err, &conflict) {
		r.pool.contact.reached()
	}
	return result, err
}

// Read implements rowstore.Store.
func (r *relay) Read(ctx context.Context, table, part string) (rowstore.Snapshot, error) {
	if router, found := r.pool.contact.relayRouter(); found {
		response, err := r.call(ctx, router, relayRequest{Table: table, Part: part})
		return response.Rows, err
	}
	snap, err := r.Store.Read(ctx, table, part)
	if err == nil {
		r.pool.contact.reached()
	}
	return snap, err
}

// call sends a call through another router. A response of a restored store, of which this router does not
// know yet, is not used.
func (r *relay) call(ctx context.Context, router bus.ID, request relayRequest) (relayResponse, error) {
	response, err := bus.Call[relayRequest, relayResponse](ctx, r.pool.options.Bus, router, kindRelay, request)
	switch {
	case err != nil:
		return relayResponse{}, fmt.Errorf("through %s: %w: %w", router, rowstore.ErrUnknown, err)
	case response.NotWritten:
		return relayResponse{}, fmt.Errorf("through %s: %w", router, rowstore.ErrUnavailable)
	case response.Rows.Era != r.Store.Era():
		return relayResponse{}, fmt.Errorf("through %s: %w: response of era %d", router, rowstore.ErrUnknown, response.Rows.Era)
	}
	r.pool.contact.outageEnded()
	return response, nil
}

// errTable is returned for calls to tables that this package does not use.
var errTable = errors.New("table is not one of the ledger")

// handle calls the store for another router.
func (r *relay) handle(ctx context.Context, _ bus.ID, request relayRequest) (relayResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, r.pool.holder.options.Settings.CallTimeout)
	defer cancel()
	if request.Tx == nil {
		if !isLedgerTable(request.Table) {
			return relayResponse{}, errTable
		}
		snap, err := r.Store.Read(ctx, request.Table, request.Part)
		return relayResponse{Rows: snap, NotWritten: err != nil}, nil
	}
	for _, key := range keysOf(*request.Tx) {
		if !isLedgerTable(key.Table) {
			return relayResponse{}, errTable
		}
	}
	result, err := r.Store.Commit(ctx, *request.Tx)
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		return relayResponse{Rows: rowstore.Snapshot{Rows: conflict.Rows, Era: conflict.Era}, Conflict: true}, nil
	case errors.Is(err, rowstore.ErrUnavailable):
		return relayResponse{NotWritten: true}, nil
	case err != nil:
		return relayResponse{}, fmt.Errorf("commit for another router: %w", err)
	}
	return relayResponse{Rows: rowstore.Snapshot{Version: result.Version, Now: result.Now, Era: result.Era}}, nil
}

// isLedgerTable reports whether this package uses a table.
func isLedgerTable(table string) bool {
	return table == ledgerTable || table == holdersTable || table == recallTable
}

// keysOf returns the keys of a transaction.
func keysOf(tx rowstore.Tx) []rowstore.Key {
	keys := append([]rowstore.Key(nil), tx.Remove...)
	for _, e := range tx.Expect {
		keys = append(keys, e.Key)
	}
	for _, p := range tx.Put {
		keys = append(keys, p.Key)
	}
	return keys
}

// relayRouter returns a router through which calls reach the store, if it is silent for this router and the
// newest poll has found one for which it responds.
func (c *contact) relayRouter() (bus.ID, bool) {
	now := c.pool.options.Clock.Now()
	c.mu.Lock()
	found := c.attempts.silent(now) && len(c.reaching) > 0 && now.Sub(c.reachingAt) <= maxPollGap
	var router bus.ID
	if found {
		router = c.reaching[rand.IntN(len(c.reaching))]
	}
	c.mu.Unlock()
	if found {
		c.followOutage()
	}
	return router, found
}
