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
	"daisyslip.dev/daisyslip/internal/conf"
	"daisyslip.dev/daisyslip/internal/engine"
)

// TestMeasureDraws measures what the first request of a budget at a router
// costs the table: the draw of its grant, and its bill alone in a row.
func TestMeasureDraws(t *testing.T) {
	if !measuring(t) {
		return
	}
	counts := []int{40, 80, 160, 320}
	f := startFleet(t, 1, 1, 1_000_000)
	r := f.routers[0]
	name := func(n, i int) string { return fmt.Sprintf("tenant-%d-%d", n, i) }
	var ops []conf.Op
	for _, n := range counts {
		for i := range n {
			key := catalog.AccessKey{Hash: catalog.HashKey(name(n, i)), Budget: catalog.DefaultBudget}
			ops = append(ops, entity(t, conf.KindWorkspace, name(n, i), catalog.Workspace{Keys: []catalog.AccessKey{key}}))
		}
	}
	f.change(r, ops...)
	time.Sleep(settleTime)
	var cpu, bytes, read, written []capacity.Point
	for _, n := range counts {
		for i := range n {
			_, err := f.client(r).TopUp(t.Context(), budget.Account{Workspace: name(n, i), Budget: catalog.DefaultBudget}, "first", 1_000_000)
			assert.NilError(t, err)
		}
		before := f.scrape(r)
		for i := range n {
			assert.Equal(t, f.askAs(r, name(n, i)), http.StatusOK)
		}
		after := f.scrape(r)
		x := float64(n)
		cpu = append(cpu, capacity.Point{X: x, Y: after.since(before, metricCPU)})
		bytes = append(bytes, capacity.Point{X: x, Y: after.since(before, metricPlatformSent, metricPlatformRecv)})
		read = append(read, capacity.Point{X: x, Y: after.since(before, metricRowsRead)})
		written = append(written, capacity.Point{X: x, Y: after.since(before, metricRowsWritten)})
	}
	putSlope(t, capacity.CPUPerDraw, "core seconds", "request that draws and is billed alone", cpu)
	putSlope(t, capacity.PlatformBytesPerDraw, "bytes", "request that draws and is billed alone", bytes)
	putSlope(t, capacity.RowsReadPerDraw, "rows", "request that draws and is billed alone", read)
	putSlope(t, capacity.RowsWrittenPerDraw, "rows", "request that draws and is billed alone", written)
}

// askAs sends a short request with a workspace's key.
func (f *fleet) askAs(r *router, key string) int {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"Bin 4?"}]}`, testModel)
	return f.postAs(r, engine.PathChat, body, "", key).status
}
