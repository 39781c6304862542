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

const stepOrder = "order endpoint"

// maxAnswerBytes bounds an endpoint's answer to an order.
const maxAnswerBytes = 64 << 10

// releaseTimeout bounds the release of a lease; one that is not released
// lapses.
const releaseTimeout = time.Second

// Configuration gives the revision in force.
type Configuration interface {
	Catalog() *catalog.Index
}

// Duties are what a sender needs from its process.
type Dependencies struct {
	Config  Configuration
	Leases  lease.Lessor
	Limiter *WeightLimiter
	Events  event.Recorder
	Metrics *metrics.Set
}

// Order is what an operator or a duty wants an endpoint to do.
type Order struct {
	// ID identifies the order; an endpoint carries out each id once. Empty
	// means a fresh one.
	ID   string           `json:"id,omitempty"`
	Kind engine.OrderKind `json:"kind"`
	// Target is the model, adapter, version or role.
	Target string `json:"target,omitempty"`
}

// Sender gives orders. It is safe for concurrent use.
type Sender struct {
	settings Settings
	duties   Dependencies
	http     *http.Client
	sent     *metrics.Counter
	refused  *metrics.Counter
	unknown  *metrics.Counter
}

// NewSender returns a sender.
func NewSender(s Settings, d Dependencies) *Sender {
	return &Sender{
		settings: s, duties: d, http: &http.Client{},
		sent:    d.Metrics.NewCounter("daisyslip_orders_sent_total"),
		refused: d.Metrics.NewCounter("daisyslip_orders_refused_total"),
		unknown: d.Metrics.NewCounter("daisyslip_orders_unknown_total"),
	}
}

// Close drops the idle connections.
func (s *Sender) Close() { s.http.CloseIdleConnections() }

// Send gives one order to an endpoint. It waits for the lease on the endpoint
// and, for loads, for the weight store's rate. A failure with Ran unknown may
// be tried again with the same id.
func (s *Sender) Send(ctx context.Context, endpoint string, o Order) (engine.OrderResult, error) {
	member := s.duties.Config.Catalog().Endpoint(endpoint)
	if member == nil {
		return engine.OrderResult{}, failure.New(failure.NotFound, stepOrder, endpoint, "no pool has this endpoint")
	}
	if err := s.admit(ctx, endpoint, &o); err != nil {
		return engine.OrderResult{}, err
	}
	held, err := s.duties.Leases.Acquire(ctx, "endpoint/"+endpoint)
	if err != nil {
		return engine.OrderResult{}, failure.Wrap(failure.StoreUnavailable, stepOrder, "platform", err)
	}
	result, err := s.sendUnder(ctx, held, member, o)
	// Without the check at the endpoint an order whose outcome is unclear may
	// still be under way, so the next holder waits for the lease to lapse.
	if failure.CodeOf(err) != failure.OutcomeUnknown || err == nil || member.ChecksFencing {
		s.release(ctx, held)
	}
	s.record(endpoint, o, held.Fencing(), err)
	return result, err
}

// admit completes the order and waits for what it needs besides the lease.
func (s *Sender) admit(ctx context.Context, endpoint string, o *Order) error {
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	switch o.Kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter, engine.OrderLoadVersion:
		if o.Target == "" {
			return failure.New(failure.BadRequest, stepOrder, endpoint, "name what to load")
		}
		if err := s.duties.Limiter.Wait(ctx); err != nil {
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

// sendUnder sends the order with a deadline inside the lease. For an endpoint
// that does not check numbers, the table confirms the holder first.
func (s *Sender) sendUnder(ctx context.Context, held *lease.Lease, member *catalog.Member, o Order) (engine.OrderResult, error) {
	if !member.ChecksFencing {
		if err := held.Renew(ctx); err != nil {
			return engine.OrderResult{}, failure.Wrap(failure.StoreUnavailable, stepOrder, "platform", err)
		}
	}
	remaining := held.Remaining()
	if remaining <= 0 {
		return engine.OrderResult{}, failure.New(failure.Conflict, stepOrder, member.Name, "the lease on the endpoint has lapsed")
	}
	ctx, cancel := context.WithTimeout(ctx, min(s.settings.CallTimeout, remaining))
	defer cancel()
	return s.post(ctx, member, engine.Order{ID: o.ID, Kind: o.Kind, Target: o.Target, Fencing: held.Fencing(), Holder: held.Holder()})
}

// post sends the order and types what can be known of its effect.
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
		return result, unsent(member.Name, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&result); err != nil {
		return result, failure.Wrap(failure.OutcomeUnknown, stepOrder, member.Name, err).WithRan(failure.RanUnknown)
	}
	switch {
	case resp.StatusCode == http.StatusOK && result.Accepted:
		return result, nil
	case resp.StatusCode < http.StatusInternalServerError:
		return result, failure.New(failure.Conflict, stepOrder, member.Name, "the endpoint refused the order: "+result.Message)
	}
	return result, failure.New(failure.OutcomeUnknown, stepOrder, member.Name, resp.Status).WithRan(failure.RanUnknown)
}

// unsent is the failure of an order that got no answer. Only a dial that
// failed is sure not to have brought it there.
func unsent(endpoint string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Wrap(failure.EndpointFailed, stepOrder, endpoint, err)
	}
	return failure.Wrap(failure.OutcomeUnknown, stepOrder, endpoint, err).WithRan(failure.RanUnknown)
}

func (s *Sender) release(ctx context.Context, held *lease.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	held.Release(ctx) // a lease that is not released lapses
}

func (s *Sender) record(endpoint string, o Order, fencing int64, err error) {
	e := event.Event{Component: event.ComponentLease, Kind: event.OrderSent, Endpoint: endpoint, Detail: fmt.Sprintf("%s %s, fencing number %d", o.Kind, o.Target, fencing)}
	switch {
	case err == nil:
		s.sent.Inc()
	case failure.CodeOf(err) == failure.OutcomeUnknown:
		s.unknown.Inc()
		e.Detail += ", outcome unknown"
	default:
		s.refused.Inc()
		e.Kind = event.OrderRefused
		e.Detail += ": " + err.Error()
	}
	s.duties.Events.Record(e)
}
