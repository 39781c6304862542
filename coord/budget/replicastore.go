package budget

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
)

// replicaStore stores replicas of other holders' bills and writes those of
// lost holders.
type replicaStore struct {
	holder *LocalHolder

	mu          sync.Mutex // guards the fields below
	groups      map[bus.ID][]replicaGroup
	billCount   int
	absentSince map[bus.ID]time.Time // when each absent holder was first found not to be a member
}

// replicaGroup is a group of another holder's bills.
type replicaGroup struct {
	bills      []bill
	receivedAt time.Time
}

// newReplicaStore returns an empty store; the caller starts run.
func newReplicaStore(h *LocalHolder) *replicaStore {
	return &replicaStore{holder: h, groups: make(map[bus.ID][]replicaGroup), absentSince: make(map[bus.ID]time.Time)}
}

// lostAfter is how long a holder must be absent before its peers write its
// bills. Writing them early is harmless.
const lostAfter = 3 * time.Second

// staleAfter is how long a replica is stored before it is written although
// its holder is live: the holder may have lost track of which peers store its
// replicas.
const staleAfter = 15 * time.Minute

// errReplicaStoreFull means that the store has reached its bound or that the
// holder is closing.
var errReplicaStoreFull = errors.New("no room for copies of bills")

// add stores a replica of bills of the holder from. The bills are in order of
// number and not empty.
func (k *replicaStore) add(from bus.ID, bills []bill) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holder.closing.Load() || k.billCount+len(bills) > k.holder.options.Settings.MaxUnwritten {
		return errReplicaStoreFull
	}
	k.billCount += len(bills)
	k.groups[from] = append(k.groups[from], replicaGroup{bills: bills, receivedAt: k.holder.options.Clock.Now()})
	return nil
}

// remove deletes the replicas of a holder's groups whose last bill has at
// most the number last.
func (k *replicaStore) remove(from bus.ID, last uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var remaining []replicaGroup
	for _, group := range k.groups[from] {
		if group.bills[len(group.bills)-1].Number <= last {
			k.billCount -= len(group.bills)
			continue
		}
		remaining = append(remaining, group)
	}
	k.groups[from] = remaining
	if len(remaining) == 0 {
		delete(k.groups, from)
	}
}

// run writes replicas that are due until the holder stops.
func (k *replicaStore) run() {
	for clock.Sleep(k.holder.ctx, k.holder.options.Clock, platformRetryInterval) == nil {
		for _, id := range k.dueHolders() {
			if err := k.writeReplicas(k.holder.ctx, id); err != nil {
				k.holder.options.Log.Debug("Writing the bill replicas of a peer failed; the write is retried.", "peer", id.String(), "err", err)
			}
		}
	}
}

// dueHolders lists, in order of their ids, the holders whose replicas are to
// be written: those absent for lostAfter and live ones with a replica older
// than staleAfter.
func (k *replicaStore) dueHolders() []bus.ID {
	members := make(map[bus.ID]bool)
	for _, p := range k.holder.options.Bus.Peers() {
		members[p.ID] = true
	}
	now := k.holder.options.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []bus.ID
	for id, replicas := range k.groups {
		if members[id] {
			delete(k.absentSince, id)
			if now.Sub(replicas[0].receivedAt) >= staleAfter {
				due = append(due, id)
			}
			continue
		}
		if _, recorded := k.absentSince[id]; !recorded {
			k.absentSince[id] = now
		}
		if now.Sub(k.absentSince[id]) >= lostAfter {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b bus.ID) int { return cmp.Compare(a.String(), b.String()) })
	return due
}

// writeReplicas writes the replicas of one holder and removes them. Each
// group is written to a row of its own, with the same key at every peer, so
// that it is written only once.
func (k *replicaStore) writeReplicas(ctx context.Context, id bus.ID) error {
	k.mu.Lock()
	replicas := slices.Clone(k.groups[id])
	k.mu.Unlock()
	for _, group := range replicas {
		bills := group.bills
		ctx, cancel := context.WithTimeout(ctx, k.holder.options.Settings.CallTimeout)
		w := &batchWrite{
			table: k.holder.options.Table, maxReplays: k.holder.options.Settings.MaxReplays,
			holder: id.String(), incarnation: id.Incarnation,
			key: replicaBatchKey(id.Incarnation, bills[0].Number), bills: bills,
		}
		err := w.write(ctx)
		if errors.Is(err, ErrFenced) {
			err = w.writeLate(ctx)
		}
		cancel()
		if err != nil {
			return err
		}
		k.remove(id, bills[len(bills)-1].Number)
	}
	return nil
}

// flush writes the replicas of an incarnation at once.
func (k *replicaStore) flush(ctx context.Context, incarnation string) error {
	k.mu.Lock()
	var ids []bus.ID
	for id := range k.groups {
		if id.Incarnation == incarnation {
			ids = append(ids, id)
		}
	}
	k.mu.Unlock()
	for _, id := range ids {
		if err := k.writeReplicas(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// handOver sends the stored replicas to other peers before this holder stops.
// The error joins those of all groups that no peer accepted.
func (k *replicaStore) handOver(ctx context.Context) error {
	k.mu.Lock()
	groupsByHolder := maps.Clone(k.groups)
	k.mu.Unlock()
	var joined error
	for id, replicas := range groupsByHolder {
		for _, group := range replicas {
			if err := k.sendToAnyPeer(ctx, replicateRequest{Holder: id, Bills: group.bills}); err != nil {
				joined = errors.Join(joined, err)
				continue
			}
			k.remove(id, group.bills[len(group.bills)-1].Number)
		}
	}
	return joined
}

// sendToAnyPeer sends one group to the first peer that accepts it.
func (k *replicaStore) sendToAnyPeer(ctx context.Context, req replicateRequest) error {
	err := errors.New("no peer accepts bill replicas")
	for _, p := range k.holder.replicaPeers() {
		if p.ID == req.Holder {
			continue
		}
		if _, err = bus.Call[replicateRequest, emptyResponse](ctx, k.holder.options.Bus, p.ID, kindReplicate, req); err == nil {
			return nil
		}
	}
	return fmt.Errorf("hand over bill replicas of holder %s: %w", req.Holder, err)
}

// FlushReplicas writes the replicas that this holder and its peers store of a
// lost holder's bills, so that a resolution counts them. The error names each
// peer that failed to write or did not respond.
func (h *LocalHolder) FlushReplicas(ctx context.Context, incarnation string) error {
	err := h.replicas.flush(ctx, incarnation)
	for _, p := range h.options.Bus.Peers() {
		_, callErr := bus.Call[flushRequest, emptyResponse](ctx, h.options.Bus, p.ID, kindFlush, flushRequest{Incarnation: incarnation})
		if callErr != nil {
			err = errors.Join(err, fmt.Errorf("flush copies at %s: %w", p.ID, callErr))
		}
	}
	return err
}
