package dev

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/standin"
)

// engineVM is the VM of the engine that leaves.
const engineVM = "engine-vm-1"

// startApart starts a fleet whose last router has no peer link, so that it
// hears of nothing once the platform is away for it.
func startApart(t *testing.T) *Fleet {
	t.Helper()
	o := DefaultOptions()
	f := &Fleet{Platform: standin.NewPlatform(), Service: standin.NewService(ServiceName, true)}
	t.Cleanup(func() { f.Close() }) // the last router cannot return its grant
	assert.NilError(t, f.startStandins(o))
	ctx, stop := context.WithCancel(context.Background())
	f.stop, f.done = stop, make(chan error, o.Routers)
	for i := range o.Routers {
		s := RouterSettings(i, f.info.Platform)
		s.Drain.Timeout = time.Second
		if i == o.Routers-1 {
			s.Peer.Listen = ""
		}
		d := daemon.New(s, slog.New(slog.DiscardHandler))
		assert.NilError(t, d.Provision())
		f.daemons = append(f.daemons, d)
		f.info.Routers = append(f.info.Routers, d.Addresses().Caller)
		f.info.Operators = append(f.info.Operators, d.Addresses().Operator)
		go func() { f.done <- d.Run(ctx) }()
	}
	f.info.Operator = f.info.Operators[0]
	assert.NilError(t, f.configure(t.Context(), o))
	assert.NilError(t, f.waitReady(t.Context()))
	f.putEngine(t, false)
	return f
}

// putEngine writes the first engine's entry anew.
func (f *Fleet) putEngine(t *testing.T, leaving bool) {
	t.Helper()
	c := client.New(f.info.Operator, OperatorToken, "test")
	document, err := c.Config(t.Context())
	assert.NilError(t, err)
	e := catalog.Endpoint{URL: f.info.Endpoints[0], Labels: map[string]string{"role": "engine"}, Models: []string{ModelName}, VM: engineVM, Leaving: leaving}
	_, err = c.Commit(t.Context(), conf.Change{Base: document.Revision, Ops: []conf.Op{op(conf.KindEndpoint, "engine-1", e)}})
	assert.NilError(t, err)
}

// load sends short requests to every router until ctx ends, and returns how
// many were answered by each.
func (f *Fleet) load(ctx context.Context) []int64 {
	answered := make([]atomic.Int64, len(f.info.Routers))
	var all sync.WaitGroup
	for i, url := range f.info.Routers {
		for sender := range 2 {
			all.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"%d %d %d"}]}`, ModelName, i, sender, n)
					req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
					if err != nil {
						return
					}
					req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
					if resp, err := http.DefaultClient.Do(req); err == nil {
						resp.Body.Close()
						if resp.StatusCode == http.StatusOK {
							answered[i].Add(1)
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	counts := make([]int64, len(answered))
	for i := range answered {
		counts[i] = answered[i].Load()
	}
	return counts
}

// TestMeasureLeavingToLastRequest prints the time from the moment an engine
// is leaving to the last request that it begins.
func TestMeasureLeavingToLastRequest(t *testing.T) {
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return
	}
	for _, test := range []struct {
		name  string
		cut   bool
		leave func(f *Fleet)
	}{
		{"marked in the configuration", false, func(f *Fleet) { f.putEngine(t, true) }},
		{"marked, one router cut off from platform and peers", true, func(f *Fleet) { f.putEngine(t, true) }},
		{"listed by the platform", false, func(f *Fleet) {
			f.Platform.Store.SetVMs([]platform.VM{{ID: engineVM, State: platform.VMLeaving}})
		}},
		{"its own report", false, func(f *Fleet) { f.Engines[0].SetFaults(standin.EngineFaults{Leaving: true}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var worst time.Duration
			var answered []int64
			const runs = 5
			for range runs {
				f := startApart(t)
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				done := make(chan []int64, 1)
				go func() { done <- f.load(ctx) }()
				time.Sleep(2 * time.Second)
				f.Platform.SetFaults("entry-3", memory.Faults{Outage: test.cut})
				time.Sleep(time.Second)
				before := len(f.Engines[0].Records())
				assert.Assert(t, before > 0)
				left := time.Now()
				test.leave(f)
				answered = <-done
				cancel()
				for _, r := range f.Engines[0].Records()[before:] {
					worst = max(worst, r.StartedAt.Sub(left))
				}
			}
			t.Logf("%s: last new request after %s at the latest of %d runs; answered by each router in the last run: %v", test.name, worst.Round(time.Millisecond), runs, answered)
		})
	}
}
