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

	mu          sync.Mutex                // guards the fields below
	groups      map[bus.ID][]replicaGroup // by holder, in order of arrival
	billCount   int                       // total number of bills in groups
	absentSince map[bus.ID]time.Time      // when each absent holder was first found not to be a member
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

// errReplicaStoreFull means that the store has reached MaxUnwritten bills or
// that the holder is closing.
var errReplicaStoreFull = errors.New("no room for copies of bills")

// add stores a replica of bills of the holder from. The bills are in order of
// number and not empty.
func (s *replicaStore) add(from bus.ID, bills []bill) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.closing.Load() || s.billCount+len(bills) > s.holder.options.Settings.MaxUnwritten {
		return errReplicaStoreFull
	}
	s.billCount += len(bills)
	s.groups[from] = append(s.groups[from], replicaGroup{bills: bills, receivedAt: s.holder.options.Clock.Now()})
	return nil
}

// remove deletes the replicas of a holder's groups whose last bill has at
// most the number last.
func (s *replicaStore) remove(from bus.ID, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var remaining []replicaGroup
	for _, group := range s.groups[from] {
		if group.bills[len(group.bills)-1].Number <= last {
			s.billCount -= len(group.bills)
			continue
		}
		remaining = append(remaining, group)
	}
	s.groups[from] = remaining
	if len(remaining) == 0 {
		delete(s.groups, from)
	}
}

// run writes replicas that are due until the holder stops.
func (s *replicaStore) run() {
	for clock.Sleep(s.holder.ctx, s.holder.options.Clock, platformRetryInterval) == nil {
		for _, id := range s.dueHolders() {
			if err := s.writeReplicas(s.holder.ctx, id); err != nil {
				s.holder.options.Log.Debug("bill replicas of a peer could not be written, the write is retried", "peer", id.String(), "err", err)
			}
		}
	}
}

// dueHolders lists, in order of their ids, the holders whose replicas are to
// be written: those absent for lostAfter and live ones with a replica older
// than staleAfter.
func (s *replicaStore) dueHolders() []bus.ID {
	members := make(map[bus.ID]bool)
	for _, p := range s.holder.options.Bus.Peers() {
		members[p.ID] = true
	}
	now := s.holder.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []bus.ID
	for id, replicas := range s.groups {
		if members[id] {
			delete(s.absentSince, id)
			if now.Sub(replicas[0].receivedAt) >= staleAfter {
				due = append(due, id)
			}
			continue
		}
		if _, recorded := s.absentSince[id]; !recorded {
			s.absentSince[id] = now
		}
		if now.Sub(s.absentSince[id]) >= lostAfter {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b bus.ID) int { return cmp.Compare(a.String(), b.String()) })
	return due
}

// writeReplicas writes the replicas of one holder and removes them. Each
// group is written to a row of its own, with the same key at every peer, so
// that it is written only once.
func (s *replicaStore) writeReplicas(ctx context.Context, id bus.ID) error {
	s.mu.Lock()
	replicas := slices.Clone(s.groups[id])
	s.mu.Unlock()
	for _, group := range replicas {
		bills := group.bills
		ctx, cancel := context.WithTimeout(ctx, s.holder.options.Settings.CallTimeout)
		w := &batchWrite{
			table: s.holder.options.Table, maxReplays: s.holder.options.Settings.MaxReplays,
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
		s.remove(id, bills[len(bills)-1].Number)
	}
	return nil
}

// flush writes the replicas of an incarnation at once.
func (s *replicaStore) flush(ctx context.Context, incarnation string) error {
	s.mu.Lock()
	var ids []bus.ID
	for id := range s.groups {
		if id.Incarnation == incarnation {
			ids = append(ids, id)
		}
	}
	s.mu.Unlock()
	for _, id := range ids {
		if err := s.writeReplicas(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// handOver sends the stored replicas to other peers before this holder stops.
// The error joins those of all groups that no peer accepted.
func (s *replicaStore) handOver(ctx context.Context) error {
	s.mu.Lock()
	groupsByHolder := maps.Clone(s.groups)
	s.mu.Unlock()
	var errs error
	for id, replicas := range groupsByHolder {
		for _, group := range replicas {
			if err := s.sendToAnyPeer(ctx, replicateRequest{Holder: id, Bills: group.bills}); err != nil {
				errs = errors.Join(errs, err)
				continue
			}
			s.remove(id, group.bills[len(group.bills)-1].Number)
		}
	}
	return errs
}

// sendToAnyPeer sends one group to the first peer that accepts it.
func (s *replicaStore) sendToAnyPeer(ctx context.Context, req replicateRequest) error {
	err := errors.New("no peer accepts bill replicas")
	for _, p := range s.holder.replicaPeers() {
		if p.ID == req.Holder {
			continue
		}
		if _, err = bus.Call[replicateRequest, emptyResponse](ctx, s.holder.options.Bus, p.ID, kindReplicate, req); err == nil {
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
