package platformhttp_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/platform"
	"daisyslip.dev/daisyslip/coord/platform/memory"
	"daisyslip.dev/daisyslip/internal/platformhttp"
	"daisyslip.dev/daisyslip/internal/standin"
)

// newPlatform starts a stand-in platform and returns it with a client.
func newPlatform(t *testing.T) (*standin.Platform, *platformhttp.Client) {
	t.Helper()
	p := standin.NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, newClient(t, server.URL, time.Second)
}

// newClient returns a client, as VM entry-1, that is closed at the end of the test.
func newClient(t *testing.T, url string, timeout time.Duration) *platformhttp.Client {
	t.Helper()
	c := platformhttp.NewClient(platformhttp.Settings{URL: url, Timeout: timeout}, "entry-1")
	t.Cleanup(c.Close)
	return c
}

// insertTxn returns a transaction that writes a row if it doesn't exist yet.
func insertTxn(op, key, value string) platform.Txn {
	return platform.Txn{
		OpID:   op,
		Conds:  []platform.Cond{{Key: key}},
		Writes: []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

// TestTableOverHTTP checks that the calls of the table give the same results and
// conflicts over HTTP.
func TestTableOverHTTP(t *testing.T) {
	_, c := newPlatform(t)
	ctx := t.Context()
	receipt, err := c.Commit(ctx, insertTxn("op-1", "a/1", "x"))
	assert.NilError(t, err)
	assert.DeepEqual(t, receipt.Versions, []int64{1})
	_, err = c.Commit(ctx, insertTxn("op-2", "a/1", "y"))
	assert.Assert(t, platform.IsConflict(err), "%v", err)
	rows, err := c.Get(ctx, "a/1", "a/2")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "x")
	assert.Equal(t, rows[1].Version, int64(0))
	_, err = c.Commit(ctx, insertTxn("op-3", "a/2", "z"))
	assert.NilError(t, err)
	rows, err = c.Range(ctx, "a/", platform.PrefixEnd("a/"), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	_, done, err := c.Outcome(ctx, "op-3")
	assert.NilError(t, err)
	assert.Assert(t, done)
}

// TestObjectsAndVMs checks the object store and the VM list over HTTP. The name of
// the object has a slash, which must be escaped in the path.
func TestObjectsAndVMs(t *testing.T) {
	p, c := newPlatform(t)
	ctx := t.Context()
	_, err := c.GetObject(ctx, "snap/1")
	assert.Equal(t, platform.KindOf(err), platform.KindNotFound)
	assert.NilError(t, c.PutObject(ctx, "snap/1", []byte("data")))
	data, err := c.GetObject(ctx, "snap/1")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "data")
	p.Store.SetVMs([]platform.VM{{ID: "vm-1", State: platform.VMLeaving}})
	vms, err := c.ListVMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, vms[0].State, platform.VMLeaving)
}

// TestRetryAfterLostReplyAppliesOnce guards against applying a transaction twice
// when the replies to the first attempts are lost after they took effect.
func TestRetryAfterLostReplyAppliesOnce(t *testing.T) {
	p, c := newPlatform(t)
	p.SetFaults("entry-1", memory.Faults{LoseResponses: 2})
	receipt, err := platform.CommitUntilKnown(t.Context(), c, insertTxn("op-1", "k", "v"))
	assert.NilError(t, err)
	assert.DeepEqual(t, receipt.Versions, []int64{1})
	assert.Equal(t, p.Store.Counts().RowsWritten, int64(1))
}

// TestRetryOfForgottenOperationConflicts guards against taking a lost reply for a
// definite failure. The first commit takes effect, but its reply is lost: its error
// is of unknown outcome, not a conflict. After the service has forgotten the
// operation id, a retry conflicts with the row that the first commit wrote.
func TestRetryOfForgottenOperationConflicts(t *testing.T) {
	p, c := newPlatform(t)
	p.SetFaults("entry-1", memory.Faults{LoseResponses: 1})
	_, err := c.Commit(t.Context(), insertTxn("op-1", "k", "v"))
	assert.Equal(t, platform.KindOf(err), platform.KindUnknown)
	p.Store.ForgetOpIDs()
	_, err = c.Commit(t.Context(), insertTxn("op-1", "k", "v"))
	assert.Assert(t, platform.IsConflict(err), "%v", err)
	assert.Equal(t, p.Store.Counts().RowsWritten, int64(1))
}

// TestErrorKinds guards against an error kind that is wrong about the effect of a
// commit. It must be KindUnavailable if the commit can't have taken effect, and
// KindUnknown if it may have.
func TestErrorKinds(t *testing.T) {
	p, c := newPlatform(t)
	p.SetFaults("entry-1", memory.Faults{Outage: true})
	_, err := c.Commit(t.Context(), insertTxn("op-1", "k", "v"))
	assert.Equal(t, platform.KindOf(err), platform.KindUnavailable)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closedURL := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newClient(t, closedURL, time.Second).Commit(t.Context(), insertTxn("op-1", "k", "v"))
	assert.Equal(t, platform.KindOf(err), platform.KindUnavailable)

	handlers := map[string]http.HandlerFunc{
		"silent":       neverRespond,
		"broken":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"foreign 502":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"foreign body": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			_, err := newClient(t, server.URL, 50*time.Millisecond).Commit(t.Context(), insertTxn("op-1", "k", "v"))
			assert.Equal(t, platform.KindOf(err), platform.KindUnknown, "%v", err)
		})
	}
}

// neverRespond reads the request and never responds. It reads the body, since a server
// detects that its client has disconnected only after that.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// TestInvalidTransaction checks that a transaction without conditions is rejected.
func TestInvalidTransaction(t *testing.T) {
	_, c := newPlatform(t)
	_, err := c.Commit(t.Context(), platform.Txn{OpID: "op", Writes: []platform.Write{{Key: "k"}}})
	assert.Equal(t, platform.KindOf(err), platform.KindInvalid)
}
