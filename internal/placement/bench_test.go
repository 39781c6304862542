package placement_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/exchange"
	"daisyslip.dev/daisyslip/internal/placement"
)

// BenchmarkChoice measures the list of usable endpoints and one choice among 140 and among
// 1,900, with 400 prefixes in use. All endpoints report four figures. In the second half,
// an entry of the list changes after every eighth request, so that the list is computed anew.
func BenchmarkChoice(b *testing.B) {
	for _, c := range []struct{ n, changeEvery int }{{140, 0}, {1900, 0}, {140, 8}, {1900, 8}} {
		b.Run(fmt.Sprintf("%d/%d", c.n, c.changeEvery), func(b *testing.B) {
			n := c.n
			fake := clock.NewFake(time.Unix(1000, 0))
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			registry := endpoints.NewRegistry(time.Second, fake, log)
			var list []endpoints.Endpoint
			for i := range n {
				list = append(list, endpoints.Endpoint{ID: fmt.Sprintf("i-%04d", i), Pool: "app", Slots: 16})
			}
			registry.Replace(list)
			balancer := placement.NewBalancer(placement.DefaultSettings(), "a", fake, log)
			requests := make([]placement.Request, 400)
			for i := range requests {
				requests[i] = placement.Request{Affinity: uint64(i) + 1, PromptTokens: 8000, SharedTokens: 6300, MaxOutputTokens: 400}
			}
			place := func(i int) {
				if c.changeEvery > 0 && i%c.changeEvery == 0 {
					list[0].Sequence++
					registry.Set(list[0])
				}
				choice, _ := balancer.Begin(registry.Usable("app"), requests[i%len(requests)], nil)
				balancer.Report(choice.Endpoint.ID, exchange.Load{Running: i % 16, Slots: 16, Slowness: 100})
				balancer.End(choice, placement.Succeeded)
			}
			for i := range 2 * len(requests) {
				place(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				place(i)
			}
		})
	}
}
