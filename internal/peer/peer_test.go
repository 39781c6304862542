package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/websocket"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/hlc"
)

const testSecret = "secret of the test fleet"

// fakeDirectory is a Directory whose members the test adds. It counts the reports
// of suspect members.
type fakeDirectory struct {
	mu        sync.Mutex
	peers     map[bus.ID]bus.Peer
	suspected map[bus.ID]int
}

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{peers: make(map[bus.ID]bus.Peer), suspected: make(map[bus.ID]int)}
}

func (d *fakeDirectory) Live() []bus.Peer { return nil }
func (d *fakeDirectory) Lookup(id bus.ID) (bus.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, found := d.peers[id]
	return p, found
}
func (d *fakeDirectory) MarkReachable(bus.Peer) {}
func (d *fakeDirectory) Suspect(id bus.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspected[id]++
}

func (d *fakeDirectory) add(p bus.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[p.ID] = p
}

func testSettings() Settings {
	s := DefaultSettings()
	s.Listen, s.Secret = "127.0.0.1:0", testSecret
	s.CallTimeout, s.DialTimeout = 2*time.Second, 2*time.Second
	return s
}

// startLink starts a link on loopback, adds it to dir and stops it when the test
// ends. Its handler of "echo" responds with the sender's VM and the body; that of
// "wait" responds when its context ends.
func startLink(t *testing.T, vm string, s Settings, dir *fakeDirectory) *Link {
	t.Helper()
	l := New(s, bus.Peer{ID: bus.ID{VM: vm, Incarnation: vm + "-1"}}, Dependencies{
		Directory: dir, Clock: hlc.New(clock.Real{}), Events: event.Discard{}, Metrics: metrics.NewSet(),
		Log: slog.New(slog.DiscardHandler),
	})
	l.Handle("echo", func(_ context.Context, from bus.ID, body []byte) ([]byte, error) {
		return append([]byte(from.VM+":"), body...), nil
	})
	l.Handle("wait", func(ctx context.Context, _ bus.ID, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	assert.NilError(t, l.Provision())
	go l.Run()
	t.Cleanup(func() { assert.NilError(t, l.Cleanup()) })
	dir.add(l.Self())
	return l
}

// TestRequestsInBothDirectionsShareOneConnection guards against a second connection
// when a router sends requests to a peer that has dialed it, and against goroutines
// that outlive the links.
func TestRequestsInBothDirectionsShareOneConnection(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("", func(t *testing.T) {
		dir := newFakeDirectory()
		one, two := startLink(t, "one", testSettings(), dir), startLink(t, "two", testSettings(), dir)
		for _, way := range []struct{ from, to *Link }{{one, two}, {two, one}} {
			response, err := way.from.Request(t.Context(), way.to.Self().ID, "echo", []byte("hi"))
			assert.NilError(t, err)
			assert.Equal(t, string(response), way.from.Self().ID.VM+":hi")
		}
		assert.Equal(t, one.metrics.dials.Get()+two.metrics.dials.Get(), uint64(1))
	})
}

// TestFailuresKeepTheirFieldsOverTheLink guards against failures that lose their code,
// outcome or retry time on the way to the sender of the request, and against plain
// errors that are taken for requests that were not executed.
func TestFailuresKeepTheirFieldsOverTheLink(t *testing.T) {
	dir := newFakeDirectory()
	one, two := startLink(t, "one", testSettings(), dir), startLink(t, "two", testSettings(), dir)
	sent := failure.New(failure.BudgetBusy, "lend", "", "none left").WithRan(failure.RanUnknown).WithRetry(3 * time.Second)
	two.Handle("typed", func(context.Context, bus.ID, []byte) ([]byte, error) { return nil, fmt.Errorf("wrapped: %w", sent) })
	two.Handle("plain", func(context.Context, bus.ID, []byte) ([]byte, error) { return nil, errors.New("broken") })
	to := two.Self().ID
	for _, test := range []struct {
		kind bus.Kind
		want failure.Error
	}{
		{"typed", failure.Error{Code: failure.BudgetBusy, Step: "lend", Peer: to.String(), Message: "none left", Ran: failure.RanUnknown, RetryAfter: 3 * time.Second}},
		{"plain", failure.Error{Code: failure.Internal, Step: "plain", Peer: to.String(), Message: "broken", Ran: failure.RanUnknown}},
		{"none", failure.Error{Code: failure.NotFound, Step: "none", Peer: to.String(), Message: "the peer does not handle this kind", Ran: failure.RanNo}},
	} {
		_, err := one.Request(t.Context(), to, test.kind, nil)
		assert.DeepEqual(t, *failure.As(err), test.want)
	}
	_, err := one.Request(t.Context(), bus.ID{VM: "nobody"}, "echo", nil)
	assert.Equal(t, failure.CodeOf(err), failure.PeerUnavailable)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
}

// TestPanicOfHandlerEndsOneRequest guards against an unexpected state in the handling of
// one peer's request that takes the whole process down.
func TestPanicOfHandlerEndsOneRequest(t *testing.T) {
	dir := newFakeDirectory()
	one, two := startLink(t, "one", testSettings(), dir), startLink(t, "two", testSettings(), dir)
	two.Handle("panic", func(context.Context, bus.ID, []byte) ([]byte, error) { panic("unexpected") })
	for range 3 {
		_, err := one.Request(t.Context(), two.Self().ID, "panic", nil)
		assert.Equal(t, failure.CodeOf(err), failure.Internal)
		assert.Equal(t, failure.As(err).Ran, failure.RanUnknown)
	}
	response, err := one.Request(t.Context(), two.Self().ID, "echo", []byte("hi"))
	assert.NilError(t, err)
	assert.Equal(t, string(response), "one:hi")
	assert.Equal(t, two.metrics.handlerPanics.Get(), uint64(3))
}

// TestLinkWithoutSecretConnectsToNobody guards against routers that trust any process
// before they know the secret of their fleet.
func TestLinkWithoutSecretConnectsToNobody(t *testing.T) {
	dir := newFakeDirectory()
	settings := testSettings()
	settings.Secret = ""
	one, two := startLink(t, "one", settings, dir), startLink(t, "two", settings, dir)
	for _, way := range []struct{ from, to *Link }{{one, two}, {two, one}} {
		_, err := way.from.Request(t.Context(), way.to.Self().ID, "echo", nil)
		assert.Equal(t, failure.CodeOf(err), failure.PeerUnavailable)
	}
	one.SetSecret(testSecret)
	_, err := one.Request(t.Context(), two.Self().ID, "echo", nil)
	assert.Equal(t, failure.CodeOf(err), failure.PeerUnavailable)
	two.SetSecret(testSecret)
	_, err = one.Request(t.Context(), two.Self().ID, "echo", nil)
	assert.NilError(t, err)
}

// TestHandshakeRejectsWrongSecretInBothDirections guards against a connection between
// routers with different secrets, whichever of them dials.
func TestHandshakeRejectsWrongSecretInBothDirections(t *testing.T) {
	dir := newFakeDirectory()
	wrongSecret := testSettings()
	wrongSecret.Secret = "another secret altogether"
	one, two := startLink(t, "one", testSettings(), dir), startLink(t, "two", wrongSecret, dir)
	for _, way := range []struct{ from, to *Link }{{one, two}, {two, one}} {
		_, err := way.from.Request(t.Context(), way.to.Self().ID, "echo", nil)
		assert.ErrorIs(t, err, errWrongSecret)
	}
	assert.Equal(t, one.connectionCount()+two.connectionCount(), 0)
	// The proofs of the two sides differ, so that neither can be replayed as the
	// other's.
	assert.Assert(t, string(computeProof(testSecret, labelServer, []byte("a"), []byte("b"))) != string(computeProof(testSecret, labelClient, []byte("a"), []byte("b"))))
}

// TestDialerWithoutProofReachesNoHandler guards against a server that accepts messages
// from a dialer that does not know the secret and ignores that the handshake failed.
func TestDialerWithoutProofReachesNoHandler(t *testing.T) {
	one := startLink(t, "one", testSettings(), newFakeDirectory())
	ws, _, err := websocket.Dial(t.Context(), "ws://"+one.Self().Addr+linkPath, nil)
	assert.NilError(t, err)
	defer ws.CloseNow()
	_, err = clientHandshake(t.Context(), ws, "another secret altogether", bus.Peer{ID: bus.ID{VM: "x", Incarnation: "y"}})
	assert.ErrorIs(t, err, errWrongSecret)
	ws.Write(t.Context(), websocket.MessageBinary, []byte("no proof"))
	_, _, err = ws.Read(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, one.connectionCount(), 0)
}

// TestRequestsAboveLimitsAreRejected guards against requests without bound: above
// MaxInFlight requests or MaxMessageBytes, a request must fail before it is sent.
func TestRequestsAboveLimitsAreRejected(t *testing.T) {
	dir := newFakeDirectory()
	s := testSettings()
	s.MaxInFlight = 2
	one, two := startLink(t, "one", s, dir), startLink(t, "two", s, dir)
	c, err := one.connect(t.Context(), two.Self().ID)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range s.MaxInFlight {
		waiting.Go(func() { c.request(ctx, "wait", nil) })
	}
	for full := false; !full; {
		c.mu.Lock()
		full = len(c.pending) == s.MaxInFlight
		c.mu.Unlock()
	}
	_, err = one.Request(t.Context(), two.Self().ID, "echo", nil)
	assert.Equal(t, failure.CodeOf(err), failure.Overloaded)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	cancel()
	waiting.Wait()
	// A message above MaxMessageBytes is rejected before it is sent.
	_, err = one.Request(t.Context(), two.Self().ID, "echo", make([]byte, s.MaxMessageBytes))
	assert.Equal(t, failure.CodeOf(err), failure.TooLarge)
}

// middlebox is a TCP proxy. After blackhole, the connections that are open stay
// open but drop all data, while new ones work, as with a NAT that has lost its
// state.
type middlebox struct {
	net.Listener
	mu         sync.Mutex
	generation int
}

func (m *middlebox) serve(to string) {
	for {
		in, err := m.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			in.Close()
			continue
		}
		m.mu.Lock()
		generation := m.generation
		m.mu.Unlock()
		go m.forward(in, out, generation)
		go m.forward(out, in, generation)
	}
}

func (m *middlebox) forward(from, to net.Conn, generation int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		m.mu.Lock()
		blackholed := generation < m.generation
		m.mu.Unlock()
		if !blackholed {
			to.Write(buffer[:n])
		}
	}
}

func (m *middlebox) blackhole() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
}

// naiveLink uses one connection for as long as TCP keeps it open.
type naiveLink struct{ c *conn }

func (n naiveLink) request(ctx context.Context) error {
	_, err := n.c.request(ctx, "echo", nil)
	return err
}

// TestStalledConnectionIsReplaced guards against requests that keep timing out on
// a connection that is open but forwards no data. With pings the connection is
// closed and the next request dials a new one; without them every request fails.
func TestStalledConnectionIsReplaced(t *testing.T) {
	for _, withPings := range []bool{false, true} {
		t.Run(map[bool]string{false: "without pings", true: "with pings"}[withPings], func(t *testing.T) {
			dir := newFakeDirectory()
			s := testSettings()
			s.CallTimeout, s.PingTimeout, s.PingInterval = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
			if !withPings {
				s.PingTimeout, s.PingInterval = time.Hour, time.Hour
			}
			one, two := startLink(t, "one", s, dir), startLink(t, "two", s, dir)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			proxy := &middlebox{Listener: listener}
			defer proxy.Close()
			go proxy.serve(two.Self().Addr)
			proxied := two.Self()
			proxied.Addr = listener.Addr().String()
			dir.add(proxied)
			c, err := one.connect(t.Context(), proxied.ID)
			assert.NilError(t, err)
			request := func(ctx context.Context) error { return naiveLink{c}.request(ctx) }
			if withPings {
				request = func(ctx context.Context) error {
					_, err := one.Request(ctx, proxied.ID, "echo", nil)
					return err
				}
			}
			assert.NilError(t, request(t.Context()))
			proxy.blackhole()
			// A stalled connection is replaced within one call and one ping.
			// Ten requests, each with the timeout of a call, take far longer.
			failed := 0
			for range 10 {
				ctx, cancel := context.WithTimeout(t.Context(), s.CallTimeout)
				err := request(ctx)
				cancel()
				if err == nil {
					break
				}
				failed++
			}
			if withPings {
				assert.Assert(t, failed < 10)
				assert.Assert(t, one.metrics.connectionsLost.Get() >= 1)
			} else {
				assert.Equal(t, failed, 10)
			}
		})
	}
}

// TestLossIsReportedBeforeRedial guards against a connection that ends before its loss is
// reported: requests then dial a new one, and the late report makes the peer suspect
// although it has just responded.
func TestLossIsReportedBeforeRedial(t *testing.T) {
	// The shorter time is over before most pings are written.
	for _, pingTimeout := range []time.Duration{20 * time.Millisecond, 15 * time.Microsecond} {
		t.Run(pingTimeout.String(), func(t *testing.T) { testLossesAreReported(t, pingTimeout) })
	}
}

// testLossesAreReported loses connections on which pings get no response within
// pingTimeout.
func testLossesAreReported(t *testing.T, pingTimeout time.Duration) {
	dir := newFakeDirectory()
	s := testSettings()
	s.PingTimeout = pingTimeout
	one, two := startLink(t, "one", s, dir), startLink(t, "two", s, dir)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &middlebox{Listener: listener}
	defer proxy.Close()
	go proxy.serve(two.Self().Addr)
	proxied := two.Self()
	proxied.Addr = listener.Addr().String()
	dir.add(proxied)
	for lost := 1; lost <= 20; lost++ {
		c, err := one.connect(t.Context(), proxied.ID)
		assert.NilError(t, err)
		proxy.blackhole()
		c.requestPing()
		<-c.ctx.Done()
		assert.Equal(t, one.metrics.connectionsLost.Get(), uint64(lost))
		dir.mu.Lock()
		suspected := dir.suspected[proxied.ID]
		dir.mu.Unlock()
		assert.Equal(t, suspected, lost)
	}
}

// TestIdleConnectionCloses guards against idle connections that stay open, and against
// their planned close being counted as a loss or making the peer suspect.
func TestIdleConnectionCloses(t *testing.T) {
	dir := newFakeDirectory()
	s := testSettings()
	s.IdleTimeout, s.PingInterval = 50*time.Millisecond, 20*time.Millisecond
	one, two := startLink(t, "one", s, dir), startLink(t, "two", s, dir)
	c, err := one.connect(t.Context(), two.Self().ID)
	assert.NilError(t, err)
	<-c.ctx.Done()
	for two.connectionCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, one.metrics.connectionsLost.Get()+two.metrics.connectionsLost.Get(), uint64(0))
	assert.Equal(t, dir.suspected[two.Self().ID], 0)
}
