package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"daisyslip.dev/daisyslip/coord/platform"
)

// Prefixes of the ledger's rows.
const (
	budgetPrefix     = "budget/" // account: sourceRow
	sharePrefix      = "share/"  // account/domain: sourceRow
	grantPrefix      = "grant/"  // account/incarnation: grantRow
	topUpPrefix      = "topup/"  // account/id: tokens
	batchPrefix      = "bill/"   // incarnation/first bill: batchRow
	keyPrefix        = "key/"    // account/key: keyRow
	fencePrefix      = "fence/"  // incarnation: present once its grants may be settled
	resolutionPrefix = "doubt/"  // account/incarnation: settlement
	latePrefix       = "late/"   // incarnation/first bill: batchRow that came after the settlement
)

// sourceRow holds the cumulative counters, in tokens, of a budget or of one
// of its share rows. Granted - Returned is what its open grants hold together
// plus Settled. For a budget, Granted and Returned also count what went to
// its share rows and came back; for a share row, Paid is what came from the
// budget and stayed.
type sourceRow struct {
	Paid     int64 `json:"paid"`
	Granted  int64 `json:"granted"`
	Returned int64 `json:"returned"`
	// Settled counts the spending of closed grants, and Burned the part of
	// it that an operator settled without a bill.
	Settled    int64 `json:"settled"`
	WrittenOff int64 `json:"burned,omitempty"`
	// Open is the number of open grants.
	OpenGrants int64 `json:"open"`
}

func (s sourceRow) unspent() int64 { return s.Paid - s.Granted + s.Returned }

// grantRow is the grant of one holder. Only the holder writes it, until its
// incarnation is fenced.
type grantRow struct {
	Holder string `json:"holder"`
	// Source is the key of the row from which the tokens came.
	Source string `json:"source"`
	// Op is the operation that wrote the row last; it settles lost replies.
	LastOpID string `json:"op"`
	// Tokens is what was drawn and not returned.
	Tokens int64 `json:"tokens"`
	// Settled counts the bills up to the one numbered Folded; bills after it
	// stand only in their batch rows.
	Settled     int64  `json:"settled"`
	LastCounted uint64 `json:"folded"`
}

// bill is the record of one served request. Number is unique within the
// incarnation, so that a bill that stands in two rows counts once.
type bill struct {
	Number  uint64  `json:"n" cbor:"1,keyasint"`
	Account Account `json:"account" cbor:"2,keyasint"`
	Key     string  `json:"key" cbor:"3,keyasint"`
	Digest  string  `json:"digest,omitempty" cbor:"4,keyasint,omitempty"`
	Unique  bool    `json:"unique,omitempty" cbor:"5,keyasint,omitempty"`
	Tokens  int64   `json:"tokens" cbor:"6,keyasint"`
	// Replay marks a request that was served again for a key already billed.
	Replay bool `json:"replay,omitempty" cbor:"7,keyasint,omitempty"`
	// Extra is what a replay is charged: its tokens beyond those that the key
	// was charged before, for example since the first answer broke off.
	ReplayCharge int64 `json:"extra,omitempty" cbor:"8,keyasint,omitempty"`
}

// charge returns the tokens that the bill takes from the budget.
func (b bill) charge() int64 {
	if b.Replay {
		return b.ReplayCharge
	}
	return b.Tokens
}

// batchRow carries the bills of one incarnation that were written together,
// in order of number.
type batchRow struct {
	Holder string `json:"holder"`
	Bills  []bill `json:"bills"`
}

// billID names a bill.
type billID struct {
	Incarnation string `json:"incarnation"`
	Number      uint64 `json:"n"`
}

// keyRow says which bill a caller's key stands for.
type keyRow struct {
	Bill   billID `json:"bill"`
	Digest string `json:"digest,omitempty"`
	// Charged is what the key was charged in all: the most that one answer to
	// it used.
	Charged int64 `json:"charged,omitempty"`
	// Replays are the bills that came when the key had one. They stand by
	// name, so that two writers of one bill decide alike.
	Replays []replay `json:"replays,omitempty"`
	// Replayed counts the tokens of the replays that were not charged.
	Replayed int64 `json:"replayed,omitempty"`
}

// replay is a bill for a key that had one, with what it was charged.
type replay struct {
	Bill   billID `json:"bill"`
	Charge int64  `json:"extra,omitempty"`
}

// replay returns the replay that a bill is known as.
func (k *keyRow) findReplay(id billID) (replay, bool) {
	i := slices.IndexFunc(k.Replays, func(r replay) bool { return r.Bill == id })
	if i < 0 {
		return replay{}, false
	}
	return k.Replays[i], true
}

func budgetKey(a Account) string { return budgetPrefix + a.String() }

func shareKey(a Account, domain string) string { return sharePrefix + a.String() + "/" + domain }

func grantKey(a Account, incarnation string) string {
	return grantPrefix + a.String() + "/" + incarnation
}

func callerKey(a Account, key string) string { return keyPrefix + a.String() + "/" + key }

func fenceKey(incarnation string) string { return fencePrefix + incarnation }

// batchKey orders the batches of an incarnation by their first bill.
func batchKey(incarnation string, first uint64) string {
	return fmt.Sprintf("%s%s/%016d", batchPrefix, incarnation, first)
}

// copyKey names a batch that a peer wrote from its copy.
func replicaBatchKey(incarnation string, first uint64) string {
	return batchKey(incarnation, first) + "/copy"
}

// decode reads a row's JSON; an absent row gives the zero value.
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

// put encodes a write; the row types always encode.
func putRow(key string, v any) platform.Write {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return platform.Write{Key: key, Value: value}
}

// at is the condition that the row is as it was read.
func unchanged(row platform.Row) platform.Cond {
	return platform.Cond{Key: row.Key, Version: row.Version}
}

// maxResends bounds the sends of one transaction after lost replies.
const maxCommitResends = 3

// rangePage is the number of rows read at once.
const rangePage = 1000

// readAll reads all rows of a prefix from the key from on, page by page.
func readAll(ctx context.Context, table platform.Table, from, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	for {
		page, err := table.Range(ctx, from, platform.PrefixEnd(prefix), rangePage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < rangePage {
			return rows, nil
		}
		from = page[len(page)-1].Key + "\x00"
	}
}

// commit sends txn, and again with the same operation id while the reply is
// lost. KindConflict after a lost reply may be the transaction's own effect,
// once the service has forgotten the operation; the caller reads its rows.
func commit(ctx context.Context, table platform.Table, txn platform.Txn) error {
	inDoubt := false
	for range 1 + maxCommitResends {
		_, err := table.Commit(ctx, txn)
		switch platform.KindOf(err) {
		case platform.KindUnknown:
			inDoubt = true
		case platform.KindUnavailable:
			if inDoubt {
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
