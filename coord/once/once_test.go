package once_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// day is the step in which the tests advance the clock.
const day = 24 * time.Hour

var fanCall = once.Call{Workspace: "coop", Service: "fans", Key: "fan-7", Digest: "on"}

// shortWaits returns settings with short waits.
func shortWaits() once.Settings {
	s := once.DefaultSettings()
	s.ClaimTimeout = 50 * time.Millisecond
	s.ResponseWait = time.Millisecond
	s.ResponsePollInterval = time.Millisecond
	return s
}

// runOnce claims a call and finishes it with the response. If the call was
// executed before, it returns the stored response instead.
func runOnce(ctx context.Context, r *once.Records, c once.Call, response []byte) (stored []byte, executed bool, err error) {
	claim, err := r.Claim(ctx, c)
	if err != nil {
		return nil, false, err
	}
	if claim.StoredResponse != nil {
		return claim.StoredResponse, false, nil
	}
	return response, true, r.Finish(ctx, claim, response)
}

// newUUID7 returns a UUID of version 7 whose time is at.
func newUUID7(t *testing.T, at time.Time) string {
	t.Helper()
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// TestReplayedKeyNeverRunsTwice guards against a second execution of a call whose
// key is used again after days, with a sweep on each day. If records simply expire,
// here after an hour, the call executes twice.
func TestReplayedKeyNeverRunsTwice(t *testing.T) {
	for _, kind := range []string{"plain key", "key with its time"} {
		for _, days := range []int{1, 6, 8, 15, 400} {
			t.Run(fmt.Sprintf("%s after %d days", kind, days), func(t *testing.T) {
				now := clock.NewFake(time.Unix(1_800_000_000, 0))
				store := memory.NewStore(clock.Real{})
				r := once.NewRecords(shortWaits(), store.NewClient(), now, "first")
				c := fanCall
				if kind != "plain key" {
					c.Key = newUUID7(t, now.Now())
				}
				_, executed, err := runOnce(t.Context(), r, c, []byte("answer"))
				assert.NilError(t, err)
				assert.Assert(t, executed)
				for range days {
					now.Advance(day)
					_, _, err := r.Sweep(t.Context(), "", 100)
					assert.NilError(t, err)
				}
				stored, executed, err := runOnce(t.Context(), once.NewRecords(shortWaits(), store.NewClient(), now, "second"), c, nil)
				assert.Assert(t, !executed, "the call executed twice")
				if days < 7 {
					assert.NilError(t, err)
					assert.Equal(t, string(stored), "answer")
					return
				}
				assert.Assert(t, err != nil)
				if kind != "plain key" && days >= 15 {
					assert.Equal(t, len(store.Dump(once.Prefix)), 0)
				}
			})
		}
	}
	t.Run("naive expiry", func(t *testing.T) {
		store := memory.NewStore(clock.Real{})
		naive := naiveExpiry{store: store.NewClient(), maxAge: time.Hour}
		executions := 0
		for _, at := range []time.Time{time.Unix(1_800_000_000, 0), time.Unix(1_800_000_000, 0).Add(day)} {
			naive.sweep(t.Context(), at)
			if naive.claim(t.Context(), fanCall.Key, at) {
				executions++
			}
		}
		assert.Equal(t, executions, 2)
	})
}

// naiveExpiry inserts records and deletes them once they are older than maxAge.
type naiveExpiry struct {
	store  platform.Table
	maxAge time.Duration
}

// claim inserts the record of a key and reports whether it did not exist.
func (n naiveExpiry) claim(ctx context.Context, key string, at time.Time) bool {
	_, err := n.store.Commit(ctx, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: "naive/" + key}},
		Writes: []platform.Write{{Key: "naive/" + key, Value: []byte(at.Format(time.RFC3339))}},
	})
	return err == nil
}

// sweep deletes the records that are older than maxAge at now.
func (n naiveExpiry) sweep(ctx context.Context, now time.Time) {
	rows, _ := n.store.Range(ctx, "naive/", platform.PrefixEnd("naive/"), 100)
	for _, row := range rows {
		createdAt, _ := time.Parse(time.RFC3339, string(row.Value))
		if now.Sub(createdAt) > n.maxAge {
			n.store.Commit(ctx, platform.Txn{
				OpID:   uuid.NewString(),
				Conds:  []platform.Cond{{Key: row.Key, Version: row.Version}},
				Writes: []platform.Write{{Key: row.Key, Delete: true}},
			})
		}
	}
}

// TestSweepPages sweeps more records than the limit of one call.
func TestSweepPages(t *testing.T) {
	now := clock.NewFake(time.Unix(1_800_000_000, 0))
	store := memory.NewStore(clock.Real{})
	r := once.NewRecords(shortWaits(), store.NewClient(), now, "first")
	for i := range 7 {
		c := fanCall
		c.Key = fmt.Sprint("key/", i)
		_, _, err := runOnce(t.Context(), r, c, []byte("answer"))
		assert.NilError(t, err)
	}
	now.Advance(8 * day)
	compacted, pages := 0, 0
	for cursor := ""; ; pages++ {
		next, count, err := r.Sweep(t.Context(), cursor, 3)
		assert.NilError(t, err)
		compacted += count.Compacted
		if cursor = next; next == "" {
			break
		}
	}
	assert.Equal(t, compacted, 7)
	assert.Equal(t, pages, 2)
	assert.Equal(t, len(store.Dump(once.Prefix)), 7)
}

// TestLargeResponseGoesToObjectStore checks that a response above MaxInlineBytes
// is not stored in the table and is returned to a retry.
func TestLargeResponseGoesToObjectStore(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	r := once.NewRecords(shortWaits(), store.NewClient(), clock.Real{}, "first")
	large := bytes.Repeat([]byte("a"), 2*shortWaits().MaxInlineBytes)
	_, _, err := runOnce(t.Context(), r, fanCall, large)
	assert.NilError(t, err)
	assert.Assert(t, len(store.Dump(once.Prefix)[0].Value) < 1000)
	stored, executed, err := runOnce(t.Context(), r, fanCall, nil)
	assert.NilError(t, err)
	assert.Assert(t, !executed)
	assert.Assert(t, bytes.Equal(stored, large))
}

// TestFinishAfterLostOutcome stores the response to a call that was marked as
// lost. The responses of the store to both writes are lost.
func TestFinishAfterLostOutcome(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	client := store.NewClient()
	r := once.NewRecords(shortWaits(), client, clock.Real{}, "first")
	claim, err := r.Claim(t.Context(), fanCall)
	assert.NilError(t, err)
	client.SetFaults(memory.Faults{LoseResponses: 1})
	assert.NilError(t, r.MarkOutcomeLost(t.Context(), claim))
	_, err = r.Claim(t.Context(), fanCall)
	assert.Equal(t, failure.CodeOf(err), failure.OutcomeUnknown)
	client.SetFaults(memory.Faults{LoseResponses: 1})
	assert.NilError(t, r.Finish(t.Context(), claim, []byte("answer")))
	repeated, err := r.Claim(t.Context(), fanCall)
	assert.NilError(t, err)
	assert.Equal(t, string(repeated.StoredResponse), "answer")
}

// delayingStore does not apply the first transaction, but keeps it in delayed, so
// that the test can apply it later. It reports that the response was lost.
type delayingStore struct {
	*memory.Client
	delayed *platform.Txn
}

// Commit implements platform.Table.
func (s *delayingStore) Commit(ctx context.Context, txn platform.Txn) (platform.Receipt, error) {
	if s.delayed == nil {
		s.delayed = &txn
	}
	if s.delayed.OpID == txn.OpID {
		return platform.Receipt{}, &platform.Error{Kind: platform.KindUnknown, Step: "commit", Err: errors.New("no response")}
	}
	return s.Client.Commit(ctx, txn)
}

// TestDelayedInsertionDoesNotBlockKey guards against a key that stays claimed for
// ever: the insertion of a claim reaches the store after the caller was told that
// the call was not sent. The insertion must conflict and the next call must execute.
func TestDelayedInsertionDoesNotBlockKey(t *testing.T) {
	store := memory.NewStore(clock.Real{})
	delaying := &delayingStore{Client: store.NewClient()}
	r := once.NewRecords(shortWaits(), delaying, clock.Real{}, "first")
	_, err := r.Claim(t.Context(), fanCall)
	assert.Equal(t, failure.CodeOf(err), failure.StoreUnavailable)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	for len(store.Dump(once.Prefix)) == 0 { // wait for the release in the background
		time.Sleep(time.Millisecond)
	}
	_, err = store.NewClient().Commit(t.Context(), *delaying.delayed)
	assert.Assert(t, platform.IsConflict(err), "%v", err)
	_, executed, err := runOnce(t.Context(), once.NewRecords(shortWaits(), store.NewClient(), clock.Real{}, "second"), fanCall, []byte("answer"))
	assert.NilError(t, err)
	assert.Assert(t, executed)
}

func Example() {
	ctx := context.Background()
	store := memory.NewStore(clock.Real{})
	records := once.NewRecords(once.DefaultSettings(), store.NewClient(), clock.Real{}, "router-1")
	switchFan := func() string {
		claim, err := records.Claim(ctx, once.Call{Workspace: "coop", Service: "fans", Key: "order-41", Digest: "bin 7 on"})
		if err != nil {
			return err.Error()
		}
		if claim.StoredResponse != nil {
			return "replayed: " + string(claim.StoredResponse)
		}
		// The call is sent here, once.
		if err := records.Finish(ctx, claim, []byte("fan is on")); err != nil {
			return err.Error()
		}
		return "ran: fan is on"
	}
	fmt.Println(switchFan())
	fmt.Println(switchFan())
	// Output:
	// ran: fan is on
	// replayed: fan is on
}
