package platform_test

import (
	"context"
	"fmt"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
)

// After a lost response, the same operation is sent again; it is applied once.
func ExampleCommitUntilKnown() {
	client := memory.NewStore(clock.Real{}).NewClient()
	client.SetFaults(memory.Faults{LoseResponses: 2})
	receipt, err := platform.CommitUntilKnown(context.Background(), client, platform.Txn{
		OpID:   "open-budget-7",
		Conds:  []platform.Cond{{Key: "budget/7", Version: 0}},
		Writes: []platform.Write{{Key: "budget/7", Value: []byte("1000")}},
	})
	fmt.Println(receipt.Versions, err)
	// Output: [1] <nil>
}
