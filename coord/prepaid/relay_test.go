package prepaid_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/prepaid"
)

// TestTokensOfCutOffRoutersStayInUse guards against tokens that lie idle with routers that do not reach the store
// while others do.
func TestTokensOfCutOffRoutersStayInUse(t *testing.T) {
	for _, cutOff := range []int{1, 2, 4} {
		for _, seed := range fixedSeeds[:4] {
			t.Run(fmt.Sprintf("%d of 6, seed %d", cutOff, seed), func(t *testing.T) {
				t.Parallel()
				res := playLoss(t, seed, 6, func(s *simulation) {
					time.Sleep(12 * time.Second)
					partition := func(partitioned bool) {
						s.forEachRouter(func(vm int, r *router) {
							if vm < cutOff {
								r.link.partitioned.Store(partitioned)
							}
						})
					}
					partition(true)
					time.Sleep(14 * time.Second)
					partition(false)
				})
				t.Log(res)
				refused := refusedForTokens(res) + res.refusals[prepaid.ErrUnavailable.Error()]
				assert.Assert(t, refused <= maxRefused(res.due), "%s", res)
			})
		}
	}
}
