//go:build review3

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// Times of the case. Callers upload for uploadTime, the endpoint works for workTime, and the
// operator raises the timeout of the route from oldTimeout to newTimeout.
const (
	oldTimeout  = 1500 * time.Millisecond
	newTimeout  = 10 * time.Second
	uploadTime  = 1200 * time.Millisecond
	workTime    = 1500 * time.Millisecond
	configAfter = 600 * time.Millisecond
	callers     = 6
)

func timeoutConfig(version int64, timeout time.Duration) standin.Config {
	return standin.Config{
		Version: version,
		Routes: []standin.Route{{
			Name: "booking", Host: standin.SampleHost, Prefix: "/booking/", Kind: "non_idempotent",
			TimeoutMS: int(timeout.Milliseconds()), LatencyObjectiveMS: 300, Service: "app", MaxAttempts: 1,
		}},
		Services: []standin.Service{{Name: "app", MaxConns: 96}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []standin.Tenant{{Name: "coop-7", APIKeys: []string{standin.SampleKey}}},
	}
}

// raisedTimeout has callers upload requests while the operator raises the timeout of their route.
// The rule LOST is broken if a request that was passed on to the endpoint ends without an answer.
func raisedTimeout(record *recorder, dir string, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startStore()
	if err != nil {
		return false, err
	}
	if err := s.PutConfig(ctx, timeoutConfig(1, oldTimeout)); err != nil {
		return false, err
	}
	e, err := standin.StartEndpoint(s.Store, &standin.Endpoint{ID: "app-1", Service: "app", Delay: workTime})
	if err != nil {
		return false, err
	}
	defer e.Close()
	go keepRegistered(ctx, e)
	r, err := startRouter(dir, s.listener.Addr().String(), "edge-1")
	if err != nil {
		return false, err
	}
	defer r.stop()
	time.Sleep(3500 * time.Millisecond) // contact_ms
	broken = round(record, r, e, "first", func() {
		if !trouble {
			return
		}
		record.printf("operator sends configuration 2: timeout_ms %d instead of %d", newTimeout.Milliseconds(), oldTimeout.Milliseconds())
		if err := s.PutConfig(ctx, timeoutConfig(2, newTimeout)); err != nil {
			record.printf("configuration not written: %v", err)
			return
		}
		record.printf("store acknowledges configuration 2")
	})
	time.Sleep(4 * time.Second)
	// Beside a configuration, cuts count only if there are fewer at other times.
	if round(record, r, e, "second", func() {}) {
		return false, fmt.Errorf("requests were also cut at another time")
	}
	return broken, nil
}

// round has all callers upload a request each and reports whether one of them was passed on and
// ended without a complete answer.
func round(record *recorder, r *router, e *standin.Endpoint, name string, meanwhile func()) (broken bool) {
	var running sync.WaitGroup
	answers := make([]answer, callers)
	for i := range callers {
		id := fmt.Sprintf("%s-%d", name, i)
		record.printf("caller sends request %s, its body over %v", id, uploadTime)
		running.Go(func() {
			answers[i] = upload(fmt.Sprintf("127.0.0.1:%d", r.port), "/booking/"+id, id, newTimeout, strings.Repeat("swap ", 120), uploadTime)
			record.printf("caller of %s: %s", id, answers[i])
		})
	}
	time.Sleep(configAfter)
	meanwhile()
	running.Wait()
	ran := make(map[string]standin.Execution)
	for _, x := range e.Executions() {
		ran[x.ID] = x
	}
	for i := range callers {
		id := fmt.Sprintf("%s-%d", name, i)
		x, passedOn := ran[id]
		if !passedOn {
			record.printf("endpoint did not receive %s", id)
			continue
		}
		record.printf("endpoint ran %s, received at %.3f s with X-Daisyslip-Deadline-Ms %d", id, x.ReceivedAt.Sub(record.started).Seconds(), x.RemainingMS)
		// The request counts if its deadline, its timeout and seven tenths of its time are not reached.
		if !answers[i].complete && answers[i].took < newTimeout*7/10 {
			record.printf("LOST: %s was passed on and its connection ended without a complete answer after %.3f s of %v", id, answers[i].took.Seconds(), newTimeout)
			broken = true
		}
	}
	return broken
}
