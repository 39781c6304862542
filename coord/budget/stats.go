package budget

import "sync/atomic"

// Stats counts what a holder did since its start. All values only grow.
type Stats struct {
	// Reserved and the Refused counters count calls of Reserve by their
	// outcome.
	Reserved           atomic.Int64
	RefusedExhausted   atomic.Int64
	RefusedBusy        atomic.Int64
	RefusedUnavailable atomic.Int64
	// Waited counts reservations that had to wait for tokens.
	Waited atomic.Int64
	// Draws and Returns count changes of grants, Conflicts transactions that
	// conflicted, and DrawFailures draws that failed.
	Draws        atomic.Int64
	Returns      atomic.Int64
	Conflicts    atomic.Int64
	DrawFailures atomic.Int64
	// DrawnTokens and ReturnedTokens are the tokens of Draws and Returns.
	DrawnTokens    atomic.Int64
	ReturnedTokens atomic.Int64
	// Batches counts batch rows, Bills the bills in them, BilledTokens what
	// they charge and ReplayedTokens the tokens of replays that were not
	// charged. BillFailures counts failed attempts to write a batch.
	Batches        atomic.Int64
	Bills          atomic.Int64
	BilledTokens   atomic.Int64
	ReplayedTokens atomic.Int64
	BillFailures   atomic.Int64
	// BillsReplicated counts bills that were settled with as many replicas as
	// the settings require, and BillsUnderReplicated those settled with fewer.
	BillsReplicated      atomic.Int64
	BillsUnderReplicated atomic.Int64
	// Recalls counts the recall requests sent to peers.
	Recalls atomic.Int64
}
