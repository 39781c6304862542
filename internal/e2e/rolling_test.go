package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"daisyslip.dev/daisyslip/internal/engine"
)

// Load of the rolling replacement.
const (
	rollingCallers = 8
	rollingTokens  = 60
	balancerPoll   = 20 * time.Millisecond
)

// balancer sends requests to the routers that say that they are ready.
type balancer struct {
	mu    sync.Mutex // guards all below
	ready []*router
	next  int
}

// watch polls a router until ctx ends.
func (b *balancer) watch(ctx context.Context, r *router) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		resp, err := client.Get(r.Caller + "/readyz")
		if err == nil {
			resp.Body.Close()
		}
		b.set(r, err == nil && resp.StatusCode == http.StatusOK)
		time.Sleep(balancerPoll)
	}
}

func (b *balancer) set(r *router, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, known := range b.ready {
		if known == r {
			if !ready {
				b.ready = append(b.ready[:i:i], b.ready[i+1:]...)
			}
			return
		}
	}
	if ready {
		b.ready = append(b.ready, r)
	}
}

func (b *balancer) pick() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) has(r *router) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, known := range b.ready {
		if known == r {
			return true
		}
	}
	return false
}

// stream asks for a streamed completion and reports what was wrong with it.
func (b *balancer) stream(ctx context.Context, id int) error {
	r := b.pick()
	if r == nil {
		return fmt.Errorf("no router is ready")
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Rota %d."}]}`, testModel, rollingTokens, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.Caller+engine.PathChat, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("cut stream: %w", err)
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return fmt.Errorf("status %d: %s", resp.StatusCode, lastLine(data))
	}
	return nil
}

func lastLine(data []byte) string {
	last := ""
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	return last
}

// TestRollingReplacement replaces all three routers, one after another, under
// load. With SIGTERM no caller sees a cut stream or a refused connection;
// with SIGKILL, which stands for a stop without a drain, some do.
func TestRollingReplacement(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal syscall.Signal
		clean  bool
	}{{"drain", syscall.SIGTERM, true}, {"naive stop", syscall.SIGKILL, false}} {
		t.Run(c.name, func(t *testing.T) {
			served, failures := replaceAll(t, c.signal)
			t.Logf("%d answers were whole, %d were not", served, len(failures))
			assert.Assert(t, served > 0)
			if c.clean {
				assert.Equal(t, len(failures), 0, "first: %v", failures)
				return
			}
			assert.Assert(t, len(failures) > 0)
		})
	}
}

// replaceAll replaces all routers under load and returns how many answers
// were whole and what was wrong with the others.
func replaceAll(t *testing.T, signal syscall.Signal) (int64, []error) {
	f := &fleet{t: t, readinessLag: "1s"}
	f.start(3, 2, 100_000_000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lb := &balancer{}
	add := func(r *router) {
		go lb.watch(ctx, r)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if lb.has(r) {
				return poll.Success()
			}
			return poll.Continue("not ready")
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(balancerPoll))
	}
	for _, r := range f.routers {
		add(r)
	}
	var served atomic.Int64
	var mu sync.Mutex // guards failures
	var failures []error
	var callers sync.WaitGroup
	var stop atomic.Bool
	for i := range rollingCallers {
		callers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				if err := lb.stream(ctx, i*100_000+n); err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
					continue
				}
				served.Add(1)
			}
		})
	}
	for _, old := range f.routers[:3] {
		add(f.addRouter())
		old.signal(signal)
		code := old.wait()
		if signal == syscall.SIGTERM {
			assert.Equal(t, code, 0)
		}
	}
	stop.Store(true)
	callers.Wait()
	return served.Load(), failures
}
