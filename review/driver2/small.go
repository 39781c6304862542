//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"

	"daisyslip.dev/daisyslip/platform/standin"
)

// smallConfig has one route of commands, and the given tenants.
func smallConfig(version int64, tenants []standin.Tenant) standin.Config {
	return standin.Config{
		Version:  version,
		Routes:   []standin.Route{{Name: "switch", Host: host, Prefix: "/switch/", Kind: "non_idempotent", TimeoutMS: 1500, LatencyObjectiveMS: 300, Service: "app", MaxAttempts: 1}},
		Services: []standin.Service{{Name: "app", MaxConns: 96}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  tenants,
	}
}

// startSmall starts two workers of a service and one router.
func startSmall(dir string, config standin.Config) (*world, *router, error) {
	w, err := newWorld(dir, config)
	if err != nil {
		return w, nil, err
	}
	for i := range 2 {
		x := &worker{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: "zone-a", delay: 60 * time.Millisecond}
		x.ran = func(r *http.Request) {
			w.logf("worker %s runs request %s, tenant %q", x.id, r.Header.Get("X-Daisyslip-Attempt-Id"), r.Header.Get("X-Daisyslip-Tenant"))
		}
		if err := w.startWorker(x); err != nil {
			return w, nil, err
		}
	}
	r, err := w.startRouter("edge-zone-a-1", "zone-a", memoryMB)
	return w, r, err
}

// settled is how long after the acknowledgement of a configuration only that one is in force,
// whatever the bounds of the small sites excuse.
const settled = 10 * time.Second

// tenantsCase takes away the last tenant, or in calm only its key.
func tenantsCase(dir string) (int, error) {
	w, r, err := startSmall(dir, smallConfig(1, []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}}}))
	defer w.close()
	if err != nil {
		return cannot, err
	}
	c := &client{addr: r.callers}
	defer c.close()
	command := func(id, key string) answer {
		a := c.send(http.MethodPost, head(http.MethodPost, "/switch/7", id, key, 1500*time.Millisecond)+"Content-Length: 2\r\n\r\non", 3*time.Second)
		w.logf("client: request %s with key %q: %s", id, key, a)
		return a
	}
	const neverIssued = "never-issued-key"
	if a := command("before-1", apiKey); a.status != http.StatusOK {
		return cannot, fmt.Errorf("a request with a valid key got %s", a)
	}
	if a := command("before-2", neverIssued); a.status != http.StatusUnauthorized {
		return cannot, fmt.Errorf("a request with an unknown key got %s", a)
	}
	left := []standin.Tenant{}
	if !w.trouble {
		left = []standin.Tenant{{Name: tenant, APIKeys: []string{}}}
	}
	if err := w.putConfig(smallConfig(2, left)); err != nil {
		return cannot, err
	}
	time.Sleep(settled)
	ran := 0
	for i := range 5 {
		for _, key := range []string{neverIssued, apiKey} {
			id := fmt.Sprintf("after-%d-%.5s", i, key)
			command(id, key)
			for _, x := range w.workers {
				if x.hasRun(id) {
					ran++
				}
			}
		}
	}
	w.logf("end: %d of 10 requests ran with keys that the configuration does not hold", ran)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}
