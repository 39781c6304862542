package fleetconfig

import (
	"fmt"
	"log/slog"
	"testing"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/coord/revlog"
	"daisyslip.dev/daisyslip/internal/catalog"
)

var discardLog = slog.New(slog.DiscardHandler)

// sizedDocument returns a document with n workspaces, and with endpoints in the
// proportion of the target size: 16,000 workspaces, 1,900 endpoints, 39 models. The
// numbers of pools and rules do not depend on n.
func sizedDocument(n int) catalog.Document {
	var d catalog.Document
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		d.Workspaces = append(d.Workspaces, catalog.Workspace{
			Name:   name,
			Labels: map[string]string{"tier": fmt.Sprintf("t%d", i%7), "region": fmt.Sprintf("r%d", i%4)},
			Keys:   []catalog.AccessKey{{Hash: catalog.HashKey(name), Budget: catalog.DefaultBudget}},
		})
	}
	for i := range max(2, n*1900/16000) {
		d.Endpoints = append(d.Endpoints, catalog.Endpoint{
			Name: fmt.Sprintf("engine-%04d", i), URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250),
			Models: []string{fmt.Sprintf("model-%d", i%39)}, Labels: map[string]string{"pool": fmt.Sprintf("p%d", i%39)},
		})
	}
	for i := range 39 {
		d.Pools = append(d.Pools, catalog.Pool{Name: fmt.Sprintf("pool-%02d", i), Kind: catalog.PoolModel, Selector: fmt.Sprintf("pool=p%d", i)})
	}
	for i := range 50 {
		d.Rules = append(d.Rules, catalog.Rule{Name: fmt.Sprintf("rule-%02d", i), Workspaces: fmt.Sprintf("tier=t%d", i%7), Endpoints: fmt.Sprintf("pool notin (p%d)", i%39)})
	}
	return d
}

// BenchmarkApply applies one change of a workspace at a router whose configuration
// has 1 %, 10 % and 100 % of the target size.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{160, 1600, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := NewKeeper(testSettings(), memory.NewStore(clock.Real{}).NewClient(), clock.Real{}, event.Discard{}, discardLog)
			document := sizedDocument(n)
			document.Revision = 1
			if err := k.applyDocument(document); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				delta := fmt.Appendf(nil, `[{"kind":"workspace","name":"workspace-00007","put":{"labels":{"tier":"t%d"}}}]`, k.Catalog().Revision%9)
				if err := k.applyEntries([]revlog.Entry{{Revision: k.Catalog().Revision + 1, Delta: delta}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
