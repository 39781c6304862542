package connlimit_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/bytebudget"
	"daisyslip.dev/daisyslip/internal/connlimit"
)

// server is an HTTP server on loopback whose connections are bounded.
type server struct {
	addr   string
	group  *connlimit.Group
	budget *bytebudget.Budget
	set    *metrics.Set
}

func startServer(t *testing.T, b connlimit.Bounds, budgetBytes int64, h http.HandlerFunc) *server {
	s := &server{set: metrics.NewSet()}
	log := slog.New(slog.DiscardHandler)
	s.budget = bytebudget.New(budgetBytes, log, s.set)
	s.group = connlimit.NewGroup("test", b, s.budget, log, s.set)
	l, err := s.group.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	web := &http.Server{Handler: h, MaxHeaderBytes: 64 << 10}
	s.group.Configure(web)
	go func() { _ = web.Serve(l) }() // ends with the listener
	t.Cleanup(func() { _ = web.Close() })
	return s
}

// dial opens a connection and sends text.
func (s *server) dial(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text) // the server may have closed the connection
	return c
}

// waitFor waits until the metrics have the line.
func (s *server) waitFor(t *testing.T, line string) {
	for range 1000 {
		var text strings.Builder
		s.set.WritePrometheus(&text)
		if strings.Contains(text.String(), line+"\n") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("metrics never had %s", line)
}

// TestServedRequestSurvivesTheBound guards against a request that is cut off, by the number of connections or by the
// bytes of others, after it was passed on.
func TestServedRequestSurvivesTheBound(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 1)
	s := startServer(t, connlimit.Bounds{Conns: 2, LargeSends: 1}, 60_000, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, connlimit.FromContext(r.Context()).BeginServing())
		began <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "done") // the client checks it
	})
	c := s.dial(t, "GET / HTTP/1.0\r\nX-Long: "+strings.Repeat("x", 10_000)+"\r\n\r\n")
	<-began
	for i := range 10 {
		s.dial(t, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 30_000))
		s.waitFor(t, fmt.Sprintf(`daisyslip_connections_closed_total{listener="test",reason="bytes"} %d`, i+1))
	}
	close(release)
	text, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(text), "done"), "%q", text)
}

// TestClosedConnectionsReturnTheirBytes guards against bytes of heads that stay counted after their connections.
func TestClosedConnectionsReturnTheirBytes(t *testing.T) {
	s := startServer(t, connlimit.Bounds{Conns: 4}, 1<<20, func(http.ResponseWriter, *http.Request) {})
	for range 20 {
		s.dial(t, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 50_000))
		s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", 20_000)+"\r\n\r\n")
	}
	s.waitFor(t, `daisyslip_connections{listener="test"} 4`)
	for range 4 {
		s.dial(t, "GET / HTTP/1.0\r\n\r\n")
	}
	s.waitFor(t, "daisyslip_kept_bytes 0")
}

// TestNewConnectionsReplaceUnusedOnes guards against clients that open connections, use none of them and leave no room
// for others.
func TestNewConnectionsReplaceUnusedOnes(t *testing.T) {
	s := startServer(t, connlimit.Bounds{Conns: 3}, 1<<20, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	for range 20 {
		s.dial(t, "")
	}
	text, err := io.ReadAll(s.dial(t, "GET / HTTP/1.0\r\n\r\n"))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(text), "done"), "%q", text)
	s.waitFor(t, `daisyslip_connections_closed_total{listener="test",reason="number"} 18`)
}

// TestRefusedConnectionGetsUnavailable guards against a connection that is closed without the statement that nothing
// ran, and against a bound that is exceeded when all connections are served.
func TestRefusedConnectionGetsUnavailable(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 1)
	s := startServer(t, connlimit.Bounds{Conns: 1, LargeSends: 1}, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, connlimit.FromContext(r.Context()).BeginServing())
		began <- struct{}{}
		<-release
	})
	defer close(release)
	s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	text, err := io.ReadAll(s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 503 "), "%q", text)
	s.waitFor(t, `daisyslip_connections{listener="test"} 1`)
}
