package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/capacity"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// TestMeasureDraws measures the cost of the first request of a budget at a router:
// CPU time, platform traffic, and the rows read and written for drawing a grant and
// for a row that holds this request's bill alone.
func TestMeasureDraws(t *testing.T) {
	if !measurementsEnabled(t) {
		return
	}
	counts := []int{40, 80, 160, 320}
	f := startFleet(t, 1, 1, 1_000_000)
	r := f.routers[0]
	name := func(n, i int) string { return fmt.Sprintf("tenant-%d-%d", n, i) }
	var ops []fleetconfig.Op
	for _, n := range counts {
		for i := range n {
			key := catalog.AccessKey{Hash: catalog.HashKey(name(n, i)), Budget: catalog.DefaultBudget}
			ops = append(ops, putEntityOp(t, fleetconfig.KindWorkspace, name(n, i), catalog.Workspace{Keys: []catalog.AccessKey{key}}))
		}
	}
	f.commitOps(r, ops...)
	time.Sleep(settleTime)
	var cpu, bytes, read, written []capacity.Point
	for _, n := range counts {
		for i := range n {
			_, err := f.client(r).TopUp(t.Context(), budget.Account{Workspace: name(n, i), Budget: catalog.DefaultBudget}, "first", 1_000_000)
			assert.NilError(t, err)
		}
		before := f.scrape(r)
		for i := range n {
			assert.Equal(t, f.completeAs(r, name(n, i)), http.StatusOK)
		}
		after := f.scrape(r)
		x := float64(n)
		cpu = append(cpu, capacity.Point{X: x, Y: after.increase(before, metricCPU)})
		bytes = append(bytes, capacity.Point{X: x, Y: after.increase(before, metricPlatformSent, metricPlatformReceived)})
		read = append(read, capacity.Point{X: x, Y: after.increase(before, metricRowsRead)})
		written = append(written, capacity.Point{X: x, Y: after.increase(before, metricRowsWritten)})
	}
	storeSlope(t, capacity.CPUPerDraw, "core seconds", "request that draws and is billed alone", cpu)
	storeSlope(t, capacity.PlatformBytesPerDraw, "bytes", "request that draws and is billed alone", bytes)
	storeSlope(t, capacity.RowsReadPerDraw, "rows", "request that draws and is billed alone", read)
	storeSlope(t, capacity.RowsWrittenPerDraw, "rows", "request that draws and is billed alone", written)
}

// completeAs requests a completion of one token with a workspace's access key and
// returns the HTTP status.
func (f *fleet) completeAs(r *router, key string) int {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"Bin 4?"}]}`, testModel)
	return f.postAs(r, engine.PathChat, body, "", key).status
}
