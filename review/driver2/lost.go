//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

const (
	// lostRequests are requests of the size of a rota-draft: draftPrompt tokens, and draftEvents
	// events of 4 tokens. Together they are 95 in 100 of the total.
	lostRequests             = 130
	draftPrompt, draftEvents = 9190, 13
	draftTokens              = draftPrompt + 4*draftEvents
	lostTotal                = lostRequests * draftTokens * 100 / 95
	// owedShare is the part of a total, in 100, into which a request must fit to be owed.
	owedShare = 97
	// beforeLoss is the number of requests before the machines are lost, and afterLoss how long
	// the new machines have been ready before the next request.
	beforeLoss = 50
	afterLoss  = 30 * time.Second
)

// lostConfig has one route of drafts and one tenant.
func lostConfig() standin.Config {
	total := int64(lostTotal)
	return standin.Config{
		Version:  1,
		Routes:   []standin.Route{{Name: "draft", Host: host, Prefix: "/stream/", Kind: "streaming", TimeoutMS: 5000, LatencyObjectiveMS: 500, GapObjectiveMS: 250, Service: "engines", MaxAttempts: 1}},
		Services: []standin.Service{{Name: "engines", MaxConns: 360, Engine: &standin.Engine{Stride: 4}}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}, Prepaid: &total}},
	}
}

// zones are the failure domains of the three machines.
var zones = []string{"mazatlan", "puerto-vallarta", "manzanillo"}

// lostCase replaces three machines for good by three others, or in calm keeps the machines, and
// sends requests until nearly all of the total is consumed.
func lostCase(dir string) (int, error) {
	w, err := newWorld(dir, lostConfig())
	defer w.close()
	if err != nil {
		return cannot, err
	}
	for i, zone := range zones {
		engine := &worker{id: fmt.Sprintf("i-engine-%d", i), service: "engines", zone: zone, events: draftEvents, gap: 5 * time.Millisecond}
		if err := w.startWorker(engine); err != nil {
			return cannot, err
		}
	}
	start := func(number int) ([]*router, error) {
		var list []*router
		for _, zone := range zones {
			r, err := w.startRouter(fmt.Sprintf("edge-%s-%d", zone, number), zone, memoryMB)
			if err != nil {
				return nil, err
			}
			list = append(list, r)
		}
		return list, nil
	}
	routers, err := start(1)
	if err != nil {
		return cannot, err
	}
	w.bootstrapped = true
	time.Sleep(4 * time.Second)
	consumed, denied, other, sent := 0, 0, 0, 0
	send := func(until int) {
		for ; sent < until; sent++ {
			for try := 0; ; try++ {
				r := routers[(sent+try)%len(routers)]
				c := &client{addr: r.callers}
				id := fmt.Sprintf("draft-%d-%d", sent, try)
				a := c.send(http.MethodPost, head(http.MethodPost, "/stream/draft", id, apiKey, 5*time.Second)+
					fmt.Sprintf("X-Daisyslip-Model: m\r\nX-Daisyslip-Token-Usage: %d,%d\r\nX-Daisyslip-Prefix-Hash: %08x:6300,%08x:2890\r\nContent-Length: 2\r\n\r\nhi", draftPrompt, 4*draftEvents, 7, sent), 5*time.Second)
				c.close()
				events := strings.Count(a.body, "data: ")
				w.logf("client: request %s at router %s: status %d, %d events, consumed before %d of %d", id, r.name, a.status, events, consumed, lostTotal)
				if a.status == http.StatusServiceUnavailable && try < 3 {
					time.Sleep(1200 * time.Millisecond) // beyond the Retry-After of a lack of tokens
					continue
				}
				switch {
				case a.status == http.StatusOK:
					consumed += draftPrompt + 4*events
				case a.status == http.StatusPaymentRequired && 100*(consumed+draftTokens) <= owedShare*lostTotal:
					denied++
				default:
					other++
				}
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	send(beforeLoss)
	if consumed == 0 {
		return cannot, errors.New("no request was served")
	}
	if w.trouble {
		time.Sleep(2 * time.Second)
		for _, r := range routers {
			r.kill()
		}
		w.logf("platform: all three machines are lost for good")
		if routers, err = start(2); err != nil {
			return cannot, err
		}
	}
	time.Sleep(afterLoss)
	send(lostRequests)
	allowed := 5 + lostRequests/500
	w.logf("end: %d requests, consumed %d of %d tokens (%d in 100), denied with 402 though they fit into %d in 100: %d (allowed: %d), other refusals %d", sent, consumed, lostTotal, 100*consumed/lostTotal, owedShare, denied, allowed, other)
	if denied > allowed {
		return broken, nil
	}
	return held, nil
}
