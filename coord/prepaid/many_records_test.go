package prepaid_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
)

// rawRecord and rawRecords are messages about grants between routers.
type rawRecord struct {
	Workspace string `cbor:"1,keyasint"`
	Holder    bus.ID `cbor:"2,keyasint"`
	Seq       int64  `cbor:"3,keyasint"`
	Granted   int64  `cbor:"4,keyasint"`
	Closed    bool   `cbor:"5,keyasint,omitempty"`
	OpenedMS  int64  `cbor:"6,keyasint,omitempty"`
}

type rawRecords struct {
	Grants []rawRecord `cbor:"1,keyasint"`
}

// tellRecords tells all routers of changes that dead holders made to their grants of
// coop-0.
func (s *simulation) tellRecords(holders int, change rawRecord) {
	_, now := s.readRows("prepaid", "coop-0")
	change.Workspace, change.OpenedMS = "coop-0", now.Milliseconds()
	var message rawRecords
	for i := range holders {
		change.Holder = bus.ID{VM: fmt.Sprint("dead-", i), Incarnation: "x"}
		message.Grants = append(message.Grants, change)
	}
	for i, r := range s.routers {
		from := s.routers[(i+1)%len(s.routers)]
		_, err := bus.Call[rawRecords, struct{}](context.Background(), from.peers, r.id, "prepaid.record", message)
		assert.NilError(s.t, err)
	}
}

// restoreWithRecords calls tellRecords, and restores the store from a copy without
// these changes.
func (s *simulation) restoreWithRecords(holders int, change rawRecord) {
	copied := s.store.Copy()
	s.tellRecords(holders, change)
	s.store.Restore(copied)
	time.Sleep(8 * time.Second)
}

// checkTotalOf checks that the total was confirmed in the present era and has the grants
// of live routers and what dead holders hold or have spent.
func (s *simulation) checkTotalOf(dead int64) {
	rows, _ := s.readRows("prepaid", "coop-0")
	sum := dead
	for name, row := range rows {
		if strings.HasPrefix(name, "grant/vm-") {
			sum += row.Granted
		}
	}
	assert.Equal(s.t, rows["total"].Era, s.store.Era())
	assert.Equal(s.t, rows["total"].Granted, sum)
}

// TestManyForgottenGrantsAreConfirmed guards against a total that is never confirmed
// since the grants that the copy lacks don't fit into one transaction.
func TestManyForgottenGrantsAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const holders = 120
		s := newPoolSimulation(t, 1_000_000)
		defer s.shutdown()
		s.restoreWithRecords(holders, rawRecord{Seq: 3, Granted: 100})
		s.checkTotalOf(holders * 100)
		s.restoreWithRecords(holders, rawRecord{Seq: 4, Granted: 30, Closed: true})
		s.checkTotalOf(holders * 30)
		_, borrower := s.lenderOf("coop-0")
		reservation, err := borrower.Reserve(context.Background(), "coop-0", 600_000)
		assert.NilError(t, err)
		reservation.Settle(600_000)
	})
}

// TestRecordOfPendingDrawDoesNotHideIt guards against a draw that is forgotten since a
// router learned the state before it under the same number.
func TestRecordOfPendingDrawDoesNotHideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 1_000_000)
		defer s.shutdown()
		s.tellRecords(1, rawRecord{Seq: 3, Granted: 50})
		s.restoreWithRecords(1, rawRecord{Seq: 3, Granted: 100})
		s.checkTotalOf(100)
	})
}

// TestRecordCoversReturnThatMayBeLost guards against tokens that are granted again since a
// record took a return for applied whose outcome is unknown, and which the store then lost.
func TestRecordCoversReturnThatMayBeLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSimulation(t, 1_000_000)
		defer s.shutdown()
		lender, other := s.lenderOf("coop-0")
		reservation, err := lender.Reserve(context.Background(), "coop-0", 100)
		assert.NilError(t, err)
		reservation.Settle(100)
		s.store.SetFaults(memory.Faults{DeferCommits: 1000})
		s.setLimit("coop-0", 500_000) // the lender returns its grant
		time.Sleep(10 * time.Millisecond)
		response, err := bus.Call[struct{}, rawRecords](context.Background(), other.peers, lender.id, "prepaid.gather", struct{}{})
		assert.NilError(t, err)
		rows, _ := s.readRows("prepaid", "coop-0")
		stored := rows["grant/"+lender.id.String()].Granted
		s.store.SetFaults(memory.Faults{})
		assert.Assert(t, stored > 100)
		found := false
		for _, g := range response.Grants {
			if g.Workspace == "coop-0" && g.Holder == lender.id {
				found = true
				assert.Assert(t, g.Granted >= stored, "%d of %d tokens", g.Granted, stored)
			}
		}
		assert.Assert(t, found)
	})
}
