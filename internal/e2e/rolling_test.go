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

// Parameters of the load during the rolling replacement.
const (
	rollingCallers       = 8
	rollingMaxTokens     = 60
	balancerPollInterval = 20 * time.Millisecond
)

// loadBalancer sends requests in turn to the routers whose readiness probe succeeds.
type loadBalancer struct {
	mu    sync.Mutex // guards the fields below
	ready []*router
	next  int
}

// pollReadiness polls a router's readiness probe until ctx ends.
func (b *loadBalancer) pollReadiness(ctx context.Context, r *router) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		resp, err := client.Get(r.Caller + "/readyz")
		if err == nil {
			resp.Body.Close()
		}
		b.setReady(r, err == nil && resp.StatusCode == http.StatusOK)
		time.Sleep(balancerPollInterval)
	}
}

// setReady adds the router to the ready routers or removes it.
func (b *loadBalancer) setReady(r *router, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, readyRouter := range b.ready {
		if readyRouter == r {
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

// pickRouter returns the next ready router, or nil if none is ready.
func (b *loadBalancer) pickRouter() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// isReady reports whether the router's last readiness probe succeeded.
func (b *loadBalancer) isReady(r *router) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, readyRouter := range b.ready {
		if readyRouter == r {
			return true
		}
	}
	return false
}

// streamCompletion requests a streamed completion from a ready router. It returns an
// error unless the status is 200 and the stream ends with its end marker.
func (b *loadBalancer) streamCompletion(ctx context.Context, requestID int) error {
	r := b.pickRouter()
	if r == nil {
		return fmt.Errorf("no router is ready for the request")
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Rota %d."}]}`, testModel, rollingMaxTokens, requestID)
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
		return fmt.Errorf("read the stream to its end: %w", err)
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return fmt.Errorf("incomplete response: status %d, last line %s", resp.StatusCode, lastLine(data))
	}
	return nil
}

// lastLine returns the last line of data that is not empty.
func lastLine(data []byte) string {
	last := ""
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	return last
}

// TestRollingReplacement replaces all three routers one after another under load.
// With SIGTERM, no caller may see a truncated stream or a refused connection. With
// SIGKILL, which stands for a stop without a drain, some callers must see one; this
// shows that the load detects such failures.
func TestRollingReplacement(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal syscall.Signal
		clean  bool
	}{{"drain", syscall.SIGTERM, true}, {"naive stop", syscall.SIGKILL, false}} {
		t.Run(c.name, func(t *testing.T) {
			completed, failures := replaceRoutersUnderLoad(t, c.signal)
			t.Logf("%d responses were complete, %d were not", completed, len(failures))
			assert.Assert(t, completed > 0)
			if c.clean {
				assert.Equal(t, len(failures), 0, "first: %v", failures)
				return
			}
			assert.Assert(t, len(failures) > 0)
		})
	}
}

// replaceRoutersUnderLoad replaces all routers under load, stopping each with the
// signal once its replacement is ready. It returns the number of complete responses
// and the errors of all other requests.
func replaceRoutersUnderLoad(t *testing.T, signal syscall.Signal) (int64, []error) {
	f := &fleet{t: t, readinessLag: "1s"}
	f.start(3, 2, 100_000_000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lb := &loadBalancer{}
	addToBalancer := func(r *router) {
		go lb.pollReadiness(ctx, r)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if lb.isReady(r) {
				return poll.Success()
			}
			return poll.Continue("not ready")
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(balancerPollInterval))
	}
	for _, r := range f.routers {
		addToBalancer(r)
	}
	var completed atomic.Int64
	var mu sync.Mutex // guards failures
	var failures []error
	var callers sync.WaitGroup
	var stop atomic.Bool
	for i := range rollingCallers {
		callers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				if err := lb.streamCompletion(ctx, i*100_000+n); err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
					continue
				}
				completed.Add(1)
			}
		})
	}
	for _, old := range f.routers[:3] {
		addToBalancer(f.addRouter())
		old.signal(signal)
		code := old.wait()
		if signal == syscall.SIGTERM {
			assert.Equal(t, code, 0)
		}
	}
	stop.Store(true)
	callers.Wait()
	return completed.Load(), failures
}
