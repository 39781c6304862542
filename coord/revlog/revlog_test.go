package revlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// appender is an implementation of appending a change against a base revision.
type appender interface {
	// append appends the change opID and reports whether it was accepted.
	append(ctx context.Context, opID string) (accepted bool, err error)
	// inHistory reports whether the change opID is in the history.
	inHistory(opID string) bool
}

// logAppender appends to a Log.
type logAppender struct {
	log  *Log
	base int64
}

func (o logAppender) append(ctx context.Context, opID string) (bool, error) {
	_, err := o.log.Append(ctx, o.base, Entry{OpID: opID, Author: opID})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		if len(conflict.Others) == 0 || conflict.Others[0].OpID == opID {
			return false, fmt.Errorf("the conflict of %s does not show the other change: %w", opID, err)
		}
		return false, nil
	}
	return err == nil, err
}

func (o logAppender) inHistory(opID string) bool {
	entries, err := o.log.Since(context.Background(), 0)
	for _, e := range entries {
		if e.OpID == opID {
			return true
		}
	}
	return err != nil
}

// lastWriterWins keeps the whole state in one row, which it overwrites with the
// state at its base and its change. A lost response counts as not accepted.
type lastWriterWins struct {
	table platform.Table
	base  platform.Row
}

func (n lastWriterWins) append(ctx context.Context, opID string) (bool, error) {
	rows, err := n.table.Get(ctx, "state")
	if err != nil {
		return false, err
	}
	// The state is that of the base; only the version is the current one.
	_, err = n.table.Commit(ctx, platform.Txn{
		OpID:   opID,
		Conds:  []platform.Cond{{Key: "state", Version: rows[0].Version}},
		Writes: []platform.Write{{Key: "state", Value: append(n.base.Value, " "+opID...)}},
	})
	return err == nil, nil
}

func (n lastWriterWins) inHistory(opID string) bool {
	rows, err := n.table.Get(context.Background(), "state")
	return err == nil && containsText(string(rows[0].Value), opID)
}

// containsText reports whether word occurs in list.
func containsText(list, word string) bool {
	for start := 0; start+len(word) <= len(list); start++ {
		if list[start:start+len(word)] == word {
			return true
		}
	}
	return false
}

// race lets operators append against one base concurrently, with lost requests and
// responses. It returns how many accepted changes are missing from the history and
// how many refused ones are in it.
func race(t *testing.T, store *memory.Store, random *rand.Rand, operators []appender, clients []*memory.Client, name string) (lost, kept int) {
	t.Helper()
	accepted := make([]bool, len(operators))
	var all sync.WaitGroup
	for i, o := range operators {
		clients[i].SetFaults(memory.Faults{LoseResponses: random.IntN(2), LoseRequests: random.IntN(2)})
		all.Go(func() {
			var err error
			if accepted[i], err = o.append(context.Background(), fmt.Sprintf("%s.%d;", name, i)); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	store.ForgetOpIDs()
	for i, o := range operators {
		clients[i].SetFaults(memory.Faults{})
		switch present := o.inHistory(fmt.Sprintf("%s.%d;", name, i)); {
		case accepted[i] && !present:
			lost++
		case !accepted[i] && present:
			kept++
		}
	}
	return lost, kept
}

// TestConcurrentAppendsLoseNoChange guards against concurrent changes that
// overwrite each other, and against changes that are applied although their author
// was told that they were refused. Both happen if the last writer wins.
func TestConcurrentAppendsLoseNoChange(t *testing.T) {
	const seed = 6
	races := 1000
	if testing.Short() {
		races = 100
	}
	for _, operators := range []int{2, 5} {
		t.Run(fmt.Sprint(operators), func(t *testing.T) {
			t.Parallel()
			oursLost, oursKept := runRaces(t, seed, races, operators, func(s *memory.Store, client *memory.Client) appender {
				log := New(client, "config")
				base, err := New(s.NewClient(), "config").Head(context.Background())
				if err != nil {
					t.Error(err)
				}
				return logAppender{log: log, base: base}
			})
			naiveLost, naiveKept := runRaces(t, seed, races, operators, func(s *memory.Store, client *memory.Client) appender {
				rows, err := s.NewClient().Get(context.Background(), "state")
				if err != nil {
					t.Error(err)
				}
				return lastWriterWins{table: client, base: rows[0]}
			})
			t.Logf("seed %d, %d races of %d: lost %d (naive %d), kept though refused %d (naive %d)",
				seed, races, operators, oursLost, naiveLost, oursKept, naiveKept)
			if oursLost+oursKept != 0 {
				t.Errorf("%d accepted changes lost, %d refused ones kept", oursLost, oursKept)
			}
			if naiveLost == 0 || naiveKept == 0 {
				t.Errorf("the races do not provoke both faults of the naive version: lost %d, kept %d", naiveLost, naiveKept)
			}
		})
	}
}

// runRaces runs races, each with faults from its own seed, and returns the sums of
// their results. Up to 32 run concurrently, since a race mostly waits for its
// retries.
func runRaces(t *testing.T, seed uint64, races, operators int, newAppender func(*memory.Store, *memory.Client) appender) (lost, kept int) {
	var mu sync.Mutex // guards lost and kept
	var all sync.WaitGroup
	semaphore := make(chan struct{}, 32)
	for r := range races {
		semaphore <- struct{}{}
		all.Go(func() {
			defer func() { <-semaphore }()
			random := rand.New(rand.NewPCG(seed, uint64(r)))
			store := memory.NewStore(clock.Real{})
			clients, racers := make([]*memory.Client, operators), make([]appender, operators)
			for i := range racers {
				clients[i] = store.NewClient()
				racers[i] = newAppender(store, clients[i])
			}
			raceLost, raceKept := race(t, store, random, racers, clients, fmt.Sprintf("r%d", r))
			mu.Lock()
			defer mu.Unlock()
			lost, kept = lost+raceLost, kept+raceKept
		})
	}
	all.Wait()
	return lost, kept
}

// newLog returns a log with the given number of revisions, whose operation ids are
// their numbers.
func newLog(t *testing.T, revisions int) (*Log, *memory.Store, *memory.Client) {
	t.Helper()
	store := memory.NewStore(clock.Real{})
	client := store.NewClient()
	log := New(client, "config")
	for i := range revisions {
		if _, err := log.Append(context.Background(), int64(i), Entry{OpID: fmt.Sprint(i + 1), Delta: []byte{byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	return log, store, client
}

// TestRepeatedAppendIsAppliedOnce guards against a second revision for an append
// that is retried after the store has forgotten its operation id.
func TestRepeatedAppendIsAppliedOnce(t *testing.T) {
	log, store, _ := newLog(t, 3)
	store.ForgetOpIDs()
	revision, err := log.Append(context.Background(), 1, Entry{OpID: "2"})
	if err != nil || revision != 2 {
		t.Fatalf("second append of revision 2: %d, %v", revision, err)
	}
}

// TestLoadStartsAtSnapshot checks that Load returns the newest snapshot and all later
// revisions, also if they need several reads, and fails during an outage instead of
// returning a part.
func TestLoadStartsAtSnapshot(t *testing.T) {
	log, _, client := newLog(t, 2*rowsPerRead+10)
	ctx := context.Background()
	for _, revision := range []int64{rowsPerRead, 5} { // storing the older one changes nothing
		if err := log.PutSnapshot(ctx, Snapshot{Revision: revision, State: []byte(fmt.Sprint(revision))}); err != nil {
			t.Fatal(err)
		}
	}
	s, entries, err := log.Load(ctx)
	if err != nil || string(s.State) != fmt.Sprint(rowsPerRead) || len(entries) != rowsPerRead+10 {
		t.Fatalf("load: snapshot %d %q, %d entries, %v", s.Revision, s.State, len(entries), err)
	}
	if last := entries[len(entries)-1].Revision; last != 2*rowsPerRead+10 {
		t.Fatalf("last revision is %d", last)
	}
	if _, err := log.Entry(ctx, 5000); !errors.Is(err, ErrNotFound) {
		t.Fatalf("absent entry: %v", err)
	}
	client.SetFaults(memory.Faults{Outage: true})
	if _, _, err := log.Load(ctx); platform.KindOf(err) != platform.KindUnavailable {
		t.Fatalf("load in an outage: %v", err)
	}
}

// TestWatchAppliesInOrder checks that Watch retries a failed read and then applies
// each revision once, in order.
func TestWatchAppliesInOrder(t *testing.T) {
	log, _, client := newLog(t, 3)
	client.SetFaults(memory.Faults{Outage: true})
	ctx, cancel := context.WithCancel(context.Background())
	var got []int64
	err := log.Watch(ctx, clock.Real{}, 1, time.Millisecond, func(e Entry) error {
		if got = append(got, e.Revision); e.Revision == 3 {
			cancel()
		}
		return nil
	}, func(error) { client.SetFaults(memory.Faults{}) })
	if err != nil || fmt.Sprint(got) != "[2 3]" {
		t.Fatalf("applied revisions %v, %v", got, err)
	}
}

func Example() {
	ctx := context.Background()
	log := New(memory.NewStore(clock.Real{}).NewClient(), "settings")
	revision, err := log.Append(ctx, 0, Entry{OpID: "a", Author: "haneul", Note: "first", Delta: []byte("fan=on")})
	fmt.Println(revision, err)
	_, err = log.Append(ctx, 0, Entry{OpID: "b", Author: "turnos", Delta: []byte("fan=off")})
	var conflict *ConflictError
	fmt.Println(errors.As(err, &conflict), conflict.Others[0].Author, string(conflict.Others[0].Delta))
	// Output:
	// 1 <nil>
	// true haneul fan=on
}
