package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
)

// pendingBill is a bill that is not written yet, with the settlement that
// waits for it. The mutex of the biller guards notified and opID.
type pendingBill struct {
	account  *account
	bill     bill
	result   chan error // receives once, buffered
	notified bool
	opID     string // operation id of the transaction that wrote the bill; set before result receives
}

// notify ends the settlement that waits for the bill; later calls do nothing.
func (p *pendingBill) notify(err error) {
	if !p.notified {
		p.notified = true
		p.result <- err
	}
}

// billGroup is a group of bills with consecutive numbers that stay together:
// they are replicated to peers as one unit, and a batch row holds whole
// groups.
type billGroup struct {
	pending   []*pendingBill
	createdAt time.Time
	// notified is set once no settlement waits for the group any more, and
	// replicas are the peers that store it.
	notified bool
	replicas []bus.ID
	// written is set once the group has left the backlog.
	written bool
}

// bills returns the bills of the group in order of number.
func (g *billGroup) bills() []bill {
	bills := make([]bill, len(g.pending))
	for i, p := range g.pending {
		bills[i] = p.bill
	}
	return bills
}

// notify ends all settlements that wait for the group.
func (g *billGroup) notify(err error) {
	g.notified = true
	for _, p := range g.pending {
		p.notify(err)
	}
}

// setOpID sets the operation id of the transaction that wrote the bills, for
// the settlements that still wait.
func (g *billGroup) setOpID(opID string) {
	for _, p := range g.pending {
		if !p.notified {
			p.opID = opID
		}
	}
}

// notifyReplicated ends the settlements whose grant policy is satisfied with
// the number of replicas.
func (g *billGroup) notifyReplicated() {
	g.notified = true
	for _, p := range g.pending {
		policy := p.account.holder.grantPolicy(p.bill.Account.Workspace)
		if len(g.replicas) < policy.MinReplicas {
			g.notified = false
			continue
		}
		p.notify(nil)
	}
}

// biller numbers the bills of a holder, groups them and writes them in order.
// One goroutine runs groupLoop, one writeLoop and a third replicateLoop,
// which replicates bills to peers while the platform is unreachable.
type biller struct {
	holder   *LocalHolder
	incoming chan *pendingBill
	// writerWake signals writeLoop that the backlog has grown, and
	// replicatorWake signals replicateLoop that there may be something to
	// replicate.
	writerWake        chan struct{}
	replicatorWake    chan struct{}
	lastWriteFailed   atomic.Bool   // whether the last attempt to write a batch failed
	pendingBills      atomic.Int64  // accepted bills that are not written yet
	pendingKeyedBills atomic.Int64  // unwritten bills for callers' keys, which may turn out to be replays
	lastDurable       atomic.Uint64 // number of the last written bill

	mu         sync.Mutex // guards backlog, the groups in it and peers
	backlog    []*billGroup
	peers      []bus.Peer // the peers at the last search for replicas to replace
	lastNumber uint64     // of the last numbered bill; used by groupLoop only
}

// newBiller returns the biller of h; the caller starts its loops.
func newBiller(h *LocalHolder) *biller {
	return &biller{
		holder: h, incoming: make(chan *pendingBill, h.options.Settings.MaxBatch),
		writerWake: make(chan struct{}, 1), replicatorWake: make(chan struct{}, 1),
	}
}

// platformUnreachable reports whether the last attempt to write a batch
// failed.
func (b *biller) platformUnreachable() bool { return b.lastWriteFailed.Load() }

// full reports whether the number of unwritten bills has reached its bound.
func (b *biller) full() bool {
	return b.pendingBills.Load() >= int64(b.holder.options.Settings.MaxUnwritten)
}

// mayFreeTokens reports whether an unwritten bill may turn out to be a
// replay, whose tokens become available again.
func (b *biller) mayFreeTokens() bool { return b.pendingKeyedBills.Load() > 0 }

// bill enqueues a bill and returns once it is durable or, while the platform
// is unreachable, stored by enough peers. If ctx ends first, it returns an
// error and the bill is still written later. It returns at once if no tokens
// were used.
func (b *biller) bill(ctx context.Context, a *account, req Request, used int64) error {
	if used == 0 {
		return nil
	}
	pending := &pendingBill{account: a, result: make(chan error, 1), bill: bill{
		Account: req.Account, Key: req.Key, Digest: req.Digest, Unique: req.Unique, Tokens: used,
	}}
	b.pendingBills.Add(1)
	if !req.Unique {
		b.pendingKeyedBills.Add(1)
	}
	select {
	case b.incoming <- pending:
	case <-b.holder.ctx.Done():
		return fmt.Errorf("bill %s: %w: the holder stopped", req.Account, ErrUnavailable)
	}
	select {
	case err := <-pending.result:
		if err != nil {
			return fmt.Errorf("bill %s: %w", req.Account, err)
		}
		b.holder.recordOp(event.TokensSettled, req, used, pending.opID)
		return nil
	case <-ctx.Done():
		return fmt.Errorf("bill %s: %w: %w", req.Account, ErrUnavailable, ctx.Err())
	case <-b.holder.ctx.Done():
		return fmt.Errorf("bill %s: %w: the holder stopped", req.Account, ErrUnavailable)
	}
}

// groupLoop groups incoming bills and appends the groups to the backlog until
// the holder stops.
func (b *biller) groupLoop() {
	for {
		select {
		case <-b.holder.ctx.Done():
			return
		case first := <-b.incoming:
			b.enqueue(b.nextGroup(first))
		}
	}
}

// nextGroup numbers the first bill and those that arrive within the linger
// time, up to MaxBatch, and returns them as one group.
func (b *biller) nextGroup(first *pendingBill) *billGroup {
	g := &billGroup{createdAt: b.holder.options.Clock.Now()}
	add := func(p *pendingBill) {
		b.lastNumber++
		p.bill.Number = b.lastNumber
		g.pending = append(g.pending, p)
	}
	add(first)
	timeout := b.holder.options.Clock.After(b.holder.options.Settings.Linger)
	for len(g.pending) < b.holder.options.Settings.MaxBatch {
		select {
		case p := <-b.incoming:
			add(p)
		case <-timeout:
			return g
		case <-b.holder.ctx.Done():
			return g
		}
	}
	return g
}

// enqueue appends a group to the backlog and wakes the loops that handle it.
func (b *biller) enqueue(g *billGroup) {
	b.mu.Lock()
	b.backlog = append(b.backlog, g)
	b.mu.Unlock()
	wake(b.writerWake)
	if b.platformUnreachable() {
		wake(b.replicatorWake)
	}
}

// wake sends a signal on ch, which has a buffer of one, unless one is
// pending.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// writeLoop writes the backlog in order until the holder stops. A batch that
// failed is retried unchanged before any later one.
func (b *biller) writeLoop() {
	var batch *batchWrite
	var groups []*billGroup
	for {
		if batch == nil {
			if groups = b.nextBatchGroups(); len(groups) == 0 {
				select {
				case <-b.writerWake:
					continue
				case <-b.holder.ctx.Done():
					return
				}
			}
			batch = b.newBatch(groups)
		}
		if b.writeOnce(batch, groups) {
			batch = nil
			continue
		}
		if clock.Sleep(b.holder.ctx, b.holder.options.Clock, platformRetryInterval/2) != nil {
			return
		}
	}
}

// nextBatchGroups returns the first groups of the backlog that together fit
// in one row; a group that is alone is returned whatever its size.
func (b *biller) nextBatchGroups() []*billGroup {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := 0
	for i, g := range b.backlog {
		size += len(g.pending)
		if i > 0 && size > b.holder.options.Settings.MaxBatch {
			return b.backlog[:i:i]
		}
	}
	return b.backlog[:len(b.backlog):len(b.backlog)]
}

// newBatch returns the write of the groups as one batch row, named after the
// number of their first bill.
func (b *biller) newBatch(groups []*billGroup) *batchWrite {
	self := b.holder.self.ID
	w := &batchWrite{
		table: b.holder.options.Table, maxReplays: b.holder.options.Settings.MaxReplays,
		holder: self.String(), incarnation: self.Incarnation,
	}
	for _, g := range groups {
		w.bills = append(w.bills, g.bills()...)
	}
	w.key = batchKey(self.Incarnation, w.bills[0].Number)
	return w
}

// writeOnce attempts to write a batch once and reports whether it is done
// with. A batch of a fenced incarnation is done once its bills are stored as
// late.
func (b *biller) writeOnce(batch *batchWrite, groups []*billGroup) bool {
	ctx, cancel := context.WithTimeout(b.holder.ctx, b.holder.options.Settings.CallTimeout)
	defer cancel()
	err := batch.write(ctx)
	if errors.Is(err, ErrFenced) {
		b.holder.fenced.Store(true)
		if lateErr := batch.writeLate(ctx); lateErr == nil {
			b.finishGroups(groups, batch.txn.OpID, ErrFenced)
			return true
		}
	}
	if err != nil {
		b.holder.stats.BillFailures.Add(1)
		if !b.lastWriteFailed.Swap(true) && b.holder.ctx.Err() == nil {
			b.holder.options.Log.Warn("bills could not be written to the platform, they are kept and the write is retried", "err", err)
		}
		wake(b.replicatorWake)
		return false
	}
	b.lastWriteFailed.Store(false)
	b.settleBatch(batch, groups)
	b.finishGroups(groups, batch.txn.OpID, nil)
	return true
}

// settleBatch moves the tokens of a durable batch to settled in their
// accounts and counts them.
func (b *biller) settleBatch(batch *batchWrite, groups []*billGroup) {
	type sums struct{ charged, uncharged int64 }
	totals := make(map[Account]*sums)
	for _, bill := range batch.decided {
		s := totals[bill.Account]
		if s == nil {
			s = &sums{}
			totals[bill.Account] = s
		}
		s.charged += bill.charge()
		s.uncharged += bill.Tokens - bill.charge()
	}
	last := batch.decided[len(batch.decided)-1].Number
	stats := &b.holder.stats
	for name, s := range totals {
		b.holder.account(name).markDurable(s.charged, s.uncharged, last)
		stats.BilledTokens.Add(s.charged)
		stats.ReplayedTokens.Add(s.uncharged)
		b.holder.record(event.BillWritten, Request{Account: name, ID: batch.key}, s.charged, "")
	}
	b.lastDurable.Store(last)
	stats.Batches.Add(1)
	stats.Bills.Add(int64(len(batch.decided)))
}

// finishGroups removes the groups from the backlog and ends their settlements
// with err. opID names the transaction that wrote them. Peers that store
// replicas are notified in the background.
func (b *biller) finishGroups(groups []*billGroup, opID string, err error) {
	b.mu.Lock()
	b.backlog = b.backlog[len(groups):]
	peers := make(map[bus.ID]bool)
	var last uint64
	for _, g := range groups {
		g.setOpID(opID)
		g.notify(err)
		g.written = true
		for _, p := range g.pending {
			b.pendingBills.Add(-1)
			if !p.bill.Unique {
				b.pendingKeyedBills.Add(-1)
			}
			last = p.bill.Number
		}
		for _, id := range g.replicas {
			peers[id] = true
		}
	}
	b.mu.Unlock()
	if len(peers) > 0 {
		b.holder.running.Go(func() { b.holder.announceWritten(peers, last) })
	}
}

// flush waits until all bills are written, or the holder is fenced, or ctx
// ends.
func (b *biller) flush(ctx context.Context) error {
	for b.pendingBills.Load() > 0 && !b.holder.fenced.Load() {
		if err := clock.Sleep(ctx, b.holder.options.Clock, flushInterval); err != nil {
			return fmt.Errorf("wait for %d bills to be written: %w", b.pendingBills.Load(), err)
		}
	}
	return nil
}

// flushInterval is the interval at which flush checks whether all bills are
// written.
const flushInterval = 5 * time.Millisecond
