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
	"daisyslip.dev/daisyslip/internal/work"
)

// naiveCaller holds what the naive versions share.
type naiveCaller struct {
	bench *bench
	store platform.Table
}

// send sends a call over the usual client.
func (n *naiveCaller) send(ctx context.Context, c *work.Call) (*work.Response, error) {
	url := n.bench.document.Endpoints[0].URL + c.Path
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Header = c.Header.Clone()
	req.Header.Set(engine.RequestIDHeader, c.RequestID)
	resp, err := n.bench.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return &work.Response{Status: resp.StatusCode, Body: body}, err
}

// put writes a row under the condition that it has a version.
func (n *naiveCaller) put(ctx context.Context, key string, version int64, value []byte) error {
	_, err := n.store.Commit(ctx, platform.Txn{
		OpID:   uuid.NewString(),
		Conds:  []platform.Cond{{Key: key, Version: version}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	return err
}

// naiveSend sends a call and keeps no record.
type naiveSend struct{ naiveCaller }

// Call implements work.Caller.
func (n *naiveSend) Call(ctx context.Context, c *work.Call) (*work.Response, error) {
	return n.send(ctx, c)
}

// naiveRetry sends a call again when it fails.
type naiveRetry struct{ naiveCaller }

// Call implements work.Caller.
func (n *naiveRetry) Call(ctx context.Context, c *work.Call) (answer *work.Response, err error) {
	for range 3 {
		if answer, err = n.send(ctx, c); err == nil {
			return answer, nil
		}
	}
	return nil, err
}

// naiveCheck looks whether the call has run, runs it, and notes that it has.
type naiveCheck struct{ naiveCaller }

// Call implements work.Caller.
func (n *naiveCheck) Call(ctx context.Context, c *work.Call) (*work.Response, error) {
	rows, err := n.store.Get(ctx, "naive/"+c.IdempotencyKey)
	if err != nil {
		return nil, err
	}
	if rows[0].Version > 0 {
		return &work.Response{Status: http.StatusOK, Body: rows[0].Value}, nil
	}
	answer, err := n.send(ctx, c)
	if err != nil {
		return nil, err
	}
	return answer, n.put(ctx, "naive/"+c.IdempotencyKey, 0, answer.Body)
}

// naiveInsert inserts a record first, and takes a lost reply for a failure.
type naiveInsert struct{ naiveCaller }

// Call implements work.Caller.
func (n *naiveInsert) Call(ctx context.Context, c *work.Call) (*work.Response, error) {
	if err := n.put(ctx, "naive/"+c.IdempotencyKey, 0, []byte("claimed")); err != nil {
		return nil, err
	}
	return n.send(ctx, c)
}

// naiveLeaseTime is how long a naive lease lasts.
const naiveLeaseTime = 50 * time.Millisecond

// naiveLease runs a call under a lease with a clock. It checks its lease
// right before it sends.
type naiveLease struct {
	naiveCaller
	// pause stands for a pause of the process between check and send.
	pause func()
}

// Call implements work.Caller.
func (n *naiveLease) Call(ctx context.Context, c *work.Call) (*work.Response, error) {
	key := "naive/" + c.IdempotencyKey
	rows, err := n.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	var until time.Time
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &until); err != nil {
			return nil, err
		}
	}
	if time.Now().Before(until) {
		return nil, errors.New("another holds the lease")
	}
	until = time.Now().Add(naiveLeaseTime)
	value, err := json.Marshal(until)
	if err != nil {
		return nil, err
	}
	if err := n.put(ctx, key, rows[0].Version, value); err != nil {
		return nil, err
	}
	if time.Now().After(until) {
		return nil, errors.New("the lease has ended")
	}
	n.pause()
	return n.send(ctx, c)
}

// hookedStore runs a hook before or after the n-th commit.
type hookedStore struct {
	*memory.View
	mu      sync.Mutex // guards all below
	commits int
	hooks   map[hook]func() error
}

// hook names a place in the order of commits.
type hook struct {
	commit int
	after  bool
}

func newHookedStore(v *memory.View) *hookedStore {
	return &hookedStore{View: v, hooks: make(map[hook]func() error)}
}

func (s *hookedStore) before(commit int, f func() error) { s.hooks[hook{commit, false}] = f }

func (s *hookedStore) after(commit int, f func() error) { s.hooks[hook{commit, true}] = f }

// Commit implements platform.Table.
func (s *hookedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Receipt, error) {
	s.mu.Lock()
	s.commits++
	n := s.commits
	s.mu.Unlock()
	if err := s.run(hook{n, false}); err != nil {
		return platform.Receipt{}, err
	}
	// A paused process does not notice that its time has passed.
	receipt, err := s.View.Commit(context.WithoutCancel(ctx), txn)
	if lost := s.run(hook{n, true}); lost != nil {
		return platform.Receipt{}, lost
	}
	return receipt, err
}

func (s *hookedStore) run(h hook) error {
	f := s.hooks[h]
	if f == nil {
		return nil
	}
	if err := f(); err != nil {
		return &platform.Error{Kind: platform.KindUnknown, Step: "commit", Err: err}
	}
	return nil
}

// runnerOver returns a caller of the node's router over another store.
func (b *bench) runnerOver(n *node, store once.Store) *calls.Runner {
	o := quickOptions()
	return calls.New(o.calls, calls.Dependencies{
		Router:  n.router,
		Records: once.NewRecords(o.calls.Once, store, clock.Real{}, "hooked"),
		Events:  event.Discard{},
		Metrics: metrics.NewSet(),
		Log:     slog.New(slog.DiscardHandler),
	})
}
