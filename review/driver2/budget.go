//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

const (
	// prepaidTokens is what the tenant may consume. Each request has promptTokens and gets
	// outputTokens.
	prepaidTokens              = 20_000
	promptTokens, outputTokens = 100, 400
	budgetRequests             = 200
)

// stickyRoute is a route that carries requests to model engines.
type stickyRoute struct {
	standin.Route
	Sticky bool `json:"sticky"`
}

// budgetDocument is a configuration with sticky routes.
type budgetDocument struct {
	standin.Config
	Routes []stickyRoute `json:"routes"`
}

// budgetConfig has routes to model engines: one with streams, and the added ones.
func budgetConfig(version int64, added ...standin.Route) budgetDocument {
	prepaid := int64(prepaidTokens)
	d := budgetDocument{Config: standin.Config{
		Version:  version,
		Services: []standin.Service{{Name: "engines", MaxConns: 360, Engine: &standin.Engine{Stride: 4}}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}, Prepaid: &prepaid}},
	}}
	chat := standin.Route{Name: "chat", Host: host, Prefix: "/stream/chat/", Kind: "streaming", TimeoutMS: 15000, LatencyObjectiveMS: 400, GapObjectiveMS: 300, Service: "engines", MaxAttempts: 2, Resumable: true}
	for _, route := range append([]standin.Route{chat}, added...) {
		d.Routes = append(d.Routes, stickyRoute{Route: route, Sticky: true})
	}
	return d
}

// budgetCase adds a route to model engines and sends requests on it until the tenant's total must be
// exhausted. The route is one whose responses are whole bodies, or in calm one with streams.
func budgetCase(dir string) (int, error) {
	w, err := newWorld(dir, budgetConfig(1))
	defer w.close()
	if err != nil {
		return cannot, err
	}
	for i := range 3 {
		engine := &worker{
			id: fmt.Sprintf("i-engine-%d", i), service: "engines", zone: "zone-a", delay: 20 * time.Millisecond,
			events: outputTokens / 4, gap: time.Millisecond, text: strings.Repeat("token ", outputTokens),
		}
		if err := w.startWorker(engine); err != nil {
			return cannot, err
		}
	}
	r, err := w.startRouter("edge-zone-a-1", "zone-a", memoryMB)
	if err != nil {
		return cannot, err
	}
	path, kind := "/ask/", "idempotent"
	if !w.trouble {
		path, kind = "/stream/ask/", "streaming"
	}
	added := standin.Route{Name: "ask", Host: host, Prefix: path, Kind: kind, TimeoutMS: 5000, LatencyObjectiveMS: 400, GapObjectiveMS: 300, Service: "engines", MaxAttempts: 2}
	if err := w.putConfig(budgetConfig(2, added)); err != nil {
		return cannot, err
	}
	time.Sleep(settled)
	var clients sync.WaitGroup
	var mu sync.Mutex // guards the counts
	served, refused, output := 0, 0, 0
	for i := range 4 {
		clients.Go(func() {
			c := &client{addr: r.callers}
			defer c.close()
			for n := range budgetRequests / 4 {
				id := fmt.Sprintf("ask-%d-%d", i, n)
				a := c.send(http.MethodPost, head(http.MethodPost, path+"1", id, apiKey, 5*time.Second)+
					fmt.Sprintf("X-Daisyslip-Model: m\r\nX-Daisyslip-Token-Usage: %d,%d\r\nX-Daisyslip-Prefix-Hash: %08x:20,%08x:80\r\nContent-Length: 2\r\n\r\nhi", promptTokens, outputTokens, 7, i*1000+n), 5*time.Second)
				got := strings.Count(a.body, "token ") + 4*strings.Count(a.body, "data: ")
				mu.Lock()
				switch {
				case a.status == http.StatusOK && a.err == nil:
					served++
					output += got
				case a.status == http.StatusPaymentRequired:
					refused++
				}
				w.logf("client: request %s got status %d with %d output tokens, err %v; served %d, refused for lack of tokens %d", id, a.status, got, a.err, served, refused)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	consumed := served*promptTokens + output
	w.logf("end: %d requests served, %d refused with 402; consumed %d prompt and %d output tokens, %d in all, of %d prepaid", served, refused, served*promptTokens, output, consumed, prepaidTokens)
	switch {
	case served == 0:
		return cannot, errors.New("no request was served")
	case consumed > prepaidTokens:
		return broken, nil
	}
	return held, nil
}
