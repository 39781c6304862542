package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/rowstore"
	"daisyslip.dev/daisyslip/coord/rowstore/memory"
	"daisyslip.dev/daisyslip/internal/endpoints"
	"daisyslip.dev/daisyslip/internal/routetable"
)

// heartbeat is the interval in which the endpoints of these tests write their rows.
const heartbeat = 1200 * time.Millisecond

// newTestGateway returns a gateway that does not listen. The values of its rows are
// JSON of an endpoint.
func newTestGateway(store rowstore.Store) *Gateway {
	ps := PlatformSettings{VM: "vm-1", Domain: "zone-a", Heartbeat: heartbeat, LeaveWithin: 2 * time.Second, ConfigWithin: 4 * time.Second}
	return New(DefaultSettings(), ps, Platform{
		Store: store, ConfigTable: "op", ConfigName: "config", EndpointTable: "servers",
		DecodeConfig:     func([]byte) (*routetable.Table, error) { return &routetable.Table{Revision: 1}, nil },
		DecodeEvacuation: decodeEvacuation,
		DecodeEndpoint: func(_ string, data []byte) (e endpoints.Endpoint, err error) {
			err = json.Unmarshal(data, &e)
			return e, err
		},
	}, slog.New(slog.DiscardHandler))
}

// decodeEvacuation decodes the rows of newTestGateway that evacuate a failure domain: "out/"
// and the domain. The value must be "{}".
func decodeEvacuation(name string, value []byte) (string, bool, error) {
	domain, found := strings.CutPrefix(name, "out/")
	switch {
	case !found:
		return "", false, nil
	case domain == "":
		return "", false, errors.New("no domain")
	case string(value) != "{}":
		return domain, true, errors.New("odd value")
	}
	return domain, true, nil
}

// putEndpoint writes the row of an endpoint of the pool "app".
func putEndpoint(t *testing.T, store rowstore.Store, e endpoints.Endpoint) {
	e.Pool, e.StartedMs = "app", 1
	value, err := json.Marshal(e)
	assert.NilError(t, err)
	_, err = store.Commit(context.Background(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "servers", Name: e.ID}, Value: value}}})
	assert.NilError(t, err)
}

// TestLiveEndpointMissingFromCopyStaysUsable guards against dropping an endpoint that
// registered in the seconds that a restored store has lost, before its next heartbeat.
func TestLiveEndpointMissingFromCopyStaysUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newTestGateway(store)
		ctx, stop := context.WithCancel(t.Context())
		go g.watchEndpoints(ctx)
		defer stop()
		putEndpoint(t, store, endpoints.Endpoint{ID: "i-1", Sequence: 1})
		backup := store.Copy()
		putEndpoint(t, store, endpoints.Endpoint{ID: "i-2", Sequence: 1})
		time.Sleep(5 * time.Second)
		assert.Assert(t, g.endpoints.AcceptsRequests("i-2"))

		store.Restore(backup)
		for range 12 {
			time.Sleep(heartbeat / 12)
			assert.Assert(t, g.endpoints.AcceptsRequests("i-2"))
		}
		putEndpoint(t, store, endpoints.Endpoint{ID: "i-1", Sequence: 5})
		putEndpoint(t, store, endpoints.Endpoint{ID: "i-2", Sequence: 5})
		time.Sleep(endpoints.RecoveryGrace)
		assert.Equal(t, g.UsableEndpoints("app"), 2)
	})
}

// TestEndpointThatIsGoneDoesNotReturnWithCopy guards against requests to an endpoint that
// left, or that ended, in the seconds that a restored store has lost.
func TestEndpointThatIsGoneDoesNotReturnWithCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newTestGateway(store)
		ctx, stop := context.WithCancel(t.Context())
		go g.watchEndpoints(ctx)
		defer stop()
		for _, id := range []string{"leaves", "ends", "dies", "lives"} {
			putEndpoint(t, store, endpoints.Endpoint{ID: id, Sequence: 7})
		}
		time.Sleep(time.Second)
		assert.Equal(t, g.UsableEndpoints("app"), 4)
		backup := store.Copy()
		putEndpoint(t, store, endpoints.Endpoint{ID: "leaves", Sequence: 8, Leaving: true})
		_, err := store.Commit(t.Context(), rowstore.Tx{Remove: []rowstore.Key{{Table: "servers", Name: "ends"}}})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, g.UsableEndpoints("app"), 2)

		store.Restore(backup)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !g.endpoints.AcceptsRequests("leaves") && !g.endpoints.AcceptsRequests("ends"))
			assert.Assert(t, g.endpoints.AcceptsRequests("lives"))
		}
		_, err = store.Commit(t.Context(), rowstore.Tx{Remove: []rowstore.Key{{Table: "servers", Name: "dies"}}})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, !g.endpoints.AcceptsRequests("dies"))
	})
}

// TestEndpointThatStartsLaterGetsLowPace guards against a list of endpoints that does not
// reach the pace, and against a low pace of all endpoints when a router starts.
func TestEndpointThatStartsLaterGetsLowPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		g := newTestGateway(store)
		g.pace.SetActive([]string{"app"})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		putEndpoint(t, store, endpoints.Endpoint{ID: "i-1", Sequence: 1})
		go g.watchEndpoints(ctx)
		time.Sleep(time.Second)
		putEndpoint(t, store, endpoints.Endpoint{ID: "i-2", Sequence: 1})
		time.Sleep(time.Second)
		assert.Equal(t, g.pace.Factor("i-1"), 1.0)
		assert.Check(t, g.pace.Factor("i-2") < 0.2, "%v", g.pace.Factor("i-2"))
	})
}
