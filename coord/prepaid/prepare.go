package prepaid

import (
	"context"
	"fmt"
	"log/slog"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// change is a transaction that is being prepared, with the total that it writes.
type change struct {
	tx    *rowstore.Tx
	total totalRow
	// restores is set if the grant is written again after the store was restored, and
	// confirms if the total is confirmed. continues is set if that takes a further
	// transaction.
	restores, confirms, continues bool
	// reclaimed are records of the orphaned grants that are removed, and lost are the
	// grants of lost holders that are reduced. closed says that this holder's grant is
	// removed.
	reclaimed []grantRecord
	lost      []lostGrant
	closed    bool
}

// beginChangeLocked returns a transaction with what it must do apart from the plan:
// orphaned grants are reclaimed and the total is confirmed.
func (a *account) beginChangeLocked() (*change, error) {
	c := &change{
		tx: &rowstore.Tx{Expect: []rowstore.Expect{
			{Key: a.storedTotal.Key, Version: a.storedTotal.Version}, {Key: a.storedGrant.Key, Version: a.storedGrant.Version}, a.expectEra(),
		}},
		total: a.total, restores: a.restoresGrantLocked(), confirms: a.confirmsTotalLocked(),
	}
	if a.canReclaimLocked() {
		if err := a.reclaimOrphans(c); err != nil {
			return nil, err
		}
	}
	if a.reclaimsLostLocked() {
		a.reclaimLost(c)
	}
	if c.confirms {
		if err := a.confirmTotal(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// reclaims reports whether tokens of other grants are returned.
func (c *change) reclaims() bool { return len(c.tx.Remove) > 0 || len(c.lost) > 0 }

// prepareTx returns the transaction of a plan and a function to call with its
// version once it is applied. It returns errShortage if the total has too few
// tokens, the workspace has no limit or there is nothing to write, and errUnconfirmed
// if the total must be confirmed first.
func (a *account) prepareTx(p *plan) (*rowstore.Tx, func(version int64), error) {
	limit, ok := a.newestLimit()
	a.mu.Lock()
	defer a.mu.Unlock()
	c, err := a.beginChangeLocked()
	if err != nil {
		return nil, nil, err
	}
	drawn, err := a.drawableLocked(p, c, limit, ok)
	if err != nil {
		return nil, nil, err
	}
	grant := a.nextGrantLocked(p, drawn)
	drawn = grant.Granted - a.granted
	if err := a.checkDueLocked(p, c, grant); err != nil {
		return nil, nil, err
	}
	if drawn == 0 && a.storedGrant.Version != 0 && !c.reclaims() && !a.returnAll && !c.restores && !c.confirms {
		return a.prepareGrantOnly(grant)
	}
	if grant.Granted > a.storedGranted {
		a.holder.announce(a.recordLocked(grant.Granted))
	}
	a.updateTotalLocked(c, grant)
	if ok {
		c.total.Limit, c.total.Revision = limit.Tokens, limit.Revision
	}
	a.putRowsLocked(c, grant)
	return c.tx, func(version int64) { a.txApplied(c, grant, version) }, nil
}

// drawableLocked returns how many of the planned tokens can be drawn.
func (a *account) drawableLocked(p *plan, c *change, limit Limit, limited bool) (int64, error) {
	drawn, needed := p.granted-a.granted, a.inUseLocked()+p.firstWaiter
	switch {
	case drawn <= 0:
		return drawn, nil
	case a.unconfirmedLocked():
		if !c.restores && !c.confirms && a.granted < needed {
			return 0, errUnconfirmed
		}
		return 0, nil
	case !limited:
		return 0, fmt.Errorf("%w: %w", errShortage, ErrUnlimited)
	}
	drawn = max(min(drawn, limit.Tokens-c.total.Granted), 0)
	if a.granted+drawn < needed {
		return 0, errShortage
	}
	return drawn, nil
}

// nextGrantLocked returns the row of the grant after a draw.
func (a *account) nextGrantLocked(p *plan, drawn int64) grantRow {
	inUse := a.inUseLocked()
	grant := grantRow{Granted: max(a.granted+drawn, inUse), Spent: a.spent, InUse: inUse, StoreMs: a.holder.heartbeat.storeMs(), Era: a.readEra}
	if a.storedGrant.Version == 0 && a.openedMs == 0 {
		a.openedMs = grant.StoreMs
	}
	a.seq++
	grant.Seq, grant.OpenedMs = a.seq, a.openedMs
	grant.UnlockRate = a.holder.options.Settings.UnlockFactor * a.usage.perSecond(a.now())
	grant.Activated = max(min(p.activated, grant.Granted), inUse)
	if grant.Granted > grant.Activated {
		grant.Replicas = a.holder.replicas(a.workspace)
	}
	return grant
}

// checkDueLocked returns an error if there is nothing to write.
func (a *account) checkDueLocked(p *plan, c *change, grant grantRow) error {
	unchanged := grant.Granted == a.granted
	switch {
	case c.confirms:
		return nil
	case a.storedGrant.Version == 0 && a.returnAll && grant.Granted == 0:
		a.returnAll = false // there is no grant to return
		return errShortage
	case c.restores:
		return nil
	case unchanged && a.unconfirmedLocked() && p.granted > a.granted && grant.Activated == a.activated:
		return errUnconfirmed
	case unchanged && !p.due,
		unchanged && grant.Activated == a.activated && !a.reportUse && !a.renewReplicas && !c.reclaims() && a.storedGrant.Version != 0 && !a.returnAll && len(a.pendingWrites) == 0:
		return errShortage // no tokens can be drawn and nothing else is to be written
	}
	return nil
}

// updateTotalLocked includes the grant in the total.
func (a *account) updateTotalLocked(c *change, grant grantRow) {
	newlySpent := a.spent - a.reportedSpent
	c.total.Granted += a.totalChangeLocked(grant, c.restores)
	c.total.Spent += newlySpent
	c.total.RecentSpent, c.total.RecentAsOfMs = c.total.recentSpentAt(grant.StoreMs)+float64(newlySpent), grant.StoreMs
	if !a.unconfirmedLocked() {
		c.total.Era = a.readEra
	}
	if a.storedGrant.Version == 0 {
		c.total.OpenGrants++
	}
}

// putRowsLocked adds to a transaction the rows that it writes.
func (a *account) putRowsLocked(c *change, grant grantRow) {
	a.markEra(c.tx)
	c.closed = a.holder.closing.Load() && a.reserved == 0 && a.returnAll
	if c.closed {
		c.total.OpenGrants--
		c.tx.Remove = append(c.tx.Remove, a.storedGrant.Key)
	} else {
		c.tx.Put = append(c.tx.Put, rowstore.Put{Key: a.storedGrant.Key, Value: encode(grant)})
	}
	c.tx.Put = append(c.tx.Put, rowstore.Put{Key: a.storedTotal.Key, Value: encode(c.total)})
	a.addPendingWriteLocked(grant, true)
}

// prepareGrantOnly returns a transaction that leaves the total unchanged, so that
// it cannot conflict with writes of other holders.
func (a *account) prepareGrantOnly(grant grantRow) (*rowstore.Tx, func(version int64), error) {
	grant.Spent = a.reportedSpent // the total does not include more than that
	tx := &rowstore.Tx{
		Expect: []rowstore.Expect{{Key: a.storedGrant.Key, Version: a.storedGrant.Version}, a.expectEra()},
		Put:    []rowstore.Put{{Key: a.storedGrant.Key, Value: encode(grant)}},
	}
	a.addPendingWriteLocked(grant, false)
	return tx, func(version int64) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.storedGrant.Version, a.activated, a.unlockRate = version, grant.Activated, grant.UnlockRate
		a.rowSeq, a.rowReplicas, a.renewReplicas = grant.Seq, grant.Replicas, false
		a.storedInUse, a.reportUse, a.grantEra = grant.InUse, false, a.readEra
		a.dropSupersededLocked()
		a.holder.stats.Writes.Add(1)
		a.serveWaitersLocked()
	}, nil
}

// reclaimOrphans adds to a transaction the return of the tokens in orphaned grants
// that the predecessors cannot have spent, and the removal of these grants.
func (a *account) reclaimOrphans(c *change) error {
	for _, row := range a.orphanedGrants {
		if !hasRoom(c.tx) {
			return nil // the next transaction reclaims the others
		}
		var grant grantRow
		if err := decode(row, &grant); err != nil {
			return err
		}
		incarnation := a.predecessorOf(row)
		maxSpent := grant.Activated + a.holder.heartbeat.unlockedToPredecessor(incarnation, grant.Granted-grant.Activated, grant.UnlockRate)
		maxSpent = min(maxSpent, max(grant.Activated, a.orphanBounds[row.Key.Name].usable))
		if a.holder.eras.unconfirmed(grant.Era) {
			maxSpent = grant.Granted // the row is from a copy
		}
		c.total.Granted -= grant.Granted - maxSpent
		c.total.Spent += max(maxSpent-grant.Spent, 0)
		c.total.OpenGrants--
		c.tx.Expect = append(c.tx.Expect, rowstore.Expect{Key: row.Key, Version: row.Version})
		c.tx.Remove = append(c.tx.Remove, row.Key)
		c.reclaimed = append(c.reclaimed, grantRecord{
			Workspace: a.workspace, Holder: bus.ID{VM: a.holder.options.VM, Incarnation: incarnation},
			Seq: grant.Seq + 1, Granted: maxSpent, Closed: true, OpenedMS: grant.OpenedMs,
		})
	}
	return nil
}

// txApplied updates the account after its transaction was applied at version.
func (a *account) txApplied(c *change, grant grantRow, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	drawn := grant.Granted - a.granted
	if len(c.reclaimed) > 0 {
		a.holder.stats.Reclaims.Add(int64(len(c.reclaimed)))
		a.holder.options.Log.Info("orphaned grants of predecessors reclaimed", "workspace", a.workspace, "grants", len(c.reclaimed),
			"came_back", a.total.Granted+drawn-c.total.Granted, "version", version)
		a.orphanedGrants = a.orphanedGrants[len(c.reclaimed):]
	}
	for _, record := range c.reclaimed {
		a.holder.announce(record)
	}
	a.lostReclaimedLocked(c)
	switch {
	case c.continues:
		a.recordsAddedLocked(c.tx, version)
	case c.confirms:
		a.totalConfirmedLocked(c.total)
	}
	a.total, a.storedTotal.Version, a.storedGrant.Version = c.total, version, version
	a.markedEra = max(a.markedEra, a.readEra)
	a.granted, a.activated, a.unlockRate, a.reportedSpent = grant.Granted, grant.Activated, grant.UnlockRate, grant.Spent
	a.rowSeq, a.rowReplicas, a.renewReplicas = grant.Seq, grant.Replicas, false
	a.storedInUse, a.reportUse, a.storedGranted, a.grantEra = grant.InUse, false, grant.Granted, a.readEra
	a.dropSupersededLocked()
	if drawn < 0 || c.closed {
		record := a.recordLocked(grant.Granted)
		record.Closed = c.closed
		a.holder.announce(record)
	}
	if c.closed {
		// The total keeps what was spent; a later grant starts from zero.
		a.storedGrant.Version, a.granted, a.activated, a.spent, a.reportedSpent = 0, 0, 0, 0, 0
		a.storedGranted, a.closed, a.openedMs = 0, true, 0
	}
	a.returnAll = a.returnAll && a.granted > a.inUseLocked()
	a.holder.stats.Writes.Add(1)
	level := slog.LevelDebug
	if drawn != 0 {
		level = slog.LevelInfo
	}
	a.holder.options.Log.Log(context.Background(), level, "grant changed", "workspace", a.workspace, "drawn", drawn, "granted", a.granted,
		"cleared", a.activated, "spent", a.spent, "open", a.reserved, "total_granted", c.total.Granted, "limit", c.total.Limit, "version", version)
	a.serveWaitersLocked()
}
