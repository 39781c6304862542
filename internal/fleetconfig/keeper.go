package fleetconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/member"
	"daisyslip.dev/daisyslip/coord/revlog"
	"daisyslip.dev/daisyslip/internal/catalog"
)

// storePrefix is the prefix of the keys of the configuration's rows and objects
// in the platform's store.
const storePrefix = "config"

// maxRecentEntries bounds the newest revisions kept in memory, for peers that
// fetch only the last few.
const maxRecentEntries = 128

// Keeper maintains the configuration that this router has applied, commits
// changes of operators and tracks their acceptance. It is safe for concurrent use
// once Join, if it is called, has returned.
type Keeper struct {
	settings Settings
	history  *revlog.Log
	clock    clock.Clock
	events   event.Recorder
	log      *slog.Logger

	bus        bus.Bus           // nil before Join
	members    *member.Directory // nil before Join
	view       *view
	viewLeases *viewLeases
	acceptance *acceptanceTracker

	current atomic.Pointer[catalog.Index] // the applied revision

	mu     sync.Mutex     // guards recent and serializes the writes to current
	recent []revlog.Entry // the newest applied revisions, without gaps
}

// NewKeeper returns a keeper that has applied only the empty revision 0. Until
// Join is called, it has no peers, and a revision is accepted as soon as this
// router has applied it.
func NewKeeper(s Settings, store revlog.Store, c clock.Clock, events event.Recorder, log *slog.Logger) *Keeper {
	k := &Keeper{
		settings: s, history: revlog.New(store, storePrefix), clock: c, events: events, log: log,
		view: newView(s, c), viewLeases: newViewLeases(), acceptance: newAcceptanceTracker(),
	}
	empty, err := catalog.NewIndex(catalog.Document{})
	if err != nil {
		panic(err) // the empty document is valid
	}
	k.current.Store(empty)
	return k
}

// Join connects the keeper to the other routers of the fleet and registers the
// handlers of their requests. It is called at most once, before Run.
func (k *Keeper) Join(b bus.Bus, members *member.Directory) {
	k.bus, k.members = b, members
	bus.Handle(b, kindPush, k.handlePush)
	bus.Handle(b, kindView, k.handleView)
	bus.Handle(b, kindFetch, k.handleFetch)
	bus.Handle(b, kindMembers, k.handleMembers)
}

// Catalog returns the index of the applied revision.
func (k *Keeper) Catalog() *catalog.Index { return k.current.Load() }

// Load reads the newest revision from the table, applies it and confirms the
// view as of the start of the call.
func (k *Keeper) Load(ctx context.Context) error {
	started := k.clock.Now()
	head, err := k.history.Head(ctx)
	if err != nil {
		return err
	}
	if err := k.catchUp(ctx, head); err != nil {
		return err
	}
	if k.Catalog().Revision >= head {
		k.view.confirm(started)
	}
	return nil
}

// catchUp reads the revisions up to head from the table and applies them. It
// starts from the newest snapshot if no revision is applied yet or if more than
// maxRecentEntries revisions are missing.
func (k *Keeper) catchUp(ctx context.Context, head int64) error {
	applied := k.Catalog().Revision
	if applied >= head {
		return nil
	}
	if applied > 0 && head-applied <= maxRecentEntries {
		entries, err := k.history.Between(ctx, applied, head)
		if err != nil {
			return err
		}
		return k.applyEntries(entries)
	}
	snapshot, entries, err := k.history.Load(ctx)
	if err != nil {
		return err
	}
	if snapshot.Revision > applied {
		var document catalog.Document
		if err := json.Unmarshal(snapshot.State, &document); err != nil {
			return fmt.Errorf("decode snapshot %d: %w", snapshot.Revision, err)
		}
		if err := k.applyDocument(document); err != nil {
			return err
		}
	}
	return k.applyEntries(entries)
}

// applyEntries applies the entries that directly follow the applied revision and
// skips all others. The index is updated once, after the last entry.
func (k *Keeper) applyEntries(entries []revlog.Entry) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	document := k.Catalog().Document()
	var ops []Op
	applied := entries[:0:0]
	for _, e := range entries {
		if e.Revision != document.Revision+1 {
			continue
		}
		revision, err := decodeEntry(e)
		if err != nil {
			return fmt.Errorf("decode revision %d: %w", e.Revision, err)
		}
		if err := applyOps(&document, revision.Ops); err != nil {
			return fmt.Errorf("apply revision %d: %w", e.Revision, err)
		}
		document.Revision = e.Revision
		ops = append(ops, revision.Ops...)
		applied = append(applied, e)
	}
	if len(applied) == 0 {
		return nil
	}
	index, err := k.Catalog().Next(document, changeSetOf(ops))
	if err != nil {
		return err
	}
	k.storeIndexLocked(index)
	k.recent = append(k.recent, applied...)
	if excess := len(k.recent) - maxRecentEntries; excess > 0 {
		k.recent = append([]revlog.Entry(nil), k.recent[excess:]...)
	}
	return nil
}

// applyDocument applies a whole document, unless its revision is not above the
// applied one.
func (k *Keeper) applyDocument(document catalog.Document) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if document.Revision <= k.Catalog().Revision {
		return nil
	}
	index, err := catalog.NewIndex(document)
	if err != nil {
		return err
	}
	k.recent = nil
	k.storeIndexLocked(index)
	return nil
}

// storeIndexLocked makes index the applied revision. The caller holds k.mu.
func (k *Keeper) storeIndexLocked(index *catalog.Index) {
	k.current.Store(index)
	k.events.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionApplied, Revision: index.Revision})
}

// recentAfter returns the kept entries after a revision, and whether they are
// complete, that is, whether no applied revision after it is missing.
func (k *Keeper) recentAfter(revision int64) ([]revlog.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, e := range k.recent {
		if e.Revision == revision+1 {
			return append([]revlog.Entry(nil), k.recent[i:]...), true
		}
	}
	return nil, revision >= k.Catalog().Revision
}

// Run confirms the view every PollInterval and pushes tracked revisions until
// they are accepted. It returns nil when ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { k.runAcceptance(ctx) })
	defer loops.Wait()
	for {
		if err := k.refresh(ctx); err == nil && !k.Confirmed() {
			k.log.Warn("could not confirm the configuration view within its bound", "age", k.view.age().Round(time.Millisecond))
		}
		if err := clock.Sleep(ctx, k.clock, k.settings.PollInterval); err != nil {
			return nil
		}
	}
}
