// Package platformevents wraps a platform so that every call is counted in metrics
// and the calls that a trace needs are recorded as events: all commits, all failures,
// and the other calls on behalf of a request. The rest, such as the polls of an idle
// router, is only counted.
package platformevents

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform"
)

// Platform wraps a platform and records its calls. It is safe for concurrent use if
// the wrapped platform is.
type Platform struct {
	inner  platform.Platform
	events event.Recorder
	clock  clock.Clock
	meters meters
}

var _ platform.Platform = (*Platform)(nil)

// Wrap returns a platform that forwards each call to inner, records it in events and
// counts it in set.
func Wrap(inner platform.Platform, events event.Recorder, c clock.Clock, set *metrics.Set) *Platform {
	return &Platform{inner: inner, events: events, clock: c, meters: newMeters(set)}
}

// Close closes the wrapped platform if it has a Close method.
func (p *Platform) Close() {
	if c, ok := p.inner.(interface{ Close() }); ok {
		c.Close()
	}
}

// call is one call of the platform in progress.
type call struct {
	step      step
	op        string // operation id; empty for calls without one
	detail    string // result in words, for the event
	startedAt time.Time
}

func (p *Platform) beginCall(s step) call { return call{step: s, startedAt: p.clock.Now()} }

// endCall counts the call and records it if it is a commit, failed or was made on
// behalf of a request.
func (p *Platform) endCall(ctx context.Context, c call, err error) {
	elapsed := p.clock.Now().Sub(c.startedAt)
	kind := platform.KindOf(err)
	p.meters.countCall(c.step, kind, elapsed)
	request := event.RequestOf(ctx)
	e := event.Event{
		Component: event.ComponentPlatform, Kind: event.PlatformRead, Request: request,
		Op: c.op, Micros: elapsed.Microseconds(), Detail: c.detail,
	}
	switch {
	case err != nil:
		e.Kind, e.Detail = event.PlatformFailed, describe(err)
	case c.step == stepCommit:
		e.Kind = event.PlatformCommitted
	case request == "":
		return
	}
	p.events.Record(e)
}

// describe returns the event detail of a failed call. A row's key can contain an
// idempotency key of a caller, which must not appear in events. Therefore the detail of
// a conflict has only the first part of the key.
func describe(err error) string {
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.KindConflict {
		part, _, _ := strings.Cut(e.Key, "/")
		return "conflict on a row of " + part
	}
	return err.Error()
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	c := p.beginCall(stepGet)
	rows, err := p.inner.Get(ctx, keys...)
	p.meters.rowsRead.Add(len(keys))
	c.detail = fmt.Sprintf("read %d rows", len(keys))
	p.endCall(ctx, c, err)
	return rows, err
}

// Range implements platform.Table.
func (p *Platform) Range(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	c := p.beginCall(stepRange)
	rows, err := p.inner.Range(ctx, from, to, limit)
	p.meters.rowsRead.Add(len(rows))
	c.detail = fmt.Sprintf("read %d rows in a range", len(rows))
	p.endCall(ctx, c, err)
	return rows, err
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (platform.Receipt, error) {
	c := p.beginCall(stepCommit)
	c.op = txn.OpID
	receipt, err := p.inner.Commit(ctx, txn)
	if err == nil {
		p.meters.rowsWritten.Add(len(txn.Writes))
	}
	c.detail = fmt.Sprintf("wrote %d rows under %d conditions", len(txn.Writes), len(txn.Conds))
	p.endCall(ctx, c, err)
	return receipt, err
}

// Outcome implements platform.Table.
func (p *Platform) Outcome(ctx context.Context, opID string) (platform.Receipt, bool, error) {
	c := p.beginCall(stepOutcome)
	c.op = opID
	receipt, done, err := p.inner.Outcome(ctx, opID)
	p.meters.rowsRead.Inc()
	c.detail = fmt.Sprintf("read back the outcome: applied is %t", done)
	p.endCall(ctx, c, err)
	return receipt, done, err
}

// PutObject implements platform.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	c := p.beginCall(stepPutObject)
	err := p.inner.PutObject(ctx, name, data)
	c.detail = fmt.Sprintf("stored an object of %d bytes", len(data))
	p.endCall(ctx, c, err)
	return err
}

// GetObject implements platform.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	c := p.beginCall(stepGetObject)
	data, err := p.inner.GetObject(ctx, name)
	c.detail = fmt.Sprintf("read an object of %d bytes", len(data))
	p.endCall(ctx, c, err)
	return data, err
}

// ListVMs implements platform.VMs.
func (p *Platform) ListVMs(ctx context.Context) ([]platform.VM, error) {
	c := p.beginCall(stepListVMs)
	vms, err := p.inner.ListVMs(ctx)
	c.detail = fmt.Sprintf("listed %d VMs", len(vms))
	p.endCall(ctx, c, err)
	return vms, err
}
