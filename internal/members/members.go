// Package members keeps a list of the routers of a fleet in a row store: a row for
// each VM, which its process writes when it starts and removes when it stops. Whether
// a router can be reached is judged by the peer link, not by the store.
package members

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/prepaid"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// The rows of the fleet: the row of each VM, and the secret of the peer link.
const (
	table     = "fleet"
	rowPrefix = "vm/"
	// observationsPrefix begins the names of the rows with observations, which end in
	// the VM that writes them.
	observationsPrefix = "observations/"
	secretName         = "secret"
)

const (
	// feedWait is the longest time that one call waits for changes.
	feedWait = 3 * time.Second
	// feedInterval is the least time between two calls. Routers start and stop in
	// groups; one call returns several changes.
	feedInterval = 250 * time.Millisecond
	// writeTimeout bounds one write, and writeRetryInterval is the mean wait after a
	// failed one.
	writeTimeout       = time.Second
	writeRetryInterval = 200 * time.Millisecond
	// minSuspicion is how long a member that did not respond is not used. It doubles
	// with each further time, up to maxSuspicion.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// suspicionMemory is the time after a suspicion in which a further one lasts
	// longer.
	suspicionMemory = 10 * time.Second
)

// member is another router, or this one.
type member struct {
	prepaid.Member
	addr           string
	suspectedUntil time.Time
	suspicions     int // without a response in between
	// keptUntil is set while the restored store does not list the member.
	keptUntil time.Time
}

// Directory is the list of routers as one of them sees it. It implements
// prepaid.Fleet and peer.Directory, and is safe for concurrent use.
type Directory struct {
	store rowstore.Store
	clock clock.Clock
	log   *slog.Logger
	// onSecret receives the secret of the peer link once it is known.
	onSecret func(secret string)
	// onObservations receives the rows with observations.
	onObservations func(row rowstore.Row)
	// doubtful reports whether this router's own load explains that a member does not respond.
	doubtful func() bool
	synced   atomic.Bool
	leaving  atomic.Bool
	// rewrite makes Run write the row of this router again.
	rewrite chan struct{}

	// The goroutine of the watcher uses the following.

	// restored is set if the next snapshot is of a restored store.
	restored bool
	// secret is the newest one that was read, and secretStored whether the store has
	// it.
	secret       string
	secretStored bool

	mu      sync.Mutex // guards all below; never held during a call to the store
	self    member
	members map[string]*member // other routers by VM
	ended   map[string]string  // incarnation that ended last, by VM
	// available caches Available until validUntil, when a suspicion ends; nil if it
	// must be computed.
	available  []prepaid.Member
	version    int64
	validUntil time.Time
}

// New returns the directory of a router. onSecret is called with the secret of the
// peer link once that is known.
func New(self prepaid.Member, store rowstore.Store, c clock.Clock, log *slog.Logger, onSecret func(secret string)) *Directory {
	return &Directory{
		store: store, clock: c, log: log, onSecret: onSecret, rewrite: make(chan struct{}, 1),
		self: member{Member: self}, members: make(map[string]*member), ended: make(map[string]string),
	}
}

// SetAddr sets the host:port at which this router listens for its peers. It is called
// before Run.
func (d *Directory) SetAddr(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.addr = addr
}

// IgnoreSuspicions sets the function that reports whether this router's own load explains that
// a member does not respond, so that the member is not suspected. It is called before Run.
func (d *Directory) IgnoreSuspicions(doubtful func() bool) { d.doubtful = doubtful }

// OnObservations sets the function that receives the rows with observations of all
// routers, predecessors on this VM included. It is called before Run.
func (d *Directory) OnObservations(receive func(row rowstore.Row)) { d.onObservations = receive }

// ObservationsKey returns the key of the row with the observations of this router.
func (d *Directory) ObservationsKey() rowstore.Key {
	return rowstore.Key{Table: table, Name: observationsPrefix + d.self.ID.VM}
}

// Self returns the id of this router.
func (d *Directory) Self() bus.ID { return d.self.ID }

// Listed returns the ids of all routers with a row, this one included, in order of VM.
func (d *Directory) Listed() []bus.ID {
	d.mu.Lock()
	ids := make([]bus.ID, 0, len(d.members)+1)
	ids = append(ids, d.self.ID)
	for _, m := range d.members {
		ids = append(ids, m.ID)
	}
	d.mu.Unlock()
	slices.SortFunc(ids, func(a, b bus.ID) int { return cmp.Compare(a.VM, b.VM) })
	return ids
}

// DomainSize returns the number of listed routers in the failure domain of this router, this
// one included.
func (d *Directory) DomainSize() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 1
	for _, m := range d.members {
		if m.Domain == d.self.Domain {
			n++
		}
	}
	return n
}

// Run writes the row of this router and follows the rows of the others until ctx
// ends.
func (d *Directory) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { d.writeRows(ctx) })
	running.Go(func() { d.watch(ctx) })
	running.Wait()
}

// writeRows writes the row of this router, again when it is missing.
func (d *Directory) writeRows(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.writeRow(ctx); err != nil {
			d.log.Debug("member row not written", "err", err.Error())
			_ = clock.Sleep(ctx, d.clock, writeRetryInterval/2+rand.N(writeRetryInterval)) // the loop condition checks ctx
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.rewrite:
		}
	}
}

// writeRow writes the row of this router, or removes it if the router is leaving.
func (d *Directory) writeRow(ctx context.Context) error {
	if d.leaving.Load() {
		return d.removeRow(ctx)
	}
	d.mu.Lock()
	value, err := json.Marshal(row{Incarnation: d.self.ID.Incarnation, Domain: d.self.Domain, Addr: d.self.addr, Weight: d.self.Weight})
	d.mu.Unlock()
	if err != nil {
		panic(err) // the row type always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := d.store.Commit(ctx, rowstore.Tx{Put: []rowstore.Put{{Key: d.key(), Value: value}}}); err != nil {
		return fmt.Errorf("write member row: %w", err)
	}
	return nil
}

// key returns the key of this router's row.
func (d *Directory) key() rowstore.Key {
	return rowstore.Key{Table: table, Name: rowPrefix + d.self.ID.VM}
}

// Leave removes the row of this router, so that others stop using it. A failure only
// means that they notice later.
func (d *Directory) Leave(ctx context.Context) {
	d.leaving.Store(true)
	d.mu.Lock()
	d.available = nil // this router is no lender any more
	d.mu.Unlock()
	if err := d.removeRow(ctx); err != nil {
		d.log.Info("member row not removed, peers notice the stop by themselves", "err", err.Error())
	}
}

// removeRow removes the row of this router.
func (d *Directory) removeRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := d.store.Commit(ctx, rowstore.Tx{Remove: []rowstore.Key{d.key()}}); err != nil {
		return fmt.Errorf("remove member row: %w", err)
	}
	return nil
}

// watch follows the table until ctx ends.
func (d *Directory) watch(ctx context.Context) {
	watcher := rowstore.Watcher{Store: d.store, Table: table, Wait: feedWait, Clock: d.clock, Log: d.log}
	watcher.OnSnapshot, watcher.OnChange = d.replace, d.update
	watcher.OnNewEra = func(int64, int64) { d.restored = true }
	for ctx.Err() == nil {
		watcher.Step(ctx)
		d.dropUnlisted()
		if !d.secretStored {
			d.storeSecret(ctx)
		}
		_ = clock.Sleep(ctx, d.clock, feedInterval) // the loop condition checks ctx
	}
}

// storeSecret stores the secret of the peer link, a new one if none is known, unless
// another router was first.
func (d *Directory) storeSecret(ctx context.Context) {
	secret := cmp.Or(d.secret, uuid.NewString())
	key := rowstore.Key{Table: table, Name: secretName}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := d.store.Commit(ctx, rowstore.Tx{Expect: []rowstore.Expect{{Key: key}}, Put: []rowstore.Put{{Key: key, Value: []byte(secret)}}})
	var conflict *rowstore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		d.log.Info("secret of the peer link not stored, another router's is awaited", "err", err.Error())
	}
}

// replace sets the members from all rows.
func (d *Directory) replace(rows []rowstore.Row) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key.Name] = true
	}
	d.removeMissing(present)
	if !present[d.key().Name] && !d.leaving.Load() {
		d.requestRewrite()
	}
	d.secretStored = present[secretName]
	d.update(rows)
	d.restored = false
	d.synced.Store(true)
}

// update applies changed rows. If this router's own row was removed, or an earlier
// process on its VM has overwritten it, the row is written again. If the row is back
// although this router is leaving, it is removed again.
func (d *Directory) update(rows []rowstore.Row) {
	for _, r := range rows {
		switch {
		case r.Key.Name == secretName:
			d.updateSecret(r)
		case strings.HasPrefix(r.Key.Name, observationsPrefix):
			if d.onObservations != nil && !r.Removed {
				d.onObservations(r)
			}
		case len(r.Key.Name) <= len(rowPrefix) || r.Key.Name[:len(rowPrefix)] != rowPrefix:
			d.log.Warn("row of the fleet ignored, its name is unknown", "row", r.Key.String())
		default:
			d.updateMember(r.Key.Name[len(rowPrefix):], r)
		}
	}
}

// updateSecret applies the row of the secret.
func (d *Directory) updateSecret(r rowstore.Row) {
	d.secretStored = !r.Removed
	if !r.Removed {
		d.secret = string(r.Value)
		d.onSecret(d.secret)
	}
}

// updateMember applies the row of one VM.
func (d *Directory) updateMember(vm string, r rowstore.Row) {
	var decoded row
	if !r.Removed {
		var err error
		if decoded, err = decodeRow(r.Value); err != nil {
			d.log.Error("cannot decode member row, the router is not used", "row", r.Key.String(), "err", err.Error())
			r.Removed = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if vm == d.self.ID.VM {
		listed := !r.Removed && decoded.Incarnation == d.self.ID.Incarnation
		if listed == d.leaving.Load() {
			d.requestRewrite()
		}
		return
	}
	if d.restored && !r.Removed && d.ended[vm] == decoded.Incarnation {
		return // the copy was made before it ended
	}
	d.available = nil
	known := d.members[vm]
	if known != nil && known.ID.Incarnation == decoded.Incarnation {
		known.keptUntil = time.Time{}
		return
	}
	if known != nil {
		d.ended[vm] = known.ID.Incarnation
	}
	if r.Removed {
		delete(d.members, vm)
		return
	}
	d.members[vm] = &member{addr: decoded.Addr, Member: prepaid.Member{
		ID: bus.ID{VM: vm, Incarnation: decoded.Incarnation}, Domain: decoded.Domain, Weight: decoded.Weight,
	}}
	d.log.Info("router joined or restarted", "vm", vm, "incarnation", decoded.Incarnation, "domain", decoded.Domain, "addr", decoded.Addr, "row_version", r.Version)
}

// requestRewrite makes writeRows write the row of this router again.
func (d *Directory) requestRewrite() {
	select {
	case d.rewrite <- struct{}{}:
	default:
	}
}
