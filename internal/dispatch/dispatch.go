// Package dispatch sends generations to engines and reads their answers. It
// checks that each piece belongs to the attempt that asked and that an answer
// is whole; an answer that breaks is resumed at another endpoint.
package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/admission"
	"daisyslip.dev/daisyslip/internal/route"
	"daisyslip.dev/daisyslip/internal/work"
)

// maxEventBytes bounds one event of an engine's stream.
const maxEventBytes = 1 << 20

// Duties are what the dispatch duty uses.
type Dependencies struct {
	Router  *route.Router
	Queues  *admission.Queues
	Events  event.Recorder
	Metrics *metrics.Set
}

// Dispatcher runs generations on endpoints. It is safe for concurrent use.
type Dispatcher struct {
	settings Settings
	duties   Dependencies
	metrics  *dispatchMetrics
	lengths  lengthShare
	// pooled keeps idle connections. fresh makes one for each attempt: a
	// connection that was idle may be silent for good, and so may the others
	// that were idle beside it, so a second attempt trusts none of them.
	pooled *http.Client
	fresh  *http.Client
}

var _ work.Generator = (*Dispatcher)(nil)

// New returns a dispatcher.
func New(s Settings, d Dependencies) *Dispatcher {
	return &Dispatcher{
		settings: s,
		duties:   d,
		metrics:  newDispatchMetrics(d.Metrics),
		pooled:   newClient(s, false),
		fresh:    newClient(s, true),
	}
}

func newClient(s Settings, fresh bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: s.IdleConns,
		IdleConnTimeout:     s.IdleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// refuseRedirect keeps a redirect from sending a request a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops the idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// Generate implements work.Generator. The usage of an outcome counts the
// prompt once and each token that the sink took once, however many attempts
// it took.
func (d *Dispatcher) Generate(ctx context.Context, g *work.Generation, sink work.Sink) (work.Outcome, error) {
	r := &run{dispatcher: d, answer: answer{generation: g, sink: sink}, tried: make(map[string]bool)}
	if pool, found := d.duties.Router.PoolOfModel(g.Workspace, g.Model); found {
		ticket, err := d.admit(ctx, pool, g)
		if err != nil {
			return work.Outcome{}, err
		}
		defer func() { ticket.Done(r.endpoint) }()
	}
	err := r.generate(ctx)
	if err == nil {
		d.lengths.add(float64(r.answer.tokens) / float64(max(g.MaxTokens, 1)))
	}
	return r.outcome(), err
}

// admit waits for a place in the pool.
func (d *Dispatcher) admit(ctx context.Context, pool string, g *work.Generation) (*admission.Ticket, error) {
	return d.duties.Queues.Admit(ctx, admission.Request{
		Pool:             pool,
		Priority:         g.Priority,
		Deadline:         g.Deadline,
		ExpectedDuration: d.expected(pool, g),
		Affinity:         func(endpoint string) int { return d.duties.Router.CachedBlocks(endpoint, g.PrefixBlocks) },
	})
}

// expected is the time that a generation is expected to run; 0 is unknown.
func (d *Dispatcher) expected(pool string, g *work.Generation) time.Duration {
	times := d.duties.Router.PoolLatencies(pool)
	return times.FirstToken + time.Duration(float64(times.Gap)*float64(g.MaxTokens)*d.lengths.mean())
}

// lengthWeight is the weight of a new sample in a lengthShare.
const lengthWeight = 0.02

// lengthShare averages which share of the longest answer allowed the answers
// have.
type lengthShare struct {
	mu    sync.Mutex // guards all below
	share float64
	known bool
}

func (s *lengthShare) add(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.share, s.known = share, true
		return
	}
	s.share += lengthWeight * (share - s.share)
}

// mean returns the average, or 0 before the first sample.
func (s *lengthShare) mean() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share
}
