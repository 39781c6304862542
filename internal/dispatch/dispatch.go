// Package dispatch sends generations to engines and forwards their responses. It
// checks that each chunk belongs to the attempt that requested it and that a
// response is complete; a broken response is resumed at another endpoint.
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
	"daisyslip.dev/daisyslip/internal/balancer"
	"daisyslip.dev/daisyslip/internal/httplimit"
	"daisyslip.dev/daisyslip/internal/requests"
)

// maxEventBytes bounds, in bytes, one event of an engine's stream, and the body of
// its error response.
const maxEventBytes = 1 << 20

// Dependencies are the components that a Dispatcher uses.
type Dependencies struct {
	Balancer *balancer.Balancer
	Queues   *admission.Queues
	Events   event.Recorder
	Metrics  *metrics.Set
}

// Dispatcher executes generations on endpoints. It is safe for concurrent use.
type Dispatcher struct {
	settings     Settings
	deps         Dependencies
	metrics      *dispatchMetrics
	lengthShares lengthShareAverage
	// client opens a new connection for each attempt. A refusal does not name its
	// request, and on a reused connection the engine may write an earlier one once
	// more. An idle connection may also have died unnoticed.
	client *http.Client
}

var _ requests.Generator = (*Dispatcher)(nil)

// New returns a dispatcher.
func New(s Settings, d Dependencies) *Dispatcher {
	return &Dispatcher{
		settings: s,
		deps:     d,
		metrics:  newDispatchMetrics(d.Metrics),
		client:   newClient(s),
	}
}

// newClient returns a client for engines that opens a new connection for each request.
func newClient(s Settings) *http.Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
		DisableKeepAlives:      true,
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// refuseRedirect returns a redirect response as it is, because following it would
// send the request a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate implements requests.Generator. It waits for admission to the pool and then
// makes attempts until the response is complete or no attempt can help. The
// outcome's usage counts the prompt once and each token that the sink accepted
// once, regardless of the number of attempts.
func (d *Dispatcher) Generate(ctx context.Context, g *requests.Generation, sink requests.Sink) (requests.Outcome, error) {
	r := &generationRun{dispatcher: d, response: response{generation: g, sink: sink}, tried: make(map[string]bool)}
	if pool, found := d.deps.Balancer.PoolOfModel(g.Workspace, g.Model); found {
		ticket, err := d.admit(ctx, pool, g)
		if err != nil {
			return requests.Outcome{}, err
		}
		defer func() { ticket.Done(r.endpoint) }()
	}
	err := r.generate(ctx)
	if err == nil {
		d.lengthShares.add(float64(r.response.tokens) / float64(max(g.MaxTokens, 1)))
	}
	return r.outcome(), err
}

// admit waits until the pool admits the generation. The ticket must be marked as
// done when the generation ends.
func (d *Dispatcher) admit(ctx context.Context, pool string, g *requests.Generation) (*admission.Ticket, error) {
	return d.deps.Queues.Admit(ctx, admission.Request{
		Pool:             pool,
		Priority:         g.Priority,
		Deadline:         g.Deadline,
		ExpectedDuration: d.expectedDuration(pool, g),
		Affinity:         func(endpoint string) int { return d.deps.Balancer.CachedBlocks(endpoint, g.PrefixBlocks) },
	})
}

// expectedDuration returns the estimated duration of a generation; 0 means unknown.
// It is estimated from the pool's median latencies and the average share of
// MaxTokens that responses use.
func (d *Dispatcher) expectedDuration(pool string, g *requests.Generation) time.Duration {
	latencies := d.deps.Balancer.PoolLatencies(pool)
	return latencies.FirstToken + time.Duration(float64(latencies.Gap)*float64(g.MaxTokens)*d.lengthShares.mean())
}

// lengthShareWeight is the weight of a new sample in a lengthShareAverage.
const lengthShareWeight = 0.02

// lengthShareAverage is an exponential moving average of the length of complete
// responses, as a share (0 to 1) of the MaxTokens of their requests. It is safe
// for concurrent use.
type lengthShareAverage struct {
	mu        sync.Mutex // guards all fields below
	share     float64
	hasSample bool
}

// add adds a sample; the first one becomes the average.
func (s *lengthShareAverage) add(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasSample {
		s.share, s.hasSample = share, true
		return
	}
	s.share += lengthShareWeight * (share - s.share)
}

// mean returns the average, or 0 before the first sample.
func (s *lengthShareAverage) mean() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share
}
