package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"daisyslip.dev/daisyslip/coord/platform"
)

// Key prefixes of the ledger's rows. Each comment shows the rest of the key
// and the type of the value.
const (
	budgetPrefix     = "budget/" // account: sourceRow
	sharePrefix      = "share/"  // account/domain: sourceRow
	grantPrefix      = "grant/"  // account/incarnation: grantRow
	topUpPrefix      = "topup/"  // account/id: tokens
	batchPrefix      = "bill/"   // incarnation/first bill: batchRow
	keyPrefix        = "key/"    // account/key: keyRow
	fencePrefix      = "fence/"  // incarnation: true; exists once its grants may be resolved
	resolutionPrefix = "doubt/"  // account/incarnation: ResolvedGrant
	latePrefix       = "late/"   // incarnation/first bill: batchRow that arrived after the resolution
)

// sourceRow holds the cumulative counters, in tokens, of a budget or of one
// of its share rows. Granted - Returned is the total size of its open grants
// plus Settled. For a budget, Granted and Returned also count the tokens
// moved to and from its share rows; for a share row, Paid is the net number
// of tokens moved from the budget.
type sourceRow struct {
	Paid     int64 `json:"paid"`
	Granted  int64 `json:"granted"`
	Returned int64 `json:"returned"`
	// Settled counts the spending of closed grants, and WrittenOff the part of
	// it that an operator charged without a bill.
	Settled    int64 `json:"settled"`
	WrittenOff int64 `json:"burned,omitempty"`
	// OpenGrants is the number of open grants.
	OpenGrants int64 `json:"open"`
}

// unspent returns the tokens that are neither granted nor spent.
func (s sourceRow) unspent() int64 { return s.Paid - s.Granted + s.Returned }

// grantRow is the grant of one holder. Only the holder writes it until its
// incarnation is fenced.
type grantRow struct {
	Holder string `json:"holder"`
	// Source is the key of the source row from which the tokens were drawn.
	Source string `json:"source"`
	// LastOpID is the id of the operation that last wrote the row. After a
	// lost response it shows whether a change was applied.
	LastOpID string `json:"op"`
	// Tokens is the number of tokens drawn and not returned.
	Tokens int64 `json:"tokens"`
	// Settled is the sum of the bills up to the one numbered LastCounted;
	// later bills are recorded only in their batch rows.
	Settled     int64  `json:"settled"`
	LastCounted uint64 `json:"folded"`
}

// bill is the durable record of the tokens that one request used. Number is
// unique within the incarnation, so that a bill in two rows counts once.
type bill struct {
	Number  uint64  `json:"n" cbor:"1,keyasint"`
	Account Account `json:"account" cbor:"2,keyasint"`
	Key     string  `json:"key" cbor:"3,keyasint"`
	Digest  string  `json:"digest,omitempty" cbor:"4,keyasint,omitempty"`
	Unique  bool    `json:"unique,omitempty" cbor:"5,keyasint,omitempty"`
	Tokens  int64   `json:"tokens" cbor:"6,keyasint"`
	// Replay marks a request that was served again with an already billed key.
	Replay bool `json:"replay,omitempty" cbor:"7,keyasint,omitempty"`
	// ReplayCharge is what a replay is charged: its tokens beyond those
	// already charged to the key, for example because the first response was
	// interrupted.
	ReplayCharge int64 `json:"extra,omitempty" cbor:"8,keyasint,omitempty"`
}

// charge returns the tokens that the bill charges to the budget.
func (b bill) charge() int64 {
	if b.Replay {
		return b.ReplayCharge
	}
	return b.Tokens
}

// batchRow holds the bills of one incarnation that were written together, in
// order of number.
type batchRow struct {
	Holder string `json:"holder"`
	Bills  []bill `json:"bills"`
}

// billID identifies a bill.
type billID struct {
	Incarnation string `json:"incarnation"`
	Number      uint64 `json:"n"`
}

// keyRow records the bills of a caller's key. Bill is the first one, which is
// charged in full.
type keyRow struct {
	Bill   billID `json:"bill"`
	Digest string `json:"digest,omitempty"`
	// Charged is the total number of tokens charged to the key: the most that
	// one response for it used.
	Charged int64 `json:"charged,omitempty"`
	// Replays are the later bills of the key. They are listed by id so that
	// two writers of the same bill, a holder and a peer with a replica, make
	// the same decision.
	Replays []replay `json:"replays,omitempty"`
	// Replayed counts the tokens of the replays that were not charged.
	Replayed int64 `json:"replayed,omitempty"`
}

// replay is a later bill of a key with the tokens it was charged.
type replay struct {
	Bill   billID `json:"bill"`
	Charge int64  `json:"extra,omitempty"`
}

// findReplay returns the replay recorded for a bill, if there is one.
func (k *keyRow) findReplay(id billID) (replay, bool) {
	i := slices.IndexFunc(k.Replays, func(r replay) bool { return r.Bill == id })
	if i < 0 {
		return replay{}, false
	}
	return k.Replays[i], true
}

// budgetKey returns the key of the budget's row.
func budgetKey(a Account) string { return budgetPrefix + a.String() }

// shareKey returns the key of the share row of a failure domain. With an
// empty domain it is the prefix of all share rows of the account.
func shareKey(a Account, domain string) string { return sharePrefix + a.String() + "/" + domain }

// grantKey returns the key of the grant of an incarnation.
func grantKey(a Account, incarnation string) string {
	return grantPrefix + a.String() + "/" + incarnation
}

// callerKey returns the key of the row of a caller's key.
func callerKey(a Account, key string) string { return keyPrefix + a.String() + "/" + key }

// fenceKey returns the key of the row that fences an incarnation.
func fenceKey(incarnation string) string { return fencePrefix + incarnation }

// batchKey returns the key of a batch whose first bill has the number first.
// Keys of one incarnation sort by this number.
func batchKey(incarnation string, first uint64) string {
	return fmt.Sprintf("%s%s/%016d", batchPrefix, incarnation, first)
}

// replicaBatchKey returns the key of a batch that a peer wrote from its
// replica.
func replicaBatchKey(incarnation string, first uint64) string {
	return batchKey(incarnation, first) + "/copy"
}

// decode decodes a row's JSON value; an absent row gives the zero value.
func decode[T any](row platform.Row) (T, error) {
	var v T
	if row.Version == 0 {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return v, nil
}

// putRow returns the write of v as JSON. It panics if v cannot be encoded,
// which the row types never cause.
func putRow(key string, v any) platform.Write {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return platform.Write{Key: key, Value: value}
}

// unchanged is the condition that the row still has the version that was
// read.
func unchanged(row platform.Row) platform.Cond {
	return platform.Cond{Key: row.Key, Version: row.Version}
}

// maxCommitResends bounds how often a transaction is sent again after lost
// responses.
const maxCommitResends = 3

// rangePage is the number of rows read by one call.
const rowsPerRead = 1000

// readAll reads all rows with a key of the prefix, starting at the key from,
// page by page.
func readAll(ctx context.Context, table platform.Table, from, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	for {
		page, err := table.Range(ctx, from, platform.PrefixEnd(prefix), rowsPerRead)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rowsPerRead {
			return rows, nil
		}
		from = page[len(page)-1].Key + "\x00"
	}
}

// commit sends txn and resends it with the same operation id while responses
// are lost, up to maxCommitResends times. If the outcome stays unknown, the
// error has KindUnknown. A KindConflict after a lost response can be caused by
// the transaction itself, once the platform has forgotten the operation id;
// the caller must then read the rows to find out.
func commit(ctx context.Context, table platform.Table, txn platform.Txn) error {
	outcomeUnknown := false
	for range 1 + maxCommitResends {
		_, err := table.Commit(ctx, txn)
		switch platform.KindOf(err) {
		case platform.KindUnknown:
			outcomeUnknown = true
		case platform.KindUnavailable:
			if outcomeUnknown {
				return &platform.Error{Kind: platform.KindUnknown, Step: "commit", Err: err}
			}
			return err
		default:
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &platform.Error{Kind: platform.KindUnknown, Step: "commit"}
}
