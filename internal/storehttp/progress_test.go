package storehttp

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/rowstore"
)

// singleRowStore reads a table with one row, whose value is the body of a response.
type singleRowStore struct {
	rowstore.Store
	client *Client
}

func (s singleRowStore) Read(ctx context.Context, _, _ string) (rowstore.Snapshot, error) {
	response, err := s.client.Call(ctx, http.MethodGet, "/rows", nil)
	if err != nil {
		return rowstore.Snapshot{}, err
	}
	return rowstore.Snapshot{Version: 1, Rows: []rowstore.Row{{Value: response.Body, Version: 1}}}, nil
}

// Era implements rowstore.Store.
func (singleRowStore) Era() int64 { return 0 }

// slowServer responds on in-memory connections with a body of bodyBytes, one byte each
// interval, and pauses for good after sent bytes.
type slowServer struct {
	bodyBytes, sent int
	interval        time.Duration
	conns           sync.WaitGroup
}

// dial opens a connection to the server.
func (s *slowServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.conns.Go(func() { s.serve(server) })
	return client, nil
}

// serve responds to one request and then waits until the client closes the connection.
func (s *slowServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", s.bodyBytes)
	for range min(s.sent, s.bodyBytes) {
		if err != nil {
			return
		}
		time.Sleep(s.interval)
		_, err = c.Write([]byte("x"))
	}
	_, _ = reader.ReadByte() // returns when the client closes the connection
}

// watchOnce makes a watcher read a table from the server and returns the values that it
// handed over.
func watchOnce(t *testing.T, s *slowServer) []string {
	transport := &http.Transport{DialContext: s.dial}
	defer s.conns.Wait()
	defer transport.CloseIdleConnections()
	var values []string
	watcher := rowstore.Watcher{
		Store: singleRowStore{client: &Client{base: "http://store", client: &http.Client{Transport: transport}}},
		Table: "t", Clock: clock.Real{}, Log: slog.New(slog.DiscardHandler),
		OnSnapshot: func(rows []rowstore.Row) {
			for _, row := range rows {
				values = append(values, string(row.Value))
			}
		},
	}
	watcher.Step(t.Context())
	return values
}

// TestSlowResponseIsReadToItsEnd guards against giving up, and reading anew without end, a
// response that keeps arriving but takes longer than the timeout of its call.
func TestSlowResponseIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		values := watchOnce(t, &slowServer{bodyBytes: 16, sent: 16, interval: 500 * time.Millisecond})
		assert.DeepEqual(t, values, []string{strings.Repeat("x", 16)})
	})
}

// TestPausedResponseIsGivenUp guards against a call that waits without bound for the rest
// of a response, whether it has stopped or trickles.
func TestPausedResponseIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		server *slowServer
		within time.Duration
	}{
		"at its start": {&slowServer{bodyBytes: 16}, 2 * time.Second},
		"midway":       {&slowServer{bodyBytes: 16, interval: 100 * time.Millisecond, sent: 8}, 3 * time.Second},
		"trickles":     {&slowServer{bodyBytes: 1 << 20, interval: 500 * time.Millisecond, sent: 1 << 20}, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				assert.Equal(t, len(watchOnce(t, test.server)), 0)
				assert.Assert(t, time.Since(started) < test.within, "%v", time.Since(started))
			})
		})
	}
}
