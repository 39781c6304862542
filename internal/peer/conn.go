package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
)

// The causes with which a connection ends. errPingTimeout means that the peer
// did not respond to a ping; the others are expected and say nothing about the
// peer's health.
var (
	errIdle        = errors.New("idle")
	errReplaced    = errors.New("replaced by a newer connection")
	errPingTimeout = errors.New("no answer to a ping")
	errStopped     = errors.New("the link stops")
	errNoSecret    = errors.New("the secret of the fleet is not known yet")
)

// conn is one authenticated connection, over which both sides send requests.
// One goroutine reads, one writes and one sends pings; each received request is
// handled in a goroutine of its own, bounded by handlerSlots.
type conn struct {
	link         *Link
	ws           *websocket.Conn
	peer         bus.Peer
	send         chan []byte   // encoded messages for writeLoop
	handlerSlots chan struct{} // holds one element per received request being handled
	pingNow      chan struct{} // makes pingLoop ping at once

	// lastReceived is when the last message or pong arrived, and lastRequest
	// when the last request was sent or received, in nanoseconds since the link
	// was created.
	lastReceived atomic.Int64
	lastRequest  atomic.Int64
	// pingDeadline is when the ping in progress times out, in the same unit; 0 if
	// there is none.
	pingDeadline atomic.Int64

	ctx     context.Context         // ends with the connection
	stop    context.CancelCauseFunc // called by end only
	endOnce sync.Once

	mu      sync.Mutex                // guards all fields below
	nextID  uint64                    // id of the latest request sent
	pending map[uint64]chan *envelope // by request id, for requests that wait for a response
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

// run serves the connection until it ends.
func (c *conn) run() {
	var loops sync.WaitGroup
	loops.Go(c.readLoop)
	loops.Go(c.writeLoop)
	loops.Go(c.pingLoop)
	<-c.ctx.Done()
	c.ws.CloseNow()
	loops.Wait()
}

// closeNormally closes the connection with the normal WebSocket status, so that
// the other side does not count it as lost. The cause is sent as the reason.
func (c *conn) closeNormally(cause error) {
	if err := c.ws.Close(websocket.StatusNormalClosure, cause.Error()); err != nil {
		c.link.log.Debug("peer connection could not be closed normally", "peer", c.peer.ID.String(), "err", err)
	}
	c.end(cause)
}

// end ends the connection with a cause. An unexpected end is reported before any
// request can dial a new connection, so that the report doesn't count against that one.
func (c *conn) end(cause error) {
	c.endOnce.Do(func() {
		// Errors that follow from the stop of the link are no causes of their own.
		if c.ctx.Err() == nil && !isExpectedClose(cause) {
			c.link.reportLoss(c.peer.ID, cause)
		}
		c.stop(cause)
	})
}

// readLoop reads messages until the connection ends. A message that cannot be
// read or decoded ends it.
func (c *conn) readLoop() {
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			c.end(c.readErrorCause(err))
			return
		}
		c.lastReceived.Store(c.link.nanosSinceStart())
		c.link.metrics.countReceived(len(data))
		e, err := decodeEnvelope(data)
		if err != nil {
			c.end(err)
			return
		}
		c.link.hlc.Observe(e.Stamp)
		c.deliver(e)
	}
}

// readErrorCause returns the cause of an error of readLoop. If the write of a ping takes
// until its timeout, the connection closes and readLoop may notice that before pingLoop.
func (c *conn) readErrorCause(err error) error {
	deadline := c.pingDeadline.Load()
	if errors.Is(err, net.ErrClosed) && deadline != 0 && c.link.nanosSinceStart() >= deadline {
		return errPingTimeout
	}
	return err
}

// deliver passes a response to the request that waits for it, and a request to
// its handler. A response that nobody waits for any more is dropped. A request
// above MaxInFlight is rejected as overloaded.
func (c *conn) deliver(e *envelope) {
	if !e.isRequest() {
		c.mu.Lock()
		waiting := c.pending[e.ID]
		delete(c.pending, e.ID)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- e // never blocks: the channel holds the one response
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

// handle runs the handler of a request, for at most as long as the sender waits
// for the response, and queues the response.
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
	body, err := c.runHandler(ctx, handler, e)
	c.recordHandled(e, time.Since(started), err)
	c.respond(e, body, err)
}

// runHandler runs a handler. A panic ends only this request, with failure.Internal.
func (c *conn) runHandler(ctx context.Context, handler bus.Handler, e *envelope) (body []byte, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			c.link.metrics.handlerPanics.Inc()
			c.link.log.Error("handler of a peer's request panicked", "kind", string(e.Kind), "peer", c.peer.ID.String(),
				"request", e.Request, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
			err = failure.New(failure.Internal, string(e.Kind), "", "the handler of the request panicked").WithRan(failure.RanUnknown)
		}
	}()
	return handler(ctx, c.peer.ID, e.Body)
}

// recordHandled records the handling of e on the timeline if another router sent
// it on behalf of a caller's request.
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

// respond queues the response to a request. If it cannot be queued it is dropped,
// and the sender of the request runs into its timeout.
func (c *conn) respond(request *envelope, body []byte, err error) {
	response := &envelope{ID: request.ID, Body: body}
	if err != nil {
		response.Body, response.Fault = nil, newFault(request.Kind, err)
	}
	if err := c.enqueue(response); err != nil {
		c.link.metrics.responsesDropped.Inc()
	}
}

// enqueue stamps, encodes and queues a message. It never blocks: it returns
// failure.Overloaded if the queue is full, and failure.TooLarge if the message
// is above MaxMessageBytes.
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

// writeLoop writes queued messages to the connection. A write that blocks for
// PingTimeout, as on a stalled connection, ends the connection.
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
				c.end(err)
				return
			}
			c.link.metrics.countSent(len(data))
		}
	}
}

// pingLoop pings the connection if nothing was received for PingInterval, or at
// once after a request got no response in time. It ends the connection if the
// ping gets no pong within PingTimeout, or if there was no request for
// IdleTimeout.
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
		c.pingDeadline.Store(c.link.nanosSinceStart() + int64(s.PingTimeout))
		ctx, cancel := context.WithTimeout(c.ctx, s.PingTimeout)
		err := c.ws.Ping(ctx)
		cancel()
		if err != nil {
			c.end(errPingTimeout)
			return
		}
		c.pingDeadline.Store(0)
		c.lastReceived.Store(c.link.nanosSinceStart())
		c.link.metrics.pings.Inc()
	}
}

// request sends a request and waits for the response until ctx or the connection
// ends. It returns the failure that the peer reports, or failure.PeerUnavailable
// with an unknown outcome if there is no response.
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

// unansweredError is the failure of a request that was queued and got no
// response. The peer may have handled it.
func unansweredError(kind bus.Kind, to bus.ID, err error) error {
	return failure.Wrap(failure.PeerUnavailable, string(kind), to.String(), err).WithRan(failure.RanUnknown)
}

// requestPing makes pingLoop ping the connection at once.
func (c *conn) requestPing() {
	select {
	case c.pingNow <- struct{}{}:
	default:
	}
}

// addPending registers a new request and returns its id and the channel that
// receives its response. It returns failure.Overloaded if MaxInFlight requests
// are waiting already.
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

// removePending unregisters a request that no longer waits for a response.
func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
