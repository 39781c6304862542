package delivery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/once"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/calls"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/requests"
)

// naiveCaller holds what the naive implementations of requests.CallRunner share. Each of
// them lacks a property that prevents a second execution.
type naiveCaller struct {
	testbed *testbed
	store   platform.Table
}

// send sends a call to the testbed's first endpoint with a plain HTTP client.
func (n *naiveCaller) send(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	url := n.testbed.document.Endpoints[0].URL + c.Path
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Header = c.Header.Clone()
	req.Header.Set(engine.RequestIDHeader, c.RequestID)
	resp, err := n.testbed.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return &requests.Response{Status: resp.StatusCode, Body: body}, err
}

// putIfVersion writes a row if it has the given version; 0 means that it does not
// exist.
func (n *naiveCaller) putIfVersion(ctx context.Context, key string, version int64, value []byte) error {
	_, err := n.store.Commit(ctx, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	return err
}

// naiveSend sends a call and writes no record.
type naiveSend struct{ naiveCaller }

// Call implements requests.CallRunner.
func (n *naiveSend) Call(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	return n.send(ctx, c)
}

// naiveRetry sends a call up to three times until one attempt succeeds.
type naiveRetry struct{ naiveCaller }

// Call implements requests.CallRunner.
func (n *naiveRetry) Call(ctx context.Context, c *requests.Call) (response *requests.Response, err error) {
	for range 3 {
		if response, err = n.send(ctx, c); err == nil {
			return response, nil
		}
	}
	return nil, err
}

// naiveCheck reads whether the call has executed, sends it if not, and writes a record
// afterwards. Two concurrent calls can both find no record.
type naiveCheck struct {
	naiveCaller
	// pause simulates the pause of the process between the check and the send.
	pause func()
}

// Call implements requests.CallRunner.
func (n *naiveCheck) Call(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	rows, err := n.store.Get(ctx, "naive/"+c.IdempotencyKey)
	if err != nil {
		return nil, err
	}
	if rows[0].Version > 0 {
		return &requests.Response{Status: http.StatusOK, Body: rows[0].Value}, nil
	}
	n.pause()
	response, err := n.send(ctx, c)
	if err != nil {
		return nil, err
	}
	return response, n.putIfVersion(ctx, "naive/"+c.IdempotencyKey, 0, response.Body)
}

// naiveInsert inserts a record before it sends the call. It takes a lost response for a
// failed insertion, so a call whose record was inserted may never be sent.
type naiveInsert struct{ naiveCaller }

// Call implements requests.CallRunner.
func (n *naiveInsert) Call(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	if err := n.putIfVersion(ctx, "naive/"+c.IdempotencyKey, 0, []byte("claimed")); err != nil {
		return nil, err
	}
	return n.send(ctx, c)
}

// naiveLeaseDuration is the duration of a lease of naiveLease.
const naiveLeaseDuration = 50 * time.Millisecond

// naiveLease sends a call under a lease that ends at a time by the local clock. It
// checks the lease right before it sends, but a pause of the process between the check
// and the send can outlast the lease.
type naiveLease struct {
	naiveCaller
	// pause simulates the pause of the process between the check and the send.
	pause func()
}

// Call implements requests.CallRunner.
func (n *naiveLease) Call(ctx context.Context, c *requests.Call) (*requests.Response, error) {
	key := "naive/" + c.IdempotencyKey
	rows, err := n.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var leaseEnd time.Time
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &leaseEnd); err != nil {
			return nil, err
		}
	}
	if time.Now().Before(leaseEnd) {
		return nil, errors.New("another caller holds the lease of the call")
	}
	leaseEnd = time.Now().Add(naiveLeaseDuration)
	value, err := json.Marshal(leaseEnd)
	if err != nil {
		return nil, err
	}
	if err := n.putIfVersion(ctx, key, rows[0].Version, value); err != nil {
		return nil, err
	}
	if time.Now().After(leaseEnd) {
		return nil, errors.New("the lease of the call expired before the send")
	}
	n.pause()
	return n.send(ctx, c)
}

// hookedStore is a client of the store that runs hooks before and after its commits. All
// hooks are set before the first commit.
type hookedStore struct {
	*memory.Client
	mu      sync.Mutex // guards commits
	commits int
	hooks   map[hookPoint]func() error
}

// hookPoint is the point before or after a commit, counted from 1.
type hookPoint struct {
	commit int
	after  bool
}

func newHookedStore(client *memory.Client) *hookedStore {
	return &hookedStore{Client: client, hooks: make(map[hookPoint]func() error)}
}

// before sets the hook that runs before the commit with this number.
func (s *hookedStore) before(commit int, f func() error) { s.hooks[hookPoint{commit, false}] = f }

// after sets the hook that runs after the commit with this number.
func (s *hookedStore) after(commit int, f func() error) { s.hooks[hookPoint{commit, true}] = f }

// Commit implements platform.Table.
func (s *hookedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Receipt, error) {
	s.mu.Lock()
	s.commits++
	commit := s.commits
	s.mu.Unlock()
	if err := s.runHook(hookPoint{commit, false}); err != nil {
		return platform.Receipt{}, err
	}
	// The commit continues after the context's deadline, because a process that
	// pauses here does not notice that the deadline has passed.
	receipt, err := s.Client.Commit(context.WithoutCancel(ctx), txn)
	if hookErr := s.runHook(hookPoint{commit, true}); hookErr != nil {
		return platform.Receipt{}, hookErr
	}
	return receipt, err
}

// runHook runs the hook at a point, if there is one. A hook's error is returned as a
// commit whose outcome is unknown.
func (s *hookedStore) runHook(point hookPoint) error {
	run := s.hooks[point]
	if run == nil {
		return nil
	}
	if err := run(); err != nil {
		return &platform.Error{Kind: platform.KindUnknown, Step: "commit", Err: err}
	}
	return nil
}

// callRunnerWithStore returns a call runner that uses the router's routing but keeps
// its records in another store.
func (b *testbed) callRunnerWithStore(router *testRouter, store once.Store) *calls.Runner {
	o := shortTimeoutOptions()
	return calls.New(o.calls, calls.Dependencies{
		Balancer: router.balancer,
		Records:  once.NewRecords(o.calls.Once, store, clock.Real{}, "hooked"),
		Events:   event.Discard{},
		Metrics:  metrics.NewSet(),
		Log:      slog.New(slog.DiscardHandler),
	})
}
