//go:build review3

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/coord/rowstore"
)

// worker is a small model worker whose streams the case decides. It serves one request at a
// time on a connection, as the pages say.
type worker struct {
	id, service string
	listener    net.Listener
	store       *store
	record      *recorder
	startedAt   int64
	// stream writes the events after last of a response whose head was sent, in chunks. It
	// returns false if the connection must end.
	stream func(w *worker, c net.Conn, id string, last int) bool

	mu       sync.Mutex
	sequence int64
}

func startWorker(s *store, record *recorder, id, service string, stream func(w *worker, c net.Conn, id string, last int) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, listener: l, store: s, record: record, stream: stream, startedAt: time.Now().UnixMilli()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, w.register("ready")
}

// register writes the worker's entry to the store.
func (w *worker) register(state string) error {
	w.mu.Lock()
	w.sequence++
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 8,
		"state": state, "cold_left_ms": 0, "seq": w.sequence, "born": w.startedAt,
	})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = w.store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "servers", Name: w.id}, Value: value}}})
	return err
}

// heartbeats writes the entries of workers each second until ctx ends.
func heartbeats(ctx context.Context, list ...*worker) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, w := range list {
				_ = w.register("ready")
			}
		}
	}
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Daisyslip-Attempt-Id")
		if expected := r.Header.Get("X-Daisyslip-Expect-Instance"); expected != "" && expected != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
			continue
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
		w.record.printf("worker %s runs %s, Last-Event-Id %q", w.id, id, r.Header.Get("Last-Event-Id"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Server-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.id)
		if !w.stream(w, c, id, last) {
			return
		}
	}
}

// event returns the bytes of the event n of the stream of a request.
func event(n int, id string) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

// chunk writes bytes as one chunk and reports whether that was possible.
func chunk(c net.Conn, text string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}
