package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/lease"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// stepOrder is the step that failures of an order name.
const stepOrder = "order endpoint"

// maxResponseBytes bounds an endpoint's response to an order.
const maxResponseBytes = 64 << 10

// releaseTimeout bounds the release of a lease. A lease that could not be released
// expires.
const releaseTimeout = time.Second

// Configuration provides the applied revision of the configuration.
type Configuration interface {
	Catalog() *catalog.Index
}

// Dependencies are the components that a Sender uses.
type Dependencies struct {
	Config  Configuration
	Leases  lease.Lessor
	Limiter *WeightLimiter
	Events  event.Recorder
	Metrics *metrics.Set
}

// Order is an instruction of an operator or a component to an endpoint.
type Order struct {
	// ID makes the order idempotent: an endpoint executes each ID once. If it is
	// empty, Send generates one.
	ID   string           `json:"id,omitempty"`
	Kind engine.OrderKind `json:"kind"`
	// Target is the model, adapter or version to load, or the role to set.
	Target string `json:"target,omitempty"`
}

// Sender sends orders to endpoints. It is safe for concurrent use.
type Sender struct {
	settings            Settings
	deps                Dependencies
	http                *http.Client
	sentTotal           *metrics.Counter
	refusedTotal        *metrics.Counter
	outcomeUnknownTotal *metrics.Counter
}

// NewSender returns a sender and registers its metrics.
func NewSender(s Settings, d Dependencies) *Sender {
	return &Sender{
		settings: s, deps: d, http: newClient(),
		sentTotal:           d.Metrics.NewCounter("daisyslip_orders_sent_total"),
		refusedTotal:        d.Metrics.NewCounter("daisyslip_orders_refused_total"),
		outcomeUnknownTotal: d.Metrics.NewCounter("daisyslip_orders_unknown_total"),
	}
}

// newClient returns a client that opens a new connection for each order: the result of
// an order does not name it, and on a reused connection the endpoint may write the
// result of an earlier order once more. A proxy could reuse connections as well, so
// none is used.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: refuseRedirect}
}

// refuseRedirect returns a redirect response as it is, because another endpoint could
// carry out the order, which has its own lease.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends one order to an endpoint. It waits for the lease on the endpoint and,
// for loads, for the rate limit of the weight store. After a failure whose Ran is
// unknown, the endpoint may have executed the order; it is safe to retry it with the
// same ID.
func (s *Sender) Send(ctx context.Context, endpoint string, o Order) (engine.OrderResult, error) {
	member := s.deps.Config.Catalog().Endpoint(endpoint)
	if member == nil {
		return engine.OrderResult{}, failure.New(failure.NotFound, stepOrder, endpoint, "no pool has this endpoint")
	}
	if err := s.admit(ctx, endpoint, &o); err != nil {
		return engine.OrderResult{}, err
	}
	endpointLease, err := s.deps.Leases.Acquire(ctx, "endpoint/"+endpoint)
	if err != nil {
		return engine.OrderResult{}, failure.Wrap(failure.StoreUnavailable, stepOrder, "platform", err)
	}
	result, err := s.sendUnderLease(ctx, endpointLease, member, o)
	// If the endpoint does not check fencing numbers, an order with an unknown
	// outcome may still reach it. The lease is then not released, so that the next
	// holder has to wait until it expires.
	if failure.CodeOf(err) != failure.OutcomeUnknown || err == nil || member.ChecksFencing {
		s.release(ctx, endpointLease)
	}
	s.recordOutcome(endpoint, o, endpointLease.Fencing(), err)
	return result, err
}

// admit validates the order, generates its ID if it has none and, for loads, waits
// for the rate limit of the weight store.
func (s *Sender) admit(ctx context.Context, endpoint string, o *Order) error {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	switch o.Kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderLoadVersion:
		if o.Target == "" {
			return failure.New(failure.BadRequest, stepOrder, endpoint, "name what to load")
		}
		if err := s.deps.Limiter.Wait(ctx); err != nil {
			return failure.Wrap(failure.Overloaded, "wait for the weight store", "platform", err)
		}
	case engine.OrderSetRole:
		if o.Target == "" {
			return failure.New(failure.BadRequest, stepOrder, endpoint, "name the role")
		}
	case engine.OrderDrain:
	default:
		return failure.New(failure.BadRequest, stepOrder, endpoint, fmt.Sprintf("%q is no kind of order", o.Kind))
	}
	return nil
}

// sendUnderLease sends the order with a deadline before the end of the lease. If the
// endpoint does not check fencing numbers, the lease is first renewed in the table,
// which confirms that this router still holds it.
func (s *Sender) sendUnderLease(ctx context.Context, endpointLease *lease.Lease, member *catalog.Member, o Order) (engine.OrderResult, error) {
	if !member.ChecksFencing {
		if err := endpointLease.Renew(ctx); err != nil {
			return engine.OrderResult{}, failure.Wrap(failure.StoreUnavailable, stepOrder, "platform", err)
		}
	}
	remaining := endpointLease.Remaining()
	if remaining <= 0 {
		return engine.OrderResult{}, failure.New(failure.Conflict, stepOrder, member.Name, "the lease on the endpoint has lapsed")
	}
	ctx, cancel := context.WithTimeout(ctx, min(s.settings.CallTimeout, remaining))
	defer cancel()
	return s.post(ctx, member, engine.Order{ID: o.ID, Kind: o.Kind, Target: o.Target, Fencing: endpointLease.Fencing(), Holder: endpointLease.Holder()})
}

// post sends the order and classifies its outcome. The outcome is unknown if the
// endpoint may have executed the order, but its response was lost, not readable, a
// redirect or a server error.
func (s *Sender) post(ctx context.Context, member *catalog.Member, o engine.Order) (engine.OrderResult, error) {
	var result engine.OrderResult
	body, err := json.Marshal(o)
	if err != nil {
		return result, fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, member.URL+engine.PathOrders, bytes.NewReader(body))
	if err != nil {
		return result, fmt.Errorf("make order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return result, transportFailure(member.Name, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&result); err != nil {
		return result, failure.Wrap(failure.OutcomeUnknown, stepOrder, member.Name, err).WithRan(failure.RanUnknown)
	}
	switch {
	case resp.StatusCode == http.StatusOK && result.Accepted:
		return result, nil
	case isRefusal(resp.StatusCode):
		return result, failure.New(failure.Conflict, stepOrder, member.Name, "the endpoint refused the order: "+result.Message)
	}
	return result, failure.New(failure.OutcomeUnknown, stepOrder, member.Name, resp.Status).WithRan(failure.RanUnknown)
}

// isRefusal reports whether an endpoint that responds with the status, but does not
// accept the order, has refused it.
func isRefusal(status int) bool {
	return status < http.StatusMultipleChoices || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// transportFailure returns the failure of an order that got no response. Only if
// dialing failed is it certain that the order did not reach the endpoint.
func transportFailure(endpoint string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Wrap(failure.EndpointFailed, stepOrder, endpoint, err)
	}
	return failure.Wrap(failure.OutcomeUnknown, stepOrder, endpoint, err).WithRan(failure.RanUnknown)
}

// release releases the lease, also if ctx has ended. Errors are ignored.
func (s *Sender) release(ctx context.Context, endpointLease *lease.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	endpointLease.Release(ctx) // a lease that could not be released expires
}

// recordOutcome counts the outcome of an order and records it as an event.
func (s *Sender) recordOutcome(endpoint string, o Order, fencing int64, err error) {
	e := event.Event{Component: event.ComponentLease, Kind: event.OrderSent, Endpoint: endpoint, Detail: fmt.Sprintf("%s %s, fencing number %d", o.Kind, o.Target, fencing)}
	switch {
	case err == nil:
		s.sentTotal.Inc()
	case failure.CodeOf(err) == failure.OutcomeUnknown:
		s.outcomeUnknownTotal.Inc()
		e.Detail += ", outcome unknown"
	default:
		s.refusedTotal.Inc()
		e.Kind = event.OrderRefused
		e.Detail += ": " + err.Error()
	}
	s.deps.Events.Record(e)
}
