//go:build review2

package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It responds on paths with /stream/ with a stream of events,
// and otherwise with a text.
type worker struct {
	w                 *world
	id, service, zone string
	addr              string
	delay             time.Duration // before each response
	events            int
	gap               time.Duration // after each event
	text              string        // of responses that are no streams; empty for the id of the request
	server            *http.Server
	// work is how long the worker works on a request; it stops when the connection closes.
	work time.Duration
	// ran is called for each request that the worker runs, and ended at the end of its work. They
	// must not block.
	ran   func(r *http.Request)
	ended func(id string, whole bool)

	mu    sync.Mutex // guards the fields below
	state string
	seq   int64
	born  int64
	runs  map[string]int // by attempt id
}

// startWorker serves x on a loopback address and writes its row at each heartbeat.
func (w *world) startWorker(x *worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	x.w, x.addr, x.state, x.born, x.runs = w, listener.Addr().String(), "ready", time.Now().UnixMilli(), make(map[string]int)
	x.server = &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second}
	w.workers = append(w.workers, x)
	w.running.Go(func() { _ = x.server.Serve(listener) }) // it ends with close
	if err := x.register(); err != nil {
		return err
	}
	w.running.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-w.ctx.Done():
				return
			case <-ticker.C:
				_ = x.register() // the next one follows soon
			}
		}
	})
	return nil
}

// register writes the row of the worker.
func (x *worker) register() error {
	x.mu.Lock()
	x.seq++
	row := map[string]any{
		"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 64, "state": x.state,
		"cold_left_ms": 0, "seq": x.seq, "born": x.born,
	}
	x.mu.Unlock()
	return x.w.put("servers", x.id, row)
}

// hasRun reports whether the worker ran a request.
func (x *worker) hasRun(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[id] > 0
}

// ServeHTTP implements http.Handler.
func (x *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Daisyslip-Attempt-Id")
	header := out.Header()
	header.Set("X-Daisyslip-Attempt-Id", id)
	if expected := r.Header.Get("X-Daisyslip-Expect-Instance"); expected != "" && expected != x.id {
		header.Set("X-Daisyslip-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x.mu.Lock()
	x.runs[id]++
	x.mu.Unlock()
	if x.ran != nil {
		x.ran(r)
	}
	header.Set("X-Daisyslip-Server-Stamp", "stamp."+x.id)
	header.Set("X-Daisyslip-Instance-Load", "1,0,64")
	time.Sleep(x.delay)
	if x.work > 0 {
		whole := true
		select {
		case <-time.After(x.work):
		case <-r.Context().Done():
			whole = false
		}
		if x.ended != nil {
			x.ended(id, whole)
		}
		if !whole {
			return
		}
	}
	if !strings.Contains(r.URL.Path, "/stream/") {
		text := cmp.Or(x.text, "run "+id+" at "+x.id)
		header.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(out, text)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	for i := 1; i <= x.events; i++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: event %d of %s\n\n", i, i, id); err != nil || controller.Flush() != nil {
			return
		}
		time.Sleep(x.gap)
	}
}
