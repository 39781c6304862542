package prepaid

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// After the store was restored from a copy, the rows of a workspace are repaired in two
// steps. Each holder writes its own grant again, whose amount only it knows for
// certain, and adds to the total what the row of the copy lacked. Then, once the routers
// had time for that and were asked for their records, one holder adds what was drawn by
// holders that have not done so, and confirms the total in the new era. Tokens are
// drawn and grants of dead holders reclaimed only from a confirmed total; grants that
// their holders did not write again count as fully spent.

// errUnconfirmed reports that no tokens can be drawn before the total is confirmed.
var errUnconfirmed = errors.New("total not confirmed since the store was restored")

// restoresGrantLocked reports whether this holder must write its grant again.
func (a *account) restoresGrantLocked() bool {
	return !a.closed && a.grantEra < a.holder.eras.observe() &&
		(a.granted > 0 || a.spent > 0 || a.storedGrant.Version != 0 || len(a.pendingWrites) > 0)
}

// confirmsTotalLocked reports whether this holder confirms the total now.
func (a *account) confirmsTotalLocked() bool {
	return a.unconfirmedLocked() && a.holder.eras.canConfirm()
}

// unconfirmedLocked reports whether the total may lack draws.
func (a *account) unconfirmedLocked() bool {
	return a.totalRead && a.holder.eras.unconfirmed(a.total.Era)
}

// keepGrantLocked updates the account with a row of its grant that is from a copy of
// the store. The grant stays as it was, with the least of all outcomes of the pending
// writes, until it is written again.
func (a *account) keepGrantLocked(storedGrant rowstore.Row, grant grantRow) {
	g := a.guaranteedLocked()
	a.granted, a.activated, a.unlockRate = g.granted, g.activated, g.unlockRate
	a.storedGrant, a.storedGranted = storedGrant, grant.Granted
	a.reportedSpent, a.storedInUse = grant.Spent, grant.InUse
	a.seq = max(a.seq, grant.Seq)
}

// totalChangeLocked returns what a write of the grant adds to the total. A late write of
// an earlier era can have changed the row without the total; then nothing is returned.
func (a *account) totalChangeLocked(grant grantRow, restores bool) int64 {
	change := grant.Granted - a.storedGranted
	if restores && len(a.pendingWrites) > 0 {
		return max(change, 0)
	}
	return change
}

// hasRoom reports whether a transaction can expect and write a further row, in addition
// to those of putRowsLocked: the grant, the total and the marks of eras.
func hasRoom(tx *rowstore.Tx) bool {
	const ownEntries, rowEntries = 2 + maxMissedEras, 2
	return tx.Entries()+ownEntries+rowEntries <= rowstore.MaxEntries
}

// confirmTotal adds to a transaction what the rows lack of grants of other holders that
// are known from records. It confirms the total if that is all, otherwise the next
// transaction continues: the rows that this one puts are as new as the records.
func (a *account) confirmTotal(c *change) error {
	tx, total := c.tx, &c.total
	for _, g := range a.holder.recordsOf(a.workspace, a.holder.eras.seenSince()) {
		key := g.id().key()
		if key == a.storedGrant.Key {
			continue
		}
		if !hasRoom(tx) {
			c.continues = true
			return nil
		}
		if err := a.addRecord(tx, total, g, rowOf(a.foreignRows, key)); err != nil {
			return err
		}
	}
	if !a.holder.eras.livedBefore(a.readEra) && !a.holder.eras.hasWitness() {
		margin, err := a.possiblyLost()
		if err != nil {
			return err
		}
		total.Granted += margin
	}
	total.Era = a.readEra
	return nil
}

// addRecord adds to a transaction what the stored row of another holder's grant lacks
// of a record.
func (a *account) addRecord(tx *rowstore.Tx, total *totalRow, g grantRecord, row rowstore.Row) error {
	var grant grantRow
	if err := decode(row, &grant); err != nil {
		return err
	}
	openedLately := a.holder.heartbeat.storeMs()-g.OpenedMS < maxCopyAge.Milliseconds()
	switch {
	case row.Version != 0 && (grant.Era == a.readEra || grant.Seq >= g.Seq):
		return nil // the row is as new
	case row.Version == 0 && g.Closed && !openedLately:
		return nil // the copy has no row because the grant was closed before
	case row.Version != 0 && !g.Closed && g.Granted <= grant.Granted:
		return nil // the row includes tokens that the holder has returned since
	case row.Version == 0:
		total.OpenGrants++
	}
	// The row of a closed grant is put, too: a later transaction that also adds the
	// record would take a removed one for a row that the copy lacks.
	restored := grant
	restored.Granted, restored.Activated, restored.Seq, restored.OpenedMs = g.Granted, g.Granted, g.Seq, g.OpenedMS
	tx.Put = append(tx.Put, rowstore.Put{Key: row.Key, Value: encode(restored)})
	total.Granted += g.Granted - grant.Granted
	tx.Expect = append(tx.Expect, rowstore.Expect{Key: row.Key, Version: row.Version})
	return nil
}

// possiblyLost estimates what holders drew that the copy lacks, if all processes that
// lived then are dead: the use of lostFor at the rate, and with the factor, at which
// their inactive tokens are unlocked.
func (a *account) possiblyLost() (int64, error) {
	const lostFor = 10 // seconds
	lost := 0.0
	for _, row := range a.foreignRows {
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			return 0, err
		}
		lost += lostFor * grant.UnlockRate
	}
	return int64(lost), nil
}

// rowOf returns the row at key; an absent one has version 0.
func rowOf(rows []rowstore.Row, key rowstore.Key) rowstore.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return rowstore.Row{Key: key}
}

// recordsAddedLocked updates the rows of other holders with those that a transaction put.
func (a *account) recordsAddedLocked(tx *rowstore.Tx, version int64) {
	for _, p := range tx.Put {
		if !strings.HasPrefix(p.Key.Name, grantPrefix) || p.Key == a.storedGrant.Key {
			continue
		}
		a.foreignRows = slices.DeleteFunc(a.foreignRows, func(row rowstore.Row) bool { return row.Key == p.Key })
		a.foreignRows = append(a.foreignRows, rowstore.Row{Key: p.Key, Value: p.Value, Version: version})
	}
}

// totalConfirmedLocked logs that the total was confirmed, and requests a read of the rows that
// were written for other holders.
func (a *account) totalConfirmedLocked(total totalRow) {
	a.rereadRows, a.foreignRows = true, nil
	a.holder.options.Log.Info("total confirmed after the store was restored", "workspace", a.workspace,
		"total_granted", total.Granted, "limit", total.Limit, "era", total.Era)
}

// eraPrefix starts the name of a row that marks an era; the number of the era follows.
// Since versions are given out again, a transaction of an earlier era that the store
// applies late could expect the versions of other rows. Each transaction therefore
// expects that the mark of the next era is absent, and the first one of an era puts its
// mark and those of eras before it that were missed.
const eraPrefix = "era/"

// maxMissedEras bounds the marks that one transaction puts.
const maxMissedEras = 4

// eraKey returns the key of the row that marks an era.
func (a *account) eraKey(era int64) rowstore.Key {
	return rowstore.Key{Table: ledgerTable, Part: a.workspace, Name: eraPrefix + strconv.FormatInt(era, 10)}
}

// expectEra returns the expectation that no later era was marked.
func (a *account) expectEra() rowstore.Expect { return rowstore.Expect{Key: a.eraKey(a.readEra + 1)} }

// markEra adds to a transaction the mark of the present era if it is missing.
func (a *account) markEra(tx *rowstore.Tx) {
	for era := max(a.markedEra, firstEra, a.readEra-maxMissedEras) + 1; era <= a.readEra; era++ {
		tx.Put = append(tx.Put, rowstore.Put{Key: a.eraKey(era), Value: []byte("{}")})
	}
}

// newestMark returns the newest era that rows mark, or 0.
func newestMark(rows []rowstore.Row) int64 {
	var newest int64
	for _, row := range rows {
		if number, found := strings.CutPrefix(row.Key.Name, eraPrefix); found {
			era, _ := strconv.ParseInt(number, 10, 64) // 0 if it is no number
			newest = max(newest, era)
		}
	}
	return newest
}
