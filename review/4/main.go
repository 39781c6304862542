//go:build review

// A machine of the fleet is lost for good and replaced. The tenant must still get what it
// has prepaid.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
	"daisyslip.dev/daisyslip/review/lab"
)

// The requests are those of the site's class rota-draft.
const (
	promptTokens    = 9190
	maxOutputTokens = 208
	events          = 13
	tokensPerEvent  = 4
	usedTokens      = promptTokens + events*tokensPerEvent
	requests        = 130
	interval        = 250 * time.Millisecond
	deadline        = 5 * time.Second
	lostAfter       = 43 // requests
	lost            = 1  // machines, of three
	// All requests together use 96 in 100 of the total.
	prepaid = int64(requests * usedTokens * 100 / 96)
	contact = 3 * time.Second
	settle  = 1500 * time.Millisecond // settle_ms
	// owedShare is the part of the total into which a request must fit to be owed.
	owedShare = 0.97
	// allowed is how many proper requests may be denied: 5 and one in 500.
	allowed = 5 + requests/500
)

func main() { lab.Main(run) }

// ledger is what the tenant has consumed, as the clients have seen it.
type ledger struct {
	mu     sync.Mutex
	closed int64            // tokens of requests that ended more than settle ago
	open   map[string]int64 // the most tokens of the others
	used   map[string]int64 // what those among them that have ended used
	endsAt map[string]time.Time
}

// most returns the most that the tenant can have consumed by now.
func (b *ledger) most() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, at := range b.endsAt {
		if time.Since(at) > settle {
			b.closed += b.used[id]
			delete(b.open, id)
			delete(b.endsAt, id)
		}
	}
	sum := b.closed
	for _, tokens := range b.open {
		sum += tokens
	}
	return sum
}

func (b *ledger) begin(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[id] = promptTokens + maxOutputTokens
}

func (b *ledger) end(id string, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[id], b.endsAt[id] = used, time.Now()
}

func run(l *lab.Lab) error {
	total := prepaid
	err := l.Configure(standin.Config{
		Version: 4,
		Routes: []standin.Route{{Name: "rota-draft", Host: lab.Host, Prefix: "/draft/", Kind: "streaming", TimeoutMS: 5000, LatencyObjectiveMS: 500,
			GapObjectiveMS: 250, Service: "daisyslip-pool", MaxAttempts: 1}},
		Services: []standin.Service{{Name: "daisyslip-pool", MaxConns: 360, Engine: &standin.Engine{Stride: tokensPerEvent}}},
		Limits:   lab.Limits(),
		Tenants:  []standin.Tenant{{Name: lab.Tenant, APIKeys: []string{lab.Key}, Prepaid: &total}},
	})
	if err != nil {
		return err
	}
	l.Printf("the tenant has prepaid %d tokens, %d requests of %d tokens are to come", prepaid, requests, usedTokens)
	for i := range 3 {
		if err := l.StartWorker(&lab.Worker{ID: fmt.Sprintf("i-%d", i), Service: "daisyslip-pool", Slots: 64, Handle: stream}); err != nil {
			return err
		}
	}
	fleet, err := startFleet(l, "edge-1")
	if err != nil {
		return err
	}
	time.Sleep(contact)
	book := &ledger{open: make(map[string]int64), used: make(map[string]int64), endsAt: make(map[string]time.Time)}
	var mu sync.Mutex // guards denied
	denied := 0
	var clients sync.WaitGroup
	next := time.Now()
	for i := range requests {
		if l.Trouble && i == lostAfter {
			clients.Wait() // nothing is in flight when the machine is lost
			time.Sleep(settle)
			if fleet, err = replace(l, fleet); err != nil {
				return err
			}
			next = time.Now()
		}
		time.Sleep(time.Until(next))
		next = next.Add(interval)
		id, router := fmt.Sprintf("request-%d", i), fleet[i%len(fleet)]
		clients.Go(func() {
			before := book.most()
			book.begin(id)
			got := lab.Ask(router.Callers, http.MethodPost, "/draft/7", id, deadline, []byte("draft"), "X-Daisyslip-Model: m",
				fmt.Sprintf("X-Daisyslip-Token-Usage: %d,%d", promptTokens, maxOutputTokens), "X-Daisyslip-Prefix-Hash: 5c1e07a2:6300,"+fmt.Sprintf("%08x", i)+":2890")
			used := int64(0)
			if got.Status == http.StatusOK {
				used = usedTokens
			}
			book.end(id, used)
			l.Printf("client gets for request %s from %s: status %d, %d bytes, error %v; consumed before at most %d of %d", id, router.Name, got.Status, len(got.Body), got.Err, before, prepaid)
			if got.Status == http.StatusPaymentRequired && float64(before+promptTokens+maxOutputTokens) <= owedShare*float64(prepaid) {
				mu.Lock()
				denied++
				mu.Unlock()
				l.Printf("request %s is denied though %d tokens are left", id, prepaid-before)
			}
		})
	}
	clients.Wait()
	l.Printf("%d of %d requests were denied though they fit into %.2f of the total, %d are allowed; consumed %d of %d", denied, requests, owedShare, allowed, book.most(), prepaid)
	if denied > allowed {
		l.Broken("%d requests were denied with 402 though the tenant had prepaid them; it has consumed %d of %d tokens", denied, book.most(), prepaid)
	}
	return nil
}

// startFleet starts one router in each zone.
func startFleet(l *lab.Lab, prefix string) ([]*lab.Router, error) {
	var fleet []*lab.Router
	for _, zone := range lab.Zones {
		r, err := l.NewRouter(prefix+"-"+zone, zone)
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, r)
	}
	return fleet, nil
}

// replace ends the first lost machines of the fleet without notice and starts others at
// new addresses. It returns once these are in touch.
func replace(l *lab.Lab, fleet []*lab.Router) ([]*lab.Router, error) {
	for i, r := range fleet[:lost] {
		l.Printf("%s loses power and does not come back", r.Name)
		r.Kill()
		replaced, err := l.NewRouter("edge-2-"+lab.Zones[i], lab.Zones[i])
		if err != nil {
			return nil, err
		}
		fleet[i] = replaced
	}
	time.Sleep(contact)
	return fleet, nil
}

// stream answers with a stream of events.
func stream(w *lab.Worker, r *lab.Received) error {
	w.Runs(r)
	head := "HTTP/1.1 200 OK\r\nX-Daisyslip-Attempt-Id: " + r.ID + "\r\nX-Daisyslip-Server-Stamp: " + w.Stamp() +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := r.Conn.Write([]byte(head)); err != nil {
		return err
	}
	for i := 1; i <= events; i++ {
		time.Sleep(10 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if _, err := fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	_, err := r.Conn.Write([]byte("0\r\n\r\n"))
	return err
}
