package conf

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

// logPrefix starts the rows and objects of the configuration.
const logPrefix = "config"

// recentEntries is the number of newest revisions kept for routers that are
// a little behind.
const recentEntries = 128

// Keeper follows and changes the configuration.
type Keeper struct {
	settings Settings
	history  *revlog.Log
	clock    clock.Clock
	events   event.Recorder
	log      *slog.Logger

	bus     bus.Bus           // nil before Join
	members *member.Directory // nil before Join
	view    *view
	offers  *offers
	accept  *acceptance

	current atomic.Pointer[catalog.Index]

	mu     sync.Mutex     // guards recent, and orders the changes of current
	recent []revlog.Entry // the newest revisions in force, without gaps
}

// NewKeeper returns a keeper without a revision in force. It stands alone
// until Join.
func NewKeeper(s Settings, store revlog.Store, c clock.Clock, events event.Recorder, log *slog.Logger) *Keeper {
	k := &Keeper{
		settings: s, history: revlog.New(store, logPrefix), clock: c, events: events, log: log,
		view: newView(s, c), offers: newOffers(), accept: newAcceptance(),
	}
	empty, err := catalog.NewIndex(catalog.Document{})
	if err != nil {
		panic(err) // the empty document is valid
	}
	k.current.Store(empty)
	return k
}

// Join makes the keeper one of a fleet. It is called before Run.
func (k *Keeper) Join(b bus.Bus, members *member.Directory) {
	k.bus, k.members = b, members
	bus.Handle(b, kindPush, k.handlePush)
	bus.Handle(b, kindView, k.handleView)
	bus.Handle(b, kindCopy, k.handleCopy)
	bus.Handle(b, kindMembers, k.handleMembers)
}

// Catalog returns the revision in force.
func (k *Keeper) Catalog() *catalog.Index { return k.current.Load() }

// Load puts the table's newest revision in force and confirms the view.
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

// catchUp reads the revisions up to head from the table and puts them in
// force.
func (k *Keeper) catchUp(ctx context.Context, head int64) error {
	at := k.Catalog().Revision
	if at >= head {
		return nil
	}
	if at > 0 && head-at <= recentEntries {
		entries, err := k.history.Between(ctx, at, head)
		if err != nil {
			return err
		}
		return k.apply(entries)
	}
	snapshot, entries, err := k.history.Load(ctx)
	if err != nil {
		return err
	}
	if snapshot.Revision > at {
		var document catalog.Document
		if err := json.Unmarshal(snapshot.State, &document); err != nil {
			return fmt.Errorf("decode snapshot %d: %w", snapshot.Revision, err)
		}
		if err := k.replace(document); err != nil {
			return err
		}
	}
	return k.apply(entries)
}

// apply puts revisions in force, as far as they follow on the one in force.
// The index is built once, after the last of them.
func (k *Keeper) apply(entries []revlog.Entry) error {
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
		if err := apply(&document, revision.Ops); err != nil {
			return fmt.Errorf("apply revision %d: %w", e.Revision, err)
		}
		document.Revision = e.Revision
		ops = append(ops, revision.Ops...)
		applied = append(applied, e)
	}
	if len(applied) == 0 {
		return nil
	}
	index, err := k.Catalog().Next(document, touchedBy(ops))
	if err != nil {
		return err
	}
	k.putLocked(index)
	k.recent = append(k.recent, applied...)
	if extra := len(k.recent) - recentEntries; extra > 0 {
		k.recent = append([]revlog.Entry(nil), k.recent[extra:]...)
	}
	return nil
}

// replace puts a whole document in force, unless it is older.
func (k *Keeper) replace(document catalog.Document) error {
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
	k.putLocked(index)
	return nil
}

func (k *Keeper) putLocked(index *catalog.Index) {
	k.current.Store(index)
	k.events.Record(event.Event{Component: event.ComponentConfig, Kind: event.RevisionApplied, Revision: index.Revision})
}

// recentAfter returns the kept revisions after the one given, and whether
// they reach back so far.
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

// Run confirms the view and sees to the acceptance of changes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { k.runAcceptance(ctx) })
	defer loops.Wait()
	for {
		if err := k.refresh(ctx); err == nil && !k.Confirmed() {
			k.log.Warn("View not confirmed.", "age", k.view.age().Round(time.Millisecond))
		}
		if err := clock.Sleep(ctx, k.clock, k.settings.PollInterval); err != nil {
			return nil
		}
	}
}
