//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

const (
	// leavers is the number of clients. Each sends a second request pipelineAfter its first one,
	// and closes its connection leaveAfter that.
	leavers       = 20
	pipelineAfter = 50 * time.Millisecond
	leaveAfter    = 300 * time.Millisecond
	// slowWork is how long a worker works on a request.
	slowWork = 1500 * time.Millisecond
	// goneSlack is the time that the rule GONE allows, and aFew a generous reading of its "few".
	goneSlack = 500 * time.Millisecond
	aFew      = 5
)

// goneConfig has one route of reads.
func goneConfig() standin.Config {
	c := smallConfig(1, []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}}})
	c.Routes[0] = standin.Route{Name: "read", Host: host, Prefix: "/read/", Kind: "idempotent", TimeoutMS: 5000, LatencyObjectiveMS: 3000, Service: "app", MaxAttempts: 2}
	return c
}

// goneCase sends two requests on each of some connections, the second before the response to the
// first, and closes these connections before any response. In calm the clients wait for both
// responses.
func goneCase(dir string) (int, error) {
	w, err := newWorld(dir, goneConfig())
	defer w.close()
	if err != nil {
		return cannot, err
	}
	var mu sync.Mutex // guards the times
	arrivedAt, endedAt, leftAt := make(map[string]time.Time), make(map[string]time.Time), make(map[string]time.Time)
	for i := range 3 {
		x := &worker{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: "zone-a", work: slowWork}
		x.ran = func(r *http.Request) {
			id := r.Header.Get("X-Daisyslip-Attempt-Id")
			w.logf("worker %s runs request %s", x.id, id)
			mu.Lock()
			defer mu.Unlock()
			arrivedAt[id] = time.Now()
		}
		x.ended = func(id string, whole bool) {
			w.logf("worker %s ends its run of request %s, complete %v", x.id, id, whole)
			mu.Lock()
			defer mu.Unlock()
			endedAt[id] = time.Now()
		}
		if err := w.startWorker(x); err != nil {
			return cannot, err
		}
	}
	r, err := w.startRouter("edge-zone-a-1", "zone-a", memoryMB)
	if err != nil {
		return cannot, err
	}
	var clients sync.WaitGroup
	answered := 0
	for i := range leavers {
		clients.Go(func() {
			conn, err := net.Dial("tcp", r.callers)
			if err != nil {
				return
			}
			defer conn.Close()
			first, second := fmt.Sprintf("read-%d-a", i), fmt.Sprintf("read-%d-b", i)
			if _, err := io.WriteString(conn, head(http.MethodGet, "/read/1", first, apiKey, 5*time.Second)+"\r\n"); err != nil {
				return
			}
			time.Sleep(pipelineAfter)
			if _, err := io.WriteString(conn, head(http.MethodGet, "/read/2", second, apiKey, 5*time.Second)+"\r\n"); err != nil {
				return
			}
			w.logf("client %d: sent requests %s and %s", i, first, second)
			if w.trouble {
				time.Sleep(leaveAfter)
				mu.Lock()
				leftAt[first], leftAt[second] = time.Now(), time.Now()
				mu.Unlock()
				_ = conn.Close()
				w.logf("client %d: closed its connection", i)
				return
			}
			_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
			reader := bufio.NewReader(conn)
			for range 2 {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					w.logf("client %d: %v", i, err)
					return
				}
				_, err = io.Copy(io.Discard, response.Body)
				w.logf("client %d: status %d, err %v", i, response.StatusCode, err)
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(leaveAfter + 3*slowWork)
	mu.Lock()
	defer mu.Unlock()
	late, atWork, long := 0, 0, 0
	for id, left := range leftAt {
		arrived, ran := arrivedAt[id]
		switch {
		case !ran:
		case arrived.Sub(left) > goneSlack:
			late++
		default:
			long++ // it would have lasted until arrived + slowWork
			if endedAt[id].Sub(left) > goneSlack {
				atWork++
			}
		}
	}
	w.logf("end: %d requests reached a worker over %v after their client had left (allowed: %d); of %d other runs %d went on for longer than that (allowed: a quarter); answered %d", late, goneSlack, aFew, long, atWork, answered)
	switch {
	case len(arrivedAt) == 0, !w.trouble && answered < 2*leavers:
		return cannot, errors.New("requests were not served")
	case late > aFew || 4*atWork > long:
		return broken, nil
	}
	return held, nil
}
