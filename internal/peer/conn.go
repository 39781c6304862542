package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
)

// errIdle and errReplaced end connections that are not suspect.
var (
	errIdle        = errors.New("idle")
	errReplaced    = errors.New("replaced by a newer connection")
	errPingTimeout = errors.New("no answer to a ping")
	errStopped     = errors.New("the link stops")
)

// conn is one authenticated connection. Requests go both ways over it. Four
// goroutines serve it: reader, writer, keeper of the pings, and one per
// request being handled, bounded by handling.
type conn struct {
	link         *Link
	ws           *websocket.Conn
	peer         bus.Peer
	send         chan []byte
	handlerSlots chan struct{}
	pingNow      chan struct{}

	// received and used are the nanoseconds since the link started at which
	// the last message came and the last request passed.
	lastReceived atomic.Int64
	lastRequest  atomic.Int64

	ctx  context.Context // ends with the connection
	stop context.CancelCauseFunc

	mu      sync.Mutex // guards below
	nextID  uint64
	pending map[uint64]chan *envelope
}

func newConn(link *Link, ws *websocket.Conn, peer bus.Peer) *conn {
	ctx, stop := context.WithCancelCause(link.ctx)
	c := &conn{
		link:         link,
		ws:           ws,
		peer:         peer,
		send:         make(chan []byte, link.settings.SendQueue),
		handlerSlots: make(chan struct{}, link.settings.MaxInFlight),
		pingNow:      make(chan struct{}, 1),
		ctx:          ctx,
		stop:         stop,
		pending:      make(map[uint64]chan *envelope),
	}
	c.lastReceived.Store(link.nanosSinceStart())
	c.lastRequest.Store(link.nanosSinceStart())
	ws.SetReadLimit(link.settings.MaxMessageBytes)
	return c
}

// run serves the connection until it ends and returns why.
func (c *conn) run() error {
	var loops sync.WaitGroup
	loops.Go(c.readLoop)
	loops.Go(c.writeLoop)
	loops.Go(c.pingLoop)
	<-c.ctx.Done()
	c.ws.CloseNow()
	loops.Wait()
	return context.Cause(c.ctx)
}

// leave ends the connection and tells the other side that nothing is wrong.
func (c *conn) closeNormally(cause error) {
	if err := c.ws.Close(websocket.StatusNormalClosure, cause.Error()); err != nil {
		c.link.log.Debug("Close failed.", "peer", c.peer.ID.String(), "err", err)
	}
	c.stop(cause)
}

func (c *conn) readLoop() {
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			c.stop(err)
			return
		}
		c.lastReceived.Store(c.link.nanosSinceStart())
		c.link.metrics.countReceived(len(data))
		e, err := decodeEnvelope(data)
		if err != nil {
			c.stop(err)
			return
		}
		c.link.hlc.Observe(e.Stamp)
		c.deliver(e)
	}
}

// take hands a message to the waiting request or to a handler.
func (c *conn) deliver(e *envelope) {
	if !e.isRequest() {
		c.mu.Lock()
		waiting := c.pending[e.ID]
		delete(c.pending, e.ID)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- e // has room for the one answer
		}
		return
	}
	c.lastRequest.Store(c.link.nanosSinceStart())
	select {
	case c.handlerSlots <- struct{}{}:
		c.link.goroutines.Go(func() {
			defer func() { <-c.handlerSlots }()
			c.handle(e)
		})
	default:
		overloaded := failure.New(failure.Overloaded, string(e.Kind), "", "too many requests of this peer are being handled")
		c.respond(e, nil, overloaded)
	}
}

// handle runs the handler of a request within the time its sender waits.
func (c *conn) handle(e *envelope) {
	timeout := c.link.settings.CallTimeout
	if e.TimeoutMS > 0 {
		timeout = time.Duration(e.TimeoutMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(event.WithRequest(c.ctx, e.Request), timeout)
	defer cancel()
	handler := c.link.handler(e.Kind)
	if handler == nil {
		c.respond(e, nil, failure.New(failure.NotFound, string(e.Kind), "", "the peer does not handle this kind"))
		return
	}
	started := time.Now()
	body, err := handler(ctx, c.peer.ID, e.Body)
	c.recordHandled(e, time.Since(started), err)
	c.respond(e, body, err)
}

// record puts what was done for a caller's request at another router on the
// time line.
func (c *conn) recordHandled(e *envelope, duration time.Duration, err error) {
	if e.Request == "" {
		return
	}
	detail := string(e.Kind)
	if err != nil {
		detail += ": " + err.Error()
	}
	c.link.events.Record(event.Event{
		Component: event.ComponentPeer, Kind: event.PeerRequestHandled, Request: e.Request, Peer: c.peer.ID.String(),
		Micros: duration.Microseconds(), Detail: detail,
	})
}

// answer queues the answer; if the queue is full the sender runs into its
// time-out, as with a lost answer.
func (c *conn) respond(request *envelope, body []byte, err error) {
	response := &envelope{ID: request.ID, Body: body}
	if err != nil {
		response.Body, response.Fault = nil, newFault(request.Kind, err)
	}
	if err := c.enqueue(response); err != nil {
		c.link.metrics.responsesDropped.Inc()
	}
}

// enqueue encodes and queues a message; it never blocks.
func (c *conn) enqueue(e *envelope) error {
	e.Version = protocolVersion
	e.Stamp = c.link.hlc.Now()
	data, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	if int64(len(data)) > c.link.settings.MaxMessageBytes {
		return failure.New(failure.TooLarge, string(e.Kind), c.peer.ID.String(), "the message is above peer.max_message_bytes")
	}
	select {
	case c.send <- data:
		return nil
	default:
		c.link.metrics.requestsRefused.Inc()
		return failure.New(failure.Overloaded, string(e.Kind), c.peer.ID.String(), "the send queue to the peer is full").WithRetry(time.Second)
	}
}

// writeLoop sends queued messages. A write that a silent connection holds up
// ends the connection after PingTimeout.
func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case data := <-c.send:
			ctx, cancel := context.WithTimeout(c.ctx, c.link.settings.PingTimeout)
			err := c.ws.Write(ctx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				c.stop(err)
				return
			}
			c.link.metrics.countSent(len(data))
		}
	}
}

// pingLoop pings a connection on which nothing came for PingInterval, or at
// once after a request went unanswered, and closes it when no answer comes
// or when no request has used it for IdleTimeout.
func (c *conn) pingLoop() {
	s := c.link.settings
	tick := time.NewTicker(s.PingInterval)
	defer tick.Stop()
	for {
		pingRequested := false
		select {
		case <-c.ctx.Done():
			return
		case <-c.pingNow:
			pingRequested = true
		case <-tick.C:
		}
		now := c.link.nanosSinceStart()
		if time.Duration(now-c.lastRequest.Load()) > s.IdleTimeout {
			c.closeNormally(errIdle)
			return
		}
		if !pingRequested && time.Duration(now-c.lastReceived.Load()) < s.PingInterval {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, s.PingTimeout)
		err := c.ws.Ping(ctx)
		cancel()
		if err != nil {
			c.stop(errPingTimeout)
			return
		}
		c.lastReceived.Store(c.link.nanosSinceStart())
		c.link.metrics.pings.Inc()
	}
}

// request sends a request and waits for its answer.
func (c *conn) request(ctx context.Context, kind bus.Kind, body []byte) ([]byte, error) {
	c.lastRequest.Store(c.link.nanosSinceStart())
	id, responses, err := c.addPending(kind)
	if err != nil {
		return nil, err
	}
	defer c.removePending(id)
	e := &envelope{ID: id, Kind: kind, Body: body, Request: event.RequestOf(ctx)}
	if deadline, set := ctx.Deadline(); set {
		e.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	if err := c.enqueue(e); err != nil {
		return nil, err
	}
	select {
	case response := <-responses:
		if response.Fault != nil {
			return nil, response.Fault.toError(c.peer.ID.String())
		}
		return response.Body, nil
	case <-ctx.Done():
		c.requestPing()
		return nil, unansweredError(kind, c.peer.ID, ctx.Err())
	case <-c.ctx.Done():
		return nil, unansweredError(kind, c.peer.ID, context.Cause(c.ctx))
	}
}

// lost is the failure of a request that may have been handled.
func unansweredError(kind bus.Kind, to bus.ID, err error) error {
	return failure.Wrap(failure.PeerUnavailable, string(kind), to.String(), err).WithRan(failure.RanUnknown)
}

// suspect has the connection pinged at once.
func (c *conn) requestPing() {
	select {
	case c.pingNow <- struct{}{}:
	default:
	}
}

// register makes room for an answer.
func (c *conn) addPending(kind bus.Kind) (uint64, chan *envelope, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= c.link.settings.MaxInFlight {
		c.link.metrics.requestsRefused.Inc()
		return 0, nil, failure.New(failure.Overloaded, string(kind), c.peer.ID.String(), "too many requests to the peer are in flight").WithRetry(time.Second)
	}
	c.nextID++
	responses := make(chan *envelope, 1)
	c.pending[c.nextID] = responses
	return c.nextID, responses, nil
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
