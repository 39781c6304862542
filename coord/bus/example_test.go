package bus_test

import (
	"context"
	"fmt"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/failure"
)

type question struct {
	Text string `cbor:"1,keyasint"`
}

type reply struct {
	Length int `cbor:"1,keyasint"`
}

// Two members talk by typed requests; a cut between them is a failure that
// names the peer.
func ExampleCall() {
	network := bus.NewNetwork()
	a := network.Join(bus.Peer{ID: bus.ID{VM: "a", Incarnation: "1"}})
	b := network.Join(bus.Peer{ID: bus.ID{VM: "b", Incarnation: "1"}})
	bus.Handle(b, "length", func(_ context.Context, _ bus.ID, q question) (reply, error) {
		return reply{Length: len(q.Text)}, nil
	})
	answer, err := bus.Call[question, reply](context.Background(), a, b.Self().ID, "length", question{Text: "fan"})
	fmt.Println(answer.Length, err)
	network.SetPartitioned(a.Self().ID, b.Self().ID, true)
	_, err = bus.Call[question, reply](context.Background(), a, b.Self().ID, "length", question{Text: "fan"})
	fmt.Println(failure.CodeOf(err))
	// Output:
	// 3 <nil>
	// peer_unavailable
}
