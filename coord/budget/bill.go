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
type billing struct {
	account *account
	bill    bill
	done    chan error // receives once, buffered
	told    bool
	op      string // transaction that wrote the bill; set before done receives
}

// tell ends the settlement that waits.
func (i *billing) tell(err error) {
	if !i.told {
		i.told = true
		i.done <- err
	}
}

// unit is a group of bills that stay together: they are copied to peers as
// one, and a row holds whole units.
type unit struct {
	items  []*billing
	since  time.Time
	told   bool
	copied []bus.ID
	// written is set once the unit left the backlog.
	written bool
}

func (u *unit) bills() []bill {
	bills := make([]bill, len(u.items))
	for i, item := range u.items {
		bills[i] = item.bill
	}
	return bills
}

// tell ends all settlements that wait for the unit.
func (u *unit) tell(err error) {
	u.told = true
	for _, item := range u.items {
		item.tell(err)
	}
}

// noteOp notes the transaction that wrote the bills for the settlements that
// still wait.
func (u *unit) noteOp(op string) {
	for _, item := range u.items {
		if !item.told {
			item.op = op
		}
	}
}

// tellCopied ends the settlements for which the copies suffice.
func (u *unit) tellCopied() {
	u.told = true
	for _, item := range u.items {
		lean := item.account.holder.lean(item.bill.Account.Workspace)
		if len(u.copied) < lean.MinReplicas {
			u.told = false
			continue
		}
		item.tell(nil)
	}
}

// biller numbers the bills of a holder, groups them and writes them in order.
// One goroutine groups, one writes; a third copies to peers while the
// platform is away.
type biller struct {
	holder *LocalHolder
	in     chan *billing
	// wake tells the writer that the backlog has grown, and copyWake the
	// copier that there may be something to copy.
	wake     chan struct{}
	copyWake chan struct{}
	missing  atomic.Bool // the platform did not take the last batch
	waiting  atomic.Int64
	replays  atomic.Int64  // bills under way that may turn out to be replays
	durable  atomic.Uint64 // the last bill that is written

	mu      sync.Mutex // guards backlog, the units in it and peers
	backlog []*unit
	peers   []bus.Peer // at the last look for copies to replace
	number  uint64     // belongs to collect
}

func newBiller(h *LocalHolder) *biller {
	return &biller{
		holder: h, in: make(chan *billing, h.options.Settings.MaxBatch),
		wake: make(chan struct{}, 1), copyWake: make(chan struct{}, 1),
	}
}

// away reports whether the platform did not take the last batch.
func (b *biller) away() bool { return b.missing.Load() }

// full reports whether too many bills wait.
func (b *biller) full() bool {
	return b.waiting.Load() >= int64(b.holder.options.Settings.MaxUnwritten)
}

// replaysPending reports whether bills under way may free tokens.
func (b *biller) replaysPending() bool { return b.replays.Load() > 0 }

// bill takes a bill and returns once it is durable, or kept by peers while
// the platform is away. If ctx ends first, the bill stays on its way.
func (b *biller) bill(ctx context.Context, a *account, req Request, used int64) error {
	if used == 0 {
		return nil
	}
	item := &billing{account: a, done: make(chan error, 1), bill: bill{
		Account: req.Account, Key: req.Key, Digest: req.Digest, Unique: req.Unique, Tokens: used,
	}}
	b.waiting.Add(1)
	if !req.Unique {
		b.replays.Add(1)
	}
	select {
	case b.in <- item:
	case <-b.holder.ctx.Done():
		return fmt.Errorf("bill %s: %w: the holder stopped", req.Account, ErrUnavailable)
	}
	select {
	case err := <-item.done:
		if err != nil {
			return fmt.Errorf("bill %s: %w", req.Account, err)
		}
		b.holder.recordOp(event.TokensSettled, req, used, item.op)
		return nil
	case <-ctx.Done():
		return fmt.Errorf("bill %s: %w: %w", req.Account, ErrUnavailable, ctx.Err())
	case <-b.holder.ctx.Done():
		return fmt.Errorf("bill %s: %w: the holder stopped", req.Account, ErrUnavailable)
	}
}

// collect groups the bills that come within the linger.
func (b *biller) collect() {
	for {
		select {
		case <-b.holder.ctx.Done():
			return
		case first := <-b.in:
			b.append(b.group(first))
		}
	}
}

// group numbers the first bill and those that follow within the linger.
func (b *biller) group(first *billing) *unit {
	u := &unit{since: b.holder.options.Clock.Now()}
	add := func(item *billing) {
		b.number++
		item.bill.Number = b.number
		u.items = append(u.items, item)
	}
	add(first)
	timeout := b.holder.options.Clock.After(b.holder.options.Settings.Linger)
	for len(u.items) < b.holder.options.Settings.MaxBatch {
		select {
		case item := <-b.in:
			add(item)
		case <-timeout:
			return u
		case <-b.holder.ctx.Done():
			return u
		}
	}
	return u
}

func (b *biller) append(u *unit) {
	b.mu.Lock()
	b.backlog = append(b.backlog, u)
	b.mu.Unlock()
	poke(b.wake)
	if b.away() {
		poke(b.copyWake)
	}
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// write writes the backlog in order until the holder stops.
func (b *biller) write() {
	var batch *batchWrite
	var units []*unit
	for {
		if batch == nil {
			if units = b.head(); len(units) == 0 {
				select {
				case <-b.wake:
					continue
				case <-b.holder.ctx.Done():
					return
				}
			}
			batch = b.newBatch(units)
		}
		if b.writeOnce(batch, units) {
			batch = nil
			continue
		}
		if clock.Sleep(b.holder.ctx, b.holder.options.Clock, platformPause/2) != nil {
			return
		}
	}
}

// head returns the first units of the backlog that fit in one row.
func (b *biller) head() []*unit {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := 0
	for i, u := range b.backlog {
		size += len(u.items)
		if i > 0 && size > b.holder.options.Settings.MaxBatch {
			return b.backlog[:i:i]
		}
	}
	return b.backlog[:len(b.backlog):len(b.backlog)]
}

func (b *biller) newBatch(units []*unit) *batchWrite {
	self := b.holder.self.ID
	w := &batchWrite{
		table: b.holder.options.Table, maxReplays: b.holder.options.Settings.MaxReplays,
		holder: self.String(), incarnation: self.Incarnation,
	}
	for _, u := range units {
		w.bills = append(w.bills, u.bills()...)
	}
	w.key = batchKey(self.Incarnation, w.bills[0].Number)
	return w
}

// writeOnce tries to write a batch and tells whether it is done with.
func (b *biller) writeOnce(batch *batchWrite, units []*unit) bool {
	ctx, cancel := context.WithTimeout(b.holder.ctx, b.holder.options.Settings.CallTimeout)
	defer cancel()
	err := batch.try(ctx)
	if errors.Is(err, ErrFenced) {
		b.holder.fenced.Store(true)
		if late := batch.writeLate(ctx); late == nil {
			b.finish(units, batch.txn.OpID, ErrFenced)
			return true
		}
	}
	if err != nil {
		b.holder.stats.BillFailures.Add(1)
		if !b.missing.Swap(true) && b.holder.ctx.Err() == nil {
			b.holder.options.Log.Warn("Bills wait for the platform.", "err", err)
		}
		poke(b.copyWake)
		return false
	}
	b.missing.Store(false)
	b.settle(batch, units)
	b.finish(units, batch.txn.OpID, nil)
	return true
}

// settle moves the tokens of a durable batch in their accounts.
func (b *biller) settle(batch *batchWrite, units []*unit) {
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
		b.holder.account(name).durable(s.charged, s.void, last)
		stats.BilledTokens.Add(s.charged)
		stats.ReplayedTokens.Add(s.void)
		b.holder.record(event.BillWritten, Request{Account: name, ID: batch.key}, s.charged, "")
	}
	b.durable.Store(last)
	stats.Batches.Add(1)
	stats.Bills.Add(int64(len(batch.decided)))
}

// finish takes units out of the backlog and tells their settlements. The
// operation id names the transaction that wrote them.
func (b *biller) finish(units []*unit, op string, err error) {
	b.mu.Lock()
	b.backlog = b.backlog[len(units):]
	holders := make(map[bus.ID]bool)
	var last uint64
	for _, u := range units {
		u.noteOp(op)
		u.tell(err)
		u.written = true
		for _, item := range u.items {
			b.waiting.Add(-1)
			if !item.bill.Unique {
				b.replays.Add(-1)
			}
			last = item.bill.Number
		}
		for _, id := range u.copied {
			holders[id] = true
		}
	}
	b.mu.Unlock()
	if len(holders) > 0 {
		b.holder.running.Go(func() { b.holder.forgetCopies(holders, last) })
	}
}

// flush waits until all bills are written.
func (b *biller) flush(ctx context.Context) error {
	for b.waiting.Load() > 0 && !b.holder.fenced.Load() {
		if err := clock.Sleep(ctx, b.holder.options.Clock, flushInterval); err != nil {
			return fmt.Errorf("write %d bills: %w", b.waiting.Load(), err)
		}
	}
	return nil
}

// flushInterval is the interval of looking whether all bills are written.
const flushInterval = 5 * time.Millisecond
