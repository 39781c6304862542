// Package conf keeps the configuration: it commits the changes of operators
// to the platform's table and puts each revision in force on this router.
package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/check"
)

// headKey is the row of the newest revision; its version is the revision.
const headKey = "config/head"

// Settings are the settings of the configuration duty.
type Settings struct {
	// PollInterval is the time between two looks at the table.
	PollInterval time.Duration `json:"poll_interval"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{PollInterval: 500 * time.Millisecond} }

// Validate adds every problem of the settings to l.
func (s Settings) Validate(l *check.List, path string) {
	l.Duration(path+".poll_interval", s.PollInterval, 10*time.Millisecond, time.Minute)
}

// EntityKind names a list of the document.
type EntityKind string

// The kinds of entities.
const (
	KindWorkspace EntityKind = "workspace"
	KindPool      EntityKind = "pool"
	KindEndpoint  EntityKind = "endpoint"
	KindRule      EntityKind = "rule"
)

// Op puts or deletes one entity of the document.
type Op struct {
	Kind EntityKind `json:"kind"`
	Name string     `json:"name"`
	// Put is the whole new entity as JSON; null deletes it.
	Put json.RawMessage `json:"put,omitempty"`
}

// Change is an operator's change of the configuration.
type Change struct {
	// Base is the revision against which the change was made.
	Base   int64  `json:"base"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	Ops    []Op   `json:"ops"`
}

// Result says how far a change has come.
type Result struct {
	Revision int64 `json:"revision"`
	// Accepted is true once every live router has the revision in force.
	Accepted bool `json:"accepted"`
	// WaitingFor names the routers that have not acknowledged it.
	WaitingFor []string `json:"waiting_for,omitempty"`
}

// Keeper follows and changes the configuration.
type Keeper struct {
	settings Settings
	table    platform.Table
	clock    clock.Clock
	events   event.Recorder
	log      *slog.Logger
	current  atomic.Pointer[catalog.Index]
}

// NewKeeper returns a keeper without a revision in force.
func NewKeeper(s Settings, table platform.Table, c clock.Clock, events event.Recorder, log *slog.Logger) *Keeper {
	k := &Keeper{settings: s, table: table, clock: c, events: events, log: log}
	empty, err := catalog.NewIndex(catalog.Document{})
	if err != nil {
		panic(err) // the empty document is valid
	}
	k.current.Store(empty)
	return k
}

// Catalog returns the revision in force.
func (k *Keeper) Catalog() *catalog.Index { return k.current.Load() }

// Load puts the table's revision in force.
func (k *Keeper) Load(ctx context.Context) error {
	rows, err := k.table.Get(ctx, headKey)
	if err != nil {
		return fmt.Errorf("load configuration: %w", err)
	}
	if rows[0].Version <= k.Catalog().Revision {
		return nil
	}
	document, err := decodeDocument(rows[0])
	if err != nil {
		return err
	}
	index, err := catalog.NewIndex(document)
	if err != nil {
		return err
	}
	k.current.Store(index)
	k.events.Record(event.Event{Duty: event.DutyConfig, Kind: event.RevisionApplied, Revision: index.Revision})
	return nil
}

func decodeDocument(row platform.Row) (catalog.Document, error) {
	var document catalog.Document
	if row.Version == 0 {
		return document, nil
	}
	if err := json.Unmarshal(row.Value, &document); err != nil {
		return document, fmt.Errorf("decode configuration %d: %w", row.Version, err)
	}
	document.Revision = row.Version
	return document, nil
}

// Run polls the table until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for {
		if err := k.Load(ctx); err != nil {
			k.log.Warn("Load failed.", "err", err)
		}
		if err := clock.Sleep(ctx, k.clock, k.settings.PollInterval); err != nil {
			return nil
		}
	}
}

// Commit writes a change as the next revision. A change against another
// revision than the newest is a failure.Conflict.
func (k *Keeper) Commit(ctx context.Context, change Change) (Result, error) {
	rows, err := k.table.Get(ctx, headKey)
	if err != nil {
		return Result{}, failure.Wrap(failure.StoreUnavailable, "commit configuration", "platform", err)
	}
	if rows[0].Version != change.Base {
		return Result{}, conflict(change.Base, rows[0].Version)
	}
	document, err := decodeDocument(rows[0])
	if err != nil {
		return Result{}, err
	}
	if err := apply(&document, change.Ops); err != nil {
		return Result{}, err
	}
	document.Revision = change.Base + 1
	if _, err := catalog.NewIndex(document); err != nil {
		return Result{}, failure.Wrap(failure.BadRequest, "check configuration", "", err)
	}
	value, err := json.Marshal(document)
	if err != nil {
		return Result{}, fmt.Errorf("encode configuration: %w", err)
	}
	_, err = platform.CommitSure(ctx, k.table, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: headKey, Version: change.Base}},
		Writes: []platform.Write{{Key: headKey, Value: value}},
	})
	if platform.IsConflict(err) {
		return Result{}, conflict(change.Base, change.Base+1)
	}
	if err != nil {
		return Result{}, failure.Wrap(failure.StoreUnavailable, "commit configuration", "platform", err)
	}
	k.events.Record(event.Event{Duty: event.DutyConfig, Kind: event.RevisionCommitted, Revision: document.Revision})
	return Result{Revision: document.Revision}, k.Load(ctx)
}

func conflict(base, head int64) error {
	return failure.New(failure.Conflict, "commit configuration", "",
		fmt.Sprintf("the change was made against revision %d, the newest is %d; read it and try again", base, head))
}
