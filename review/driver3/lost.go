//go:build review3

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// Sizes and times of the case. All requests are of the mean size of a rota-draft, and together they
// use usedPercent of the prepaid total.
const (
	lostRequests  = 130
	promptTokens  = 2890 + 2520 + 3780
	answerEvents  = 13
	requestTokens = promptTokens + 4*answerEvents
	usedPercent   = 95
	prepaidTotal  = lostRequests * requestTokens * 100 / usedPercent
	// owedPercent is the part of the total into which a request must fit, at its most, to be owed.
	owedPercent = 97
	// The machines are lost quietAfter after the response of the last of beforeLoss requests, and
	// the next request is sent once the new machines have been ready for joinedFor.
	beforeLoss = 50
	quietAfter = 2 * time.Second
	joinedFor  = 30 * time.Second
	// A request that got 503 is sent again at another router, beyond the Retry-After that it names.
	draftTries   = 4
	draftPause   = 1200 * time.Millisecond
	draftGap     = 50 * time.Millisecond
	draftTimeout = 5 * time.Second
)

// siteZones has the zones of turnos-daisyslip with their numbers of edge machines.
var siteZones = []struct {
	name     string
	machines int
	lost     bool
}{{"mazatlan", 2, true}, {"puerto-vallarta", 3, true}, {"manzanillo", 1, false}}

func lostConfig() standin.Config {
	total := int64(prepaidTotal)
	return standin.Config{
		Version: 1,
		Routes: []standin.Route{{
			Name: "draft", Host: standin.SampleHost, Prefix: "/stream/", Kind: "streaming", TimeoutMS: int(draftTimeout.Milliseconds()),
			LatencyObjectiveMS: 500, GapObjectiveMS: 250, Service: "engines", MaxAttempts: 1,
		}},
		Services: []standin.Service{{Name: "engines", MaxConns: 360, Engine: &standin.Engine{Stride: 4}}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: "coop-7", APIKeys: []string{standin.SampleKey}, Prepaid: &total}},
	}
}

// startEdge starts a machine of a zone. The first ones of the deployment have bootstrap set.
func startEdge(dir, storeAddr, vm, zone string, bootstrap bool) (*router, error) {
	return startRouterWith(dir, vm, func(port int) string {
		text := standin.SettingsFile(storeAddr, vm, port)
		text = strings.Replace(text, `zone = "zone-a"`, fmt.Sprintf("zone = %q", zone), 1)
		return strings.Replace(text, "bootstrap = true", fmt.Sprintf("bootstrap = %t", bootstrap), 1)
	})
}

// lostZones has all machines of two of the three zones lost for good, starts as many others in their
// place, and sends requests until nearly all of the total is used. The rule DENIED is broken if more
// than 5 + one in 500 of all requests get a 402 though they fit into 97 in 100 of the total.
func lostZones(record *recorder, dir string, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startStore()
	if err != nil {
		return false, err
	}
	if err := s.PutConfig(ctx, lostConfig()); err != nil {
		return false, err
	}
	record.printf("operator sends configuration 1: coop-7 has %d prepaid tokens", prepaidTotal)
	var list []*worker
	for i := range 3 {
		w, err := startWorker(s, record, fmt.Sprintf("engine-%d", i), "engines", wholeStream)
		if err != nil {
			return false, err
		}
		list = append(list, w)
	}
	go heartbeats(ctx, list...)

	var staying, lost []*router
	defer func() {
		for _, r := range append(staying, lost...) {
			r.stop()
		}
	}()
	for _, zone := range siteZones {
		for i := range zone.machines {
			r, err := startEdge(dir, s.listener.Addr().String(), fmt.Sprintf("edge-%s-%d", zone.name, i), zone.name, true)
			if err != nil {
				return false, err
			}
			if zone.lost {
				lost = append(lost, r)
			} else {
				staying = append(staying, r)
			}
		}
	}
	record.printf("%d routers are ready", len(staying)+len(lost))
	time.Sleep(4 * time.Second) // beyond contact_ms

	d := &drafts{record: record}
	d.send(append(append([]*router(nil), staying...), lost...), beforeLoss)
	if d.served != beforeLoss {
		return false, errors.New("not all requests before the loss were served")
	}
	routers := append([]*router(nil), staying...)
	if trouble {
		time.Sleep(quietAfter)
		for _, r := range lost {
			_ = r.cmd.Process.Kill()
		}
		for _, r := range lost {
			r.stop()
		}
		record.printf("all %d machines of two zones are lost for good, no request is open", len(lost))
		lost = nil
		for _, zone := range siteZones {
			for i := range zone.machines {
				if !zone.lost {
					continue
				}
				r, err := startEdge(dir, s.listener.Addr().String(), fmt.Sprintf("edge-%s-new-%d", zone.name, i), zone.name, false)
				if err != nil {
					return false, err
				}
				staying = append(staying, r)
				routers = append(routers, r)
			}
		}
		record.printf("%d routers are ready, the new ones at other addresses", len(routers))
	} else {
		routers = append(routers, lost...)
	}
	time.Sleep(joinedFor)
	d.send(routers, lostRequests)
	allowed := 5 + lostRequests/500
	record.printf("%d requests, %d served, used %d of %d tokens (%d in 100); denied with 402 though they fit into %d in 100: %d (allowed %d); other failures %d",
		d.sent, d.served, d.used, prepaidTotal, 100*d.used/prepaidTotal, owedPercent, d.denied, allowed, d.other)
	return d.denied > allowed, nil
}

// wholeStream writes all events of a stream and its regular end.
func wholeStream(_ *worker, c net.Conn, id string, _ int) bool {
	for n := 1; n <= answerEvents; n++ {
		if !chunk(c, event(n, id)) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return chunk(c, "")
}

// drafts counts requests by what their callers saw.
type drafts struct {
	record                            *recorder
	sent, served, used, denied, other int
}

// send sends requests to routers in turn, one after the other, until so many have been sent.
func (d *drafts) send(routers []*router, until int) {
	for ; d.sent < until; d.sent++ {
		for try := range draftTries {
			r := routers[(d.sent+try)%len(routers)]
			id := fmt.Sprintf("draft-%d-%d", d.sent, try)
			a := draft(fmt.Sprintf("127.0.0.1:%d", r.port), id, d.sent)
			events := strings.Count(a.body, "data: ")
			d.record.printf("caller of %s at port %d: status %d, %d events, whole %t; used before %d", id, r.port, a.status, events, a.complete, d.used)
			if a.status == http.StatusServiceUnavailable && try < draftTries-1 {
				time.Sleep(draftPause)
				continue
			}
			switch {
			case a.status == http.StatusOK && a.complete:
				d.served++
				d.used += promptTokens + 4*events
			case a.status == http.StatusPaymentRequired && 100*(d.used+requestTokens) <= owedPercent*prepaidTotal:
				d.denied++
			default:
				d.other++
				if a.status == http.StatusOK {
					d.used += promptTokens + 4*events
				}
			}
			break
		}
		time.Sleep(draftGap)
	}
}

// draft sends a request of promptTokens that announces its size, and reads the stream.
func draft(addr, id string, number int) answer {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(draftTimeout + time.Second))
	fmt.Fprintf(c, "POST /stream/draft HTTP/1.1\r\nHost: %s\r\nX-Daisyslip-Attempt-Id: %s\r\nX-Daisyslip-Credential: %s\r\nX-Daisyslip-Deadline-Ms: %d\r\n"+
		"X-Daisyslip-Model: m\r\nX-Daisyslip-Token-Usage: %d,%d\r\nX-Daisyslip-Prefix-Hash: %08x:6300,%08x:2890\r\nContent-Length: 2\r\n\r\nhi",
		standin.SampleHost, id, standin.SampleKey, draftTimeout.Milliseconds(), promptTokens, 4*answerEvents, 7, number)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(data), complete: err == nil, err: err}
}
