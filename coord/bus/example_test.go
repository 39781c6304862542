package bus_test

import (
	"context"
	"fmt"

	"daisyslip.dev/daisyslip/coord/bus"
	"daisyslip.dev/daisyslip/coord/failure"
)

type lengthRequest struct {
	Text string `cbor:"1,keyasint"`
}

type lengthResponse struct {
	Length int `cbor:"1,keyasint"`
}

// A member sends a typed request to another one. While the two are partitioned,
// the request fails.
func ExampleCall() {
	network := bus.NewNetwork()
	a := network.Join(bus.Peer{ID: bus.ID{VM: "a", Incarnation: "1"}})
	b := network.Join(bus.Peer{ID: bus.ID{VM: "b", Incarnation: "1"}})
	bus.Handle(b, "length", func(_ context.Context, _ bus.ID, req lengthRequest) (lengthResponse, error) {
		return lengthResponse{Length: len(req.Text)}, nil
	})
	response, err := bus.Call[lengthRequest, lengthResponse](context.Background(), a, b.Self().ID, "length", lengthRequest{Text: "fan"})
	fmt.Println(response.Length, err)
	network.SetPartitioned(a.Self().ID, b.Self().ID, true)
	_, err = bus.Call[lengthRequest, lengthResponse](context.Background(), a, b.Self().ID, "length", lengthRequest{Text: "fan"})
	fmt.Println(failure.CodeOf(err))
	// Output:
	// 3 <nil>
	// peer_unavailable
}
