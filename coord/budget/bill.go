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

// billing is a bill on its way, with the settlement that waits for it.
type pendingBill struct {
	account  *account
	bill     bill
	result   chan error // receives once, buffered
	notified bool
	opID     string // transaction that wrote the bill; set before done receives
}

// tell ends the settlement that waits.
func (p *pendingBill) notify(err error) {
	if !p.notified {
		p.notified = true
		p.result <- err
	}
}

// unit is a group of bills that stay together: they are copied to peers as
// one, and a row holds whole units.
type billGroup struct {
	pending   []*pendingBill
	createdAt time.Time
	notified  bool
	replicas  []bus.ID
	// written is set once the unit left the backlog.
	written bool
}

func (g *billGroup) bills() []bill {
	bills := make([]bill, len(g.pending))
	for i, p := range g.pending {
		bills[i] = p.bill
	}
	return bills
}

// tell ends all settlements that wait for the unit.
func (g *billGroup) notify(err error) {
	g.notified = true
	for _, p := range g.pending {
		p.notify(err)
	}
}

// noteOp notes the transaction that wrote the bills for the settlements that
// still wait.
func (g *billGroup) setOpID(opID string) {
	for _, p := range g.pending {
		if !p.notified {
			p.opID = opID
		}
	}
}

// tellCopied ends the settlements for which the copies suffice.
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
// One goroutine groups, one writes; a third copies to peers while the
// platform is away.
type biller struct {
	holder   *LocalHolder
	incoming chan *pendingBill
	// wake tells the writer that the backlog has grown, and copyWake the
	// copier that there may be something to copy.
	writerWake        chan struct{}
	replicatorWake    chan struct{}
	lastWriteFailed   atomic.Bool // the platform did not take the last batch
	pendingBills      atomic.Int64
	pendingKeyedBills atomic.Int64  // bills under way that may turn out to be replays
	lastDurable       atomic.Uint64 // the last bill that is written

	mu         sync.Mutex // guards backlog, the units in it and peers
	backlog    []*billGroup
	peers      []bus.Peer // at the last look for copies to replace
	lastNumber uint64     // belongs to collect
}

func newBiller(h *LocalHolder) *biller {
	return &biller{
		holder: h, incoming: make(chan *pendingBill, h.options.Settings.MaxBatch),
		writerWake: make(chan struct{}, 1), replicatorWake: make(chan struct{}, 1),
	}
}

// away reports whether the platform did not take the last batch.
func (b *biller) platformUnreachable() bool { return b.lastWriteFailed.Load() }

// full reports whether too many bills wait.
func (b *biller) full() bool {
	return b.pendingBills.Load() >= int64(b.holder.options.Settings.MaxUnwritten)
}

// replaysPending reports whether bills under way may free tokens.
func (b *biller) mayFreeTokens() bool { return b.pendingKeyedBills.Load() > 0 }

// bill takes a bill and returns once it is durable, or kept by peers while
// the platform is away. If ctx ends first, the bill stays on its way.
func (b *biller) bill(ctx context.Context, a *account, req Request, used int64) error {
	if used == 0 {
		return nil
	}
	item := &pendingBill{account: a, result: make(chan error, 1), bill: bill{
		Account: req.Account, Key: req.Key, Digest: req.Digest, Unique: req.Unique, Tokens: used,
	}}
	b.pendingBills.Add(1)
	if !req.Unique {
		b.pendingKeyedBills.Add(1)
	}
	select {
	case b.incoming <- item:
	case <-b.holder.ctx.Done():
		return fmt.Errorf("bill %s: %w: the holder stopped", req.Account, ErrUnavailable)
	}
	select {
	case err := <-item.result:
		if err != nil {
			return fmt.Errorf("bill %s: %w", req.Account, err)
		}
		b.holder.recordOp(event.TokensSettled, req, used, item.opID)
		return nil
	case <-ctx.Done():
		return fmt.Errorf("bill %s: %w: %w", req.Account, ErrUnavailable, ctx.Err())
	case <-b.holder.ctx.Done():
		return fmt.Errorf("bill %s: %w: the holder stopped", req.Account, ErrUnavailable)
	}
}

// collect groups the bills that come within the linger.
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

// group numbers the first bill and those that follow within the linger.
func (b *biller) nextGroup(first *pendingBill) *billGroup {
	g := &billGroup{createdAt: b.holder.options.Clock.Now()}
	add := func(item *pendingBill) {
		b.lastNumber++
		item.bill.Number = b.lastNumber
		g.pending = append(g.pending, item)
	}
	add(first)
	timeout := b.holder.options.Clock.After(b.holder.options.Settings.Linger)
	for len(g.pending) < b.holder.options.Settings.MaxBatch {
		select {
		case item := <-b.incoming:
			add(item)
		case <-timeout:
			return g
		case <-b.holder.ctx.Done():
			return g
		}
	}
	return g
}

func (b *biller) enqueue(g *billGroup) {
	b.mu.Lock()
	b.backlog = append(b.backlog, g)
	b.mu.Unlock()
	wake(b.writerWake)
	if b.platformUnreachable() {
		wake(b.replicatorWake)
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// write writes the backlog in order until the holder stops.
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

// head returns the first units of the backlog that fit in one row.
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

// writeOnce tries to write a batch and tells whether it is done with.
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
			b.holder.options.Log.Warn("Bills wait for the platform.", "err", err)
		}
		wake(b.replicatorWake)
		return false
	}
	b.lastWriteFailed.Store(false)
	b.settleBatch(batch, groups)
	b.finishGroups(groups, batch.txn.OpID, nil)
	return true
}

// settle moves the tokens of a durable batch in their accounts.
func (b *biller) settleBatch(batch *batchWrite, groups []*billGroup) {
	type sums struct{ charged, void int64 }
	totals := make(map[Account]*sums)
	for _, bill := range batch.decided {
		s := totals[bill.Account]
		if s == nil {
			s = &sums{}
			totals[bill.Account] = s
		}
		s.charged += bill.charge()
		s.void += bill.Tokens - bill.charge()
	}
	last := batch.decided[len(batch.decided)-1].Number
	stats := &b.holder.stats
	for name, s := range totals {
		b.holder.account(name).markDurable(s.charged, s.void, last)
		stats.BilledTokens.Add(s.charged)
		stats.ReplayedTokens.Add(s.void)
		b.holder.record(event.BillWritten, Request{Account: name, ID: batch.key}, s.charged, "")
	}
	b.lastDurable.Store(last)
	stats.Batches.Add(1)
	stats.Bills.Add(int64(len(batch.decided)))
}

// finish takes units out of the backlog and tells their settlements. The
// operation id names the transaction that wrote them.
func (b *biller) finishGroups(groups []*billGroup, opID string, err error) {
	b.mu.Lock()
	b.backlog = b.backlog[len(groups):]
	peers := make(map[bus.ID]bool)
	var last uint64
	for _, g := range groups {
		g.setOpID(opID)
		g.notify(err)
		g.written = true
		for _, item := range g.pending {
			b.pendingBills.Add(-1)
			if !item.bill.Unique {
				b.pendingKeyedBills.Add(-1)
			}
			last = item.bill.Number
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

// flush waits until all bills are written.
func (b *biller) flush(ctx context.Context) error {
	for b.pendingBills.Load() > 0 && !b.holder.fenced.Load() {
		if err := clock.Sleep(ctx, b.holder.options.Clock, flushInterval); err != nil {
			return fmt.Errorf("write %d bills: %w", b.pendingBills.Load(), err)
		}
	}
	return nil
}

// flushInterval is the interval of looking whether all bills are written.
const flushInterval = 5 * time.Millisecond
