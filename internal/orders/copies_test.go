package orders

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/engine"
)

// startRepeatingEndpoint starts an endpoint that writes its previous response on a
// connection once more before the next one.
func startRepeatingEndpoint(t *testing.T, respond func(o engine.Order) (status int, result engine.OrderResult)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRepeating(c, respond)
		}
	}()
	return "http://" + listener.Addr().String()
}

// serveRepeating handles the orders of one connection.
func serveRepeating(c net.Conn, respond func(o engine.Order) (status int, result engine.OrderResult)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	previous := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var order engine.Order
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			return
		}
		status, result := respond(order)
		body, err := json.Marshal(result)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
		if _, err := c.Write([]byte(previous + response)); err != nil {
			return
		}
		previous = response
	}
}

// TestRepeatedResultIsNotThatOfTheNextOrder guards against the result of an earlier order on the connection.
func TestRepeatedResultIsNotThatOfTheNextOrder(t *testing.T) {
	for name, accepts := range map[string]map[string]bool{
		"accepted after a refusal":   {"one": false, "two": true},
		"refused after an execution": {"one": true, "two": false},
	} {
		t.Run(name, func(t *testing.T) {
			config := new(staticConfig)
			config.set(t, startRepeatingEndpoint(t, func(o engine.Order) (int, engine.OrderResult) {
				if accepts[o.ID] {
					return http.StatusOK, engine.OrderResult{Accepted: true, Fencing: o.Fencing}
				}
				return http.StatusConflict, engine.OrderResult{Message: "fencing number is old"}
			}), true, false)
			sender := newSender(memory.NewStore(clock.Real{}), config, "router", testSettings())
			for _, id := range []string{"one", "two"} {
				_, err := sender.Send(t.Context(), endpointName, Order{ID: id, Kind: engine.OrderSetRole, Target: id})
				if accepts[id] {
					assert.Check(t, err, "order %s was carried out", id)
					continue
				}
				assert.Check(t, failure.CodeOf(err) == failure.Conflict, "order %s was refused and is reported as %v", id, err)
			}
		})
	}
}
