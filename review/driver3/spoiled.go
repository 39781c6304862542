//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// spoiling says how a faulty worker spoils an answer.
type spoiling struct {
	// The worker sends the event with the id spoiled instead of its own.
	event, spoiled int
	// joined has the event before it leave in the same segment.
	joined bool
	// resumable is that of the route.
	resumable bool
}

const (
	streamEvents = 8
	streamGap    = 40 * time.Millisecond
	streams      = 400
	streamStart  = 100 * time.Millisecond // between the starts of two streams
	// Of poolWorkers, faultyWorkers spoil one answer of spoiledOf: the largest dose of garble in
	// the site file, a share of 0.6 and 0.05 of the answers.
	poolWorkers   = 5
	faultyWorkers = 3
	spoiledOf     = 20
)

func streamConfig(resumable bool) standin.Config {
	attempts := 1
	if resumable {
		attempts = 2
	}
	return standin.Config{
		Version: 1,
		Routes: []standin.Route{{
			Name: "swap-chat", Host: standin.SampleHost, Prefix: "/chat/", Kind: "streaming", Resumable: resumable,
			TimeoutMS: 15000, LatencyObjectiveMS: 400, GapObjectiveMS: 250, Service: "pool", MaxAttempts: attempts,
		}},
		Services: []standin.Service{{Name: "pool", MaxConns: 360, Engine: &standin.Engine{Stride: 4}}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: "coop-7", APIKeys: []string{standin.SampleKey}}},
	}
}

// spoiledEvents has some workers spoil the id of one event in a few answers. The rule ORDER is
// broken if a caller's stream goes on without one of its pieces.
func spoiledEvents(sp spoiling) func(record *recorder, dir string, trouble bool) (broken bool, err error) {
	return func(record *recorder, dir string, trouble bool) (bool, error) {
		return playSpoiled(sp, record, dir, trouble)
	}
}

func playSpoiled(sp spoiling, record *recorder, dir string, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startStore()
	if err != nil {
		return false, err
	}
	if err := s.PutConfig(ctx, streamConfig(sp.resumable)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answers, spoiled := make(map[string]int), 0
	faulty := make(map[string]bool)
	stream := func(w *worker, c net.Conn, id string, last int) bool {
		mu.Lock()
		answers[w.id]++
		spoils := trouble && faulty[w.id] && answers[w.id]%spoiledOf == 0
		if spoils {
			spoiled++
		}
		mu.Unlock()
		for n := last + 1; n <= streamEvents; n++ {
			text, next := event(n, id), event(n+1, id)
			spoil := func(text string, n int) string {
				w.record.printf("worker %s sends event %d of %s with the id %d", w.id, n, id, sp.spoiled)
				return strings.Replace(text, fmt.Sprintf("id: %d", n), fmt.Sprintf("id: %d", sp.spoiled), 1)
			}
			switch {
			case spoils && sp.joined && n == sp.event-1:
				text += spoil(next, n+1)
				n++
			case spoils && n == sp.event:
				text = spoil(text, n)
			}
			if !chunk(c, text) {
				w.record.printf("worker %s: connection of %s closed by the router", w.id, id)
				return false
			}
			time.Sleep(streamGap)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	var workers []*worker
	for i := range poolWorkers {
		id := fmt.Sprintf("pool-%d", i+1)
		faulty[id] = i < faultyWorkers
		w, err := startWorker(s, record, id, "pool", stream)
		if err != nil {
			return false, err
		}
		defer w.listener.Close()
		workers = append(workers, w)
	}
	go heartbeats(ctx, workers...)
	r, err := startRouter(dir, s.listener.Addr().String(), "edge-1")
	if err != nil {
		return false, err
	}
	defer r.stop()
	time.Sleep(3500 * time.Millisecond) // contact_ms
	var running sync.WaitGroup
	wrong := make([]bool, streams)
	for i := range streams {
		running.Go(func() { wrong[i] = readStream(record, fmt.Sprintf("127.0.0.1:%d", r.port), fmt.Sprintf("chat-%d", i)) })
		time.Sleep(streamStart)
	}
	running.Wait()
	n := 0
	for _, w := range wrong {
		if w {
			n++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	record.printf("answers of the workers: %v, spoiled: %d", answers, spoiled)
	record.printf("%d of %d streams lack a piece", n, streams)
	return n > 0, nil
}

// readStream requests a stream and reports whether it went on without one of its pieces.
func readStream(record *recorder, addr, id string) (wrong bool) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		record.printf("caller of %s: %v", id, err)
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(c, "POST /chat/%s HTTP/1.1\r\nHost: %s\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Credential: %s\r\nX-Daisyslip-Deadline-Ms: 15000\r\n"+
		"X-Daisyslip-Model: m\r\nX-Daisyslip-Token-Usage: 600,32\r\nX-Daisyslip-Prefix-Hash: a1:500,%x:100\r\nContent-Length: 2\r\n\r\nhi", id, standin.SampleHost, id, standin.SampleKey, id)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		record.printf("caller of %s: no answer: %v", id, err)
		return false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	var ids, pieces []int
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "id:"); found {
			n, _ := strconv.Atoi(strings.TrimSpace(text))
			ids = append(ids, n)
		}
		if text, found := strings.CutPrefix(line, "data: piece "); found {
			number, _, _ := strings.Cut(text, " ")
			n, _ := strconv.Atoi(number)
			pieces = append(pieces, n)
		}
	}
	record.printf("caller of %s: status %d, ids %v, pieces %v, end of the stream: %v", id, response.StatusCode, ids, pieces, endOf(err))
	for i, n := range pieces {
		if n != i+1 {
			record.printf("ORDER: piece %d of %s is missing, the stream goes on with %d", i+1, id, n)
			return true
		}
	}
	if err == nil && len(pieces) != streamEvents {
		record.printf("ORDER: stream %s ends as complete after %d of %d pieces", id, len(pieces), streamEvents)
		return true
	}
	return false
}

func endOf(err error) string {
	if err == nil {
		return "complete"
	}
	return "broken off, " + err.Error()
}
