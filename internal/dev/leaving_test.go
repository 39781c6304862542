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
	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/standin"
)

// engineVM is the VM of the engine that becomes leaving.
const engineVM = "engine-vm-1"

// startFleetWithUnpeeredRouter starts a fleet whose last router has no peer link, so that
// it receives no updates once the platform is unreachable for it.
func startFleetWithUnpeeredRouter(t *testing.T) *Fleet {
	t.Helper()
	o := DefaultOptions()
	f := &Fleet{Platform: standin.NewPlatform(), Service: standin.NewService(ServiceName, true)}
	t.Cleanup(func() { f.Close() }) // error ignored: the last router cannot return its grant
	assert.NilError(t, f.startStandins(o))
	ctx, stop := context.WithCancel(context.Background())
	f.stopDaemons, f.daemonResults = stop, make(chan error, o.Routers)
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
		go func() { f.daemonResults <- d.Run(ctx) }()
	}
	f.info.Operator = f.info.Operators[0]
	assert.NilError(t, f.configure(t.Context(), o))
	assert.NilError(t, f.waitReady(t.Context()))
	f.putFirstEngine(t, false)
	return f
}

// putFirstEngine replaces the first engine in the configuration, as leaving or not.
func (f *Fleet) putFirstEngine(t *testing.T, leaving bool) {
	t.Helper()
	c := client.New(f.info.Operator, OperatorToken, "test")
	document, err := c.Config(t.Context())
	assert.NilError(t, err)
	e := catalog.Endpoint{URL: f.info.Endpoints[0], Labels: map[string]string{"role": "engine"}, Models: []string{ModelName}, VM: engineVM, Leaving: leaving}
	_, err = c.Commit(t.Context(), fleetconfig.Change{Base: document.Revision, Ops: []fleetconfig.Op{putOp(fleetconfig.KindEndpoint, "engine-1", e)}})
	assert.NilError(t, err)
}

// sendUntilDone sends short requests to every router until ctx ends, and returns the
// number of responses with status 200 of each router.
func (f *Fleet) sendUntilDone(ctx context.Context) []int64 {
	completed := make([]atomic.Int64, len(f.info.Routers))
	var senders sync.WaitGroup
	for i, url := range f.info.Routers {
		for sender := range 2 {
			senders.Go(func() {
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
							completed[i].Add(1)
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	senders.Wait()
	counts := make([]int64, len(completed))
	for i := range completed {
		counts[i] = completed[i].Load()
	}
	return counts
}

// TestMeasureLeavingToLastRequest prints the time from the moment at which an engine
// becomes leaving to the start of the last request that it receives, for each way in
// which routers can learn of it.
func TestMeasureLeavingToLastRequest(t *testing.T) {
	if os.Getenv("DAISYSLIP_MEASURE") == "" {
		t.Log("set DAISYSLIP_MEASURE=1 to measure")
		return
	}
	for _, test := range []struct {
		name   string
		outage bool
		leave  func(f *Fleet)
	}{
		{"marked in the configuration", false, func(f *Fleet) { f.putFirstEngine(t, true) }},
		{"marked, one router cut off from platform and peers", true, func(f *Fleet) { f.putFirstEngine(t, true) }},
		{"listed by the platform", false, func(f *Fleet) {
			f.Platform.Store.SetVMs([]platform.VM{{ID: engineVM, State: platform.VMLeaving}})
		}},
		{"its own report", false, func(f *Fleet) { f.Engines[0].SetFaults(standin.EngineFaults{Leaving: true}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var latest time.Duration
			var completed []int64
			const runs = 5
			for range runs {
				f := startFleetWithUnpeeredRouter(t)
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				counts := make(chan []int64, 1)
				go func() { counts <- f.sendUntilDone(ctx) }()
				time.Sleep(2 * time.Second)
				f.Platform.SetFaults("entry-3", memory.Faults{Outage: test.outage})
				time.Sleep(time.Second)
				before := len(f.Engines[0].Records())
				assert.Assert(t, before > 0)
				leavingAt := time.Now()
				test.leave(f)
				completed = <-counts
				cancel()
				for _, r := range f.Engines[0].Records()[before:] {
					latest = max(latest, r.StartedAt.Sub(leavingAt))
				}
			}
			t.Logf("%s: last new request after %s at the latest of %d runs; requests completed by each router in the last run: %v", test.name, latest.Round(time.Millisecond), runs, completed)
		})
	}
}
