package fleetconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// labelChange returns a change that adds one label to the workspace "coop", based
// on the revision that the operator's router has applied.
func labelChange(k *Keeper, key, value string) Change {
	index := k.Catalog()
	w := catalog.Workspace{Labels: map[string]string{}}
	if found := index.Workspace("coop"); found != nil {
		for name, old := range found.Labels {
			w.Labels[name] = old
		}
	}
	w.Labels[key] = value
	put, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return Change{Base: index.Revision, Author: key, Ops: []Op{{Kind: KindWorkspace, Name: "coop", Put: put}}}
}

// labelWithReload adds the label to the newest revision. After a conflict it loads
// the newest revision and creates the change again from that.
func labelWithReload(k *Keeper, key, value string) error {
	for {
		_, err := k.Commit(context.Background(), labelChange(k, key, value))
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if len(conflict.Others) == 0 || conflict.Others[0].Author == key {
			return fmt.Errorf("the conflict does not show the other change: %w", err)
		}
		if err := k.Load(context.Background()); err != nil {
			return err
		}
	}
}

// labelNaive resends the same change after a conflict, with only its base replaced
// by the newest revision, and so overwrites the labels of other operators.
func labelNaive(k *Keeper, key, value string) error {
	change := labelChange(k, key, value)
	for {
		_, err := k.Commit(context.Background(), change)
		if failure.CodeOf(err) != failure.Conflict || err == nil {
			return err
		}
		if err := k.Load(context.Background()); err != nil {
			return err
		}
		change.Base = k.Catalog().Revision
	}
}

// TestRacingOperatorsLoseNoChange guards against lost updates when operators at
// different routers add labels to the same workspace at the same time.
func TestRacingOperatorsLoseNoChange(t *testing.T) {
	races := 1000
	if testing.Short() {
		races = 100
	}
	for _, operators := range []int{2, 5} {
		t.Run(strconv.Itoa(operators), func(t *testing.T) {
			withReload := lostLabels(t, operators, races, labelWithReload)
			naive := lostLabels(t, operators, races, labelNaive)
			t.Logf("%d races of %d: lost labels: %d with reload, %d naive", races, operators, withReload, naive)
			assert.Equal(t, withReload, 0)
			assert.Assert(t, naive > 0, "the naive version loses no label in any race")
		})
	}
}

// lostLabels lets the operators add one label each per race, by means of put, and
// returns how many labels are missing afterwards.
func lostLabels(t *testing.T, operators, races int, put func(k *Keeper, key, value string) error) (lost int) {
	store := memory.NewStore(clock.Real{})
	var keepers []*Keeper
	for range operators {
		keepers = append(keepers, NewKeeper(testSettings(), store.NewClient(), clock.Real{}, event.Discard{}, discardLog))
	}
	for race := range races {
		var commits sync.WaitGroup
		for i, k := range keepers {
			assert.NilError(t, k.Load(t.Context()))
			commits.Go(func() {
				if err := put(k, fmt.Sprintf("op%d", i), strconv.Itoa(race)); err != nil {
					t.Error(err)
				}
			})
		}
		commits.Wait()
		assert.NilError(t, keepers[0].Load(t.Context()))
		labels := keepers[0].Catalog().Workspace("coop").Labels
		for i := range operators {
			if labels[fmt.Sprintf("op%d", i)] != strconv.Itoa(race) {
				lost++
			}
		}
	}
	return lost
}

// TestConflictNamesTheOtherChange guards against a conflict error that does not show
// the operator which revision, by whom and of what, came first.
func TestConflictNamesTheOtherChange(t *testing.T) {
	f := newFleet(t, 2)
	base := f.mustCommit(f.routers[0])
	f.step()
	_, err := f.routers[0].commit("theirs")
	assert.NilError(t, err)
	op := Op{Kind: KindPool, Name: "p", Put: []byte(`{"kind":"model"}`)}
	_, err = f.routers[1].Commit(t.Context(), Change{Base: base, Author: "me", Ops: []Op{op}})
	assert.Equal(t, failure.CodeOf(err), failure.Conflict)
	assert.ErrorContains(t, err, `revision 2 by "entry-1" (workspace coop)`)
}

// TestInvalidChangeIsNotCommitted guards against a revision that routers cannot
// apply: an invalid change must be refused before it is written to the log.
func TestInvalidChangeIsNotCommitted(t *testing.T) {
	f := newFleet(t, 1)
	f.mustCommit(f.routers[0])
	for name, op := range map[string]Op{
		"selector": {Kind: KindPool, Name: "p", Put: []byte(`{"kind":"model","selector":"a in"}`)},
		"field":    {Kind: KindPool, Name: "p", Put: []byte(`{"colour":"red"}`)},
		"absent":   {Kind: KindRule, Name: "r"},
		"kind":     {Kind: "moon", Name: "r"},
	} {
		_, err := f.routers[0].Commit(t.Context(), Change{Base: 1, Ops: []Op{op}})
		assert.Equal(t, failure.CodeOf(err), failure.BadRequest, name)
	}
	_, err := f.routers[0].Commit(t.Context(), Change{Base: 7})
	assert.Equal(t, failure.CodeOf(err), failure.BadRequest)
	assert.Equal(t, f.routers[0].Catalog().Revision, int64(1))
}

// TestRollbackIsANewRevision guards against a rollback that rewrites the history or
// restores the wrong document, both for a target before the newest snapshot and for
// one after it. A router that starts afterwards must load the same document.
func TestRollbackIsANewRevision(t *testing.T) {
	f := newFleet(t, 1)
	k := f.routers[0]
	k.settings.SnapshotEvery = 4
	for i := range 6 {
		_, err := k.commit(fmt.Sprintf("v%d", i+1))
		assert.NilError(t, err)
	}
	for _, to := range []int64{2, 5} { // before and after the snapshot
		result, err := k.Rollback(t.Context(), Change{Base: k.Catalog().Revision, Author: "me"}, to)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, k.Catalog().Revision)
		assert.Equal(t, labelOf(k.Catalog().Document()), fmt.Sprintf("v%d", to))
	}
	history, err := k.History(t.Context(), 6, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].Note, "roll back to revision 2")
	_, err = k.Rollback(t.Context(), Change{Base: 8}, 70)
	assert.Equal(t, failure.CodeOf(err), failure.NotFound)

	// A router that starts now reads the snapshot and the revisions after it.
	restarted := NewKeeper(testSettings(), f.store.NewClient(), f.clock, event.Discard{}, discardLog)
	assert.NilError(t, restarted.Load(t.Context()))
	assert.DeepEqual(t, restarted.Catalog().Document(), k.Catalog().Document())
}

// TestDiffTurnsOneDocumentIntoAnother guards against operations that miss a change of
// the document, and against changes of the original document through shared lists.
func TestDiffTurnsOneDocumentIntoAnother(t *testing.T) {
	from, to := sizedDocument(20), sizedDocument(30)
	to.Workspaces = slices.Delete(to.Workspaces, 3, 5)
	to.Endpoints[1].Leaving = true
	ops, err := Diff(from, to)
	assert.NilError(t, err)
	got := from
	assert.NilError(t, applyOps(&got, ops))
	assert.DeepEqual(t, got, to)
	assert.DeepEqual(t, from, sizedDocument(20)) // the original document must not change
}
