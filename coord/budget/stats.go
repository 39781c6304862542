package budget

import "sync/atomic"

// Stats count what a holder did since its start. All values only grow.
type Stats struct {
	// Reserved and the refusals count reservations.
	Reserved           atomic.Int64
	RefusedExhausted   atomic.Int64
	RefusedBusy        atomic.Int64
	RefusedUnavailable atomic.Int64
	// Waited counts reservations that were not served at once.
	Waited atomic.Int64
	// Draws, Returns, Conflicts and DrawFailures count transactions of grants.
	Draws        atomic.Int64
	Returns      atomic.Int64
	Conflicts    atomic.Int64
	DrawFailures atomic.Int64
	// DrawnTokens and ReturnedTokens count tokens.
	DrawnTokens    atomic.Int64
	ReturnedTokens atomic.Int64
	// Batches counts rows of bills, BilledTokens what they charge and
	// ReplayedTokens what was served again without a charge.
	Batches        atomic.Int64
	Bills          atomic.Int64
	BilledTokens   atomic.Int64
	ReplayedTokens atomic.Int64
	BillFailures   atomic.Int64
	// BillsCopied counts bills kept by peers, BillsUncopied those that found
	// fewer peers than the settings ask for.
	BillsReplicated      atomic.Int64
	BillsUnderReplicated atomic.Int64
	// Recalls counts the questions to peers for their unspent tokens.
	Recalls atomic.Int64
}
