//go:build review2

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

const (
	// memoryMB is the memory of a VM of the small sites.
	memoryMB = 284
	// longPart is the length of the id of a prompt's last part, so that the head stays within
	// the 16,384 bytes that the configuration allows.
	longPart  = 15_800
	shortPart = 16
	// promptClients send requests with prompts at promptsPerSecond together, and plainClients
	// commands.
	promptClients, plainClients = 16, 12
	promptsPerSecond            = 300
	memoryCaseTime              = 90 * time.Second
	// allowedLosses is the number of requests that the rule LOST allows to be lost.
	allowedLosses = 3
)

// memoryConfig has a streaming route of model engines and a route of commands.
func memoryConfig() standin.Config {
	prepaid := int64(1 << 40)
	return standin.Config{
		Version: 1,
		Routes: []standin.Route{
			{Name: "chat", Host: host, Prefix: "/stream/", Kind: "streaming", TimeoutMS: 15000, LatencyObjectiveMS: 400, GapObjectiveMS: 300, Service: "engines", MaxAttempts: 2, Resumable: true},
			{Name: "switch", Host: host, Prefix: "/switch/", Kind: "non_idempotent", TimeoutMS: 1500, LatencyObjectiveMS: 300, Service: "app", MaxAttempts: 1},
		},
		Services: []standin.Service{{Name: "engines", MaxConns: 360, Engine: &standin.Engine{Stride: 4}}, {Name: "app", MaxConns: 96}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}, Prepaid: &prepaid}},
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // 0 once the process has ended
	for line := range bytes.Lines(data) {
		if value, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			kb, _ := strconv.ParseFloat(strings.Fields(string(value))[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// memoryCase sends legal requests whose prompts have a part with a long id, beside ordinary
// commands, until the router exceeds the memory of its VM.
func memoryCase(dir string) (int, error) {
	w, err := newWorld(dir, memoryConfig())
	defer w.close()
	if err != nil {
		return cannot, err
	}
	for i := range 3 {
		engine := &worker{id: fmt.Sprintf("i-engine-%d", i), service: "engines", zone: "zone-a", events: 4, gap: 2 * time.Millisecond}
		app := &worker{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: "zone-a", delay: 300 * time.Millisecond}
		if err := errors.Join(w.startWorker(engine), w.startWorker(app)); err != nil {
			return cannot, err
		}
	}
	r, err := w.startRouter("edge-zone-a-1", "zone-a", memoryMB)
	if err != nil {
		return cannot, err
	}
	part := strings.Repeat("a", shortPart)
	if w.trouble {
		part = strings.Repeat("a", longPart)
	}
	w.logf("prompt parts of %d digits", len(part))

	var clients sync.WaitGroup
	done := make(chan struct{})
	var prompts, promptsServed, plain, plainServed, lost atomic.Int64
	pace := make(chan struct{})
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / promptsPerSecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				close(pace)
				return
			case <-ticker.C:
			}
			select {
			case pace <- struct{}{}:
			default: // all clients wait for responses
			}
		}
	})
	for range promptClients {
		clients.Go(func() {
			c := &client{addr: r.callers}
			defer c.close()
			for range pace {
				n := prompts.Add(1)
				request := head(http.MethodPost, "/stream/chat", fmt.Sprintf("prompt-%d", n), apiKey, 5*time.Second) +
					fmt.Sprintf("X-Daisyslip-Model: m\r\nX-Daisyslip-Token-Usage: 600,16\r\nX-Daisyslip-Prefix-Hash: %08x:120,%s:480\r\nContent-Length: 2\r\n\r\nhi", n, part)
				if a := c.send(http.MethodPost, request, 5*time.Second); a.status == http.StatusOK && a.err == nil {
					promptsServed.Add(1)
				} else if errors.Is(a.err, errConnect) {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	ranAnywhere := func(id string) bool {
		for _, x := range w.workers {
			if x.hasRun(id) {
				return true
			}
		}
		return false
	}
	for i := range plainClients {
		clients.Go(func() {
			c := &client{addr: r.callers}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("command-%d-%d", i, n)
				a := c.send(http.MethodPost, head(http.MethodPost, "/switch/7", id, apiKey, 1500*time.Millisecond)+"Content-Length: 2\r\n\r\non", 3*time.Second)
				if errors.Is(a.err, errConnect) {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				plain.Add(1)
				if a.status == http.StatusOK && a.err == nil {
					plainServed.Add(1)
					continue
				}
				ran := ranAnywhere(id)
				w.logf("command %s on a kept connection %v, run by a worker %v: %s", id, a.kept, ran, a)
				if a.status == 0 && a.kept && ran {
					lost.Add(1)
				}
			}
		})
	}

	exceeded, peak := false, 0.0
	lastLog := time.Now()
	for end := time.Now().Add(memoryCaseTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mb := residentMB(r.pid())
		peak = max(peak, mb)
		if time.Since(lastLog) > 2*time.Second || mb > memoryMB {
			lastLog = time.Now()
			w.logf("prompts sent %d, served %d; commands sent %d, served %d; memory of the router %.0f MB", prompts.Load(), promptsServed.Load(), plain.Load(), plainServed.Load(), mb)
		}
		if mb > memoryMB {
			// DEPLOY.md: "A process that exceeds memory_mb is killed."
			w.logf("platform: memory of router %s is %.0f MB, above its %d MB: killed", r.name, mb, memoryMB)
			r.kill()
			exceeded = true
			break
		}
	}
	if exceeded {
		time.Sleep(500 * time.Millisecond)
		if err := r.start(); err != nil {
			return cannot, err
		}
		time.Sleep(2 * time.Second)
	}
	close(done)
	clients.Wait()
	w.logf("end: memory exceeded %v, peak %.0f MB, prompts served %d of %d, commands served %d of %d, commands that a worker ran and whose kept connection was closed without an answer: %d (allowed: %d)",
		exceeded, peak, promptsServed.Load(), prompts.Load(), plainServed.Load(), plain.Load(), lost.Load(), allowedLosses)
	switch {
	case promptsServed.Load() == 0 || plainServed.Load() == 0:
		return cannot, errors.New("no request was served")
	case lost.Load() > allowedLosses:
		return broken, nil
	}
	return held, nil
}
