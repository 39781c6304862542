package prepaid

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
)

// borrow reserves tokens at a lender. If the outcome is unknown, the reservation is
// released.
func (p *Pool) borrow(ctx context.Context, lender bus.ID, workspace string, tokens int64, noWait bool) (*Reservation, error) {
	id := p.nextID.Add(1)
	startedAt := p.options.Clock.Now()
	response, err := bus.Call[reserveRequest, reserveResponse](ctx, p.options.Bus, lender, kindReserve,
		reserveRequest{ID: id, Workspace: workspace, Tokens: tokens, NoWait: noWait})
	if err != nil {
		if f := failure.As(err); f == nil || f.Ran != failure.RanNo {
			p.settler.add(lender, settledLoan{ID: id})
		}
		if ctx.Err() == nil || p.options.Clock.Now().Sub(startedAt) >= suspectAfter {
			p.options.Fleet.Suspect(lender)
			p.lost.suspect(lender)
		}
		return nil, fmt.Errorf("%w: lender %s: %w", errNoResponse, lender, err)
	}
	if response.Outcome != outcomeReserved {
		reason, known := outcomeErrors[response.Outcome]
		if !known {
			reason = ErrUnavailable
		}
		if response.RetryAfterMS > 0 {
			reason = &RetryError{Err: reason, After: time.Duration(response.RetryAfterMS) * time.Millisecond}
		}
		return nil, fmt.Errorf("lender %s: %w", lender, reason)
	}
	settle := func(used int64) { p.settler.add(lender, settledLoan{ID: id, Used: used}) }
	return &Reservation{settle: settle, tokens: tokens, lender: lender}, nil
}

// suspectAfter is the time without a response after which a lender is suspected even
// if the borrower gave up the wait.
const suspectAfter = 450 * time.Millisecond

// settler delivers settlements to lenders, those of one moment in one message. It
// repeats a message until the lender confirms it.
type settler struct {
	pool *Pool

	mu      sync.Mutex // guards pending
	pending map[bus.ID][]settledLoan
}

const (
	// settleDelay is how long settlements are collected before they are sent.
	settleDelay = 20 * time.Millisecond
	// settleTimeout bounds the wait for the confirmation of a message.
	settleTimeout = time.Second
	// settleRetryInterval is the wait after a message that was not confirmed.
	settleRetryInterval = 500 * time.Millisecond
	// maxSettleAttempts bounds the attempts for one message. A lender that confirms
	// none of them is gone, and has counted the loans as spent.
	maxSettleAttempts = 60
	// maxSettledLoans bounds the settlements in one message.
	maxSettledLoans = 1000
)

func (s *settler) init(p *Pool) {
	s.pool = p
	s.pending = make(map[bus.ID][]settledLoan)
}

// add queues a settlement.
func (s *settler) add(lender bus.ID, loan settledLoan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.pending[lender] == nil
	s.pending[lender] = append(s.pending[lender], loan)
	if first {
		s.pool.holder.tasks.Go(func() { s.deliver(lender) })
	}
}

// deliver sends the settlements of one lender until none is left.
func (s *settler) deliver(lender bus.ID) {
	ctx, c := s.pool.holder.ctx, s.pool.options.Clock
	if clock.Sleep(ctx, c, settleDelay) != nil {
		return
	}
	for attempt := 1; ; attempt++ {
		s.mu.Lock()
		batch := s.pending[lender]
		if len(batch) == 0 {
			delete(s.pending, lender)
			s.mu.Unlock()
			return
		}
		batch = batch[:min(len(batch), maxSettledLoans)]
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		_, err := bus.Call[settleRequest, settleResponse](callCtx, s.pool.options.Bus, lender, kindSettle, settleRequest{Loans: batch})
		cancel()
		if err != nil && attempt < maxSettleAttempts {
			if clock.Sleep(ctx, c, settleRetryInterval) != nil {
				return
			}
			continue
		}
		if err != nil {
			s.pool.stats.Abandoned.Add(int64(len(batch)))
			s.pool.options.Log.Warn("settlements not delivered, the lender counts the tokens as spent", "lender", lender.String(), "loans", len(batch), "err", err.Error())
		}
		attempt = 0
		s.mu.Lock()
		s.pending[lender] = s.pending[lender][len(batch):]
		s.mu.Unlock()
	}
}

// settlerPollInterval is the interval at which flush checks for pending settlements.
const settlerPollInterval = 5 * time.Millisecond

// flush waits until all settlements are delivered or ctx ends.
func (s *settler) flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		pending := len(s.pending)
		s.mu.Unlock()
		if pending == 0 {
			return nil
		}
		if clock.Sleep(ctx, s.pool.options.Clock, settlerPollInterval) != nil {
			return fmt.Errorf("settle with %d lenders: %w", pending, ctx.Err())
		}
	}
}

// Close refuses further reservations, settles what was borrowed, and returns the
// grants of this router. Loans that are not settled count as spent.
func (p *Pool) Close(ctx context.Context) error {
	p.holder.closing.Store(true)
	err := p.settler.flush(ctx)
	p.loans.settleAll()
	return errors.Join(err, p.holder.Close(ctx))
}

// OutstandingLoans returns the number of reservations of other routers that are not
// settled. Their settlements return tokens.
func (p *Pool) OutstandingLoans() int { return p.loans.outstanding() }
