package delivery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/engine"
)

// startRepeatingEndpoint starts an endpoint that writes its previous response on a
// connection once more before the next one. Load reports are not repeated.
func (b *testbed) startRepeatingEndpoint(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { assert.Check(b.t, listener.Close()) })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRepeating(c, handler)
		}
	}()
	return "http://" + listener.Addr().String()
}

// serveRepeating handles the requests of one connection.
func serveRepeating(c net.Conn, handler http.HandlerFunc) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var previous []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		if r.URL.Path == engine.PathLoad {
			_ = json.NewEncoder(recorder).Encode(engine.Load{ReportedAt: time.Now()})
		} else {
			handler(recorder, r)
		}
		response := recorder.Result()
		response.ContentLength = int64(recorder.Body.Len())
		var encoded bytes.Buffer
		if err := response.Write(&encoded); err != nil {
			return
		}
		if _, err := c.Write(append(previous, encoded.Bytes()...)); err != nil {
			return
		}
		if r.URL.Path != engine.PathLoad {
			previous = encoded.Bytes()
		}
	}
}

// TestRepeatedResponseIsNotThatOfTheNextCall guards against a response to another workspace's call.
func TestRepeatedResponseIsNotThatOfTheNextCall(t *testing.T) {
	b := newTestbed(t, 0)
	b.document.Workspaces = append(b.document.Workspaces, catalog.Workspace{Name: "other"})
	b.addEndpoint(catalog.Endpoint{Name: "fans-1", Service: testService, URL: b.startRepeatingEndpoint(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.URL.Path)
	})})
	router := b.startRouter(longTimeoutOptions())
	for _, workspace := range []string{testWorkspace, "other"} {
		call := newCall("read of "+workspace, "", "")
		call.Method, call.Idempotent, call.Header, call.Workspace, call.Path = http.MethodGet, true, nil, workspace, "/"+workspace
		response, err := callWithin(router.calls, call, 10*time.Second)
		assert.NilError(t, err)
		assert.Check(t, string(response.Body) == call.Path, "%s got %q", call.RequestID, response.Body)
	}
}

// TestRepeatedRefusalIsNotThatOfTheNextCommand guards against a command that runs and is taken for refused.
func TestRepeatedRefusalIsNotThatOfTheNextCommand(t *testing.T) {
	b := newTestbed(t, 0)
	var executions atomic.Int64
	b.addEndpoint(catalog.Endpoint{Name: "fans-1", Service: testService, URL: b.startRepeatingEndpoint(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "refused" {
			w.Header().Set("Daisyslip-Ran", "no")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		executions.Add(1)
	})})
	router := b.startRouter(longTimeoutOptions())
	_, err := callWithin(router.calls, newCall("first", "refused", "on"), 10*time.Second)
	assert.Equal(t, failure.As(err).Ran, failure.RanNo)
	response, err := callWithin(router.calls, newCall("second", "accepted", "on"), 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	assert.Equal(t, executions.Load(), int64(1))
}

// TestRepeatedRefusalIsNotThatOfTheNextGeneration guards against a generation that runs and is reported as not run.
func TestRepeatedRefusalIsNotThatOfTheNextGeneration(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			b := newTestbed(t, 0)
			var executions atomic.Int64
			b.addEndpoint(catalog.Endpoint{Name: "engine-1", Models: []string{testModel}, URL: b.startRepeatingEndpoint(func(w http.ResponseWriter, r *http.Request) {
				var request engine.ChatRequest
				assert.Check(t, json.NewDecoder(r.Body).Decode(&request))
				if strings.Contains(string(request.Messages[0].Content), "refuse") {
					w.WriteHeader(status)
					_ = json.NewEncoder(w).Encode(engine.ErrorBody{Error: engine.ErrorDetail{Message: "refused"}})
					return
				}
				executions.Add(1)
				finished := "stop"
				chunk, err := json.Marshal(engine.Chunk{
					ID: engine.ResponseIDPrefix + r.Header.Get(engine.RequestIDHeader), Object: engine.ObjectChunk,
					Choices: []engine.Choice{{Delta: &engine.Delta{Content: "done"}, FinishReason: &finished}},
				})
				assert.Check(t, err)
				fmt.Fprintf(w, "data: %s\n\ndata: %s\n\n", chunk, engine.StreamEndMarker)
			})})
			router := b.startRouter(longTimeoutOptions())
			refused := generate(t.Context(), router.dispatcher, newGeneration("first", "refuse this", 8, 10*time.Second))
			assert.Equal(t, failure.As(refused.err).Ran, failure.RanNo)
			result := generate(t.Context(), router.dispatcher, newGeneration("second", "run this", 8, 10*time.Second))
			assert.Check(t, result.err, "the generation ran %d times", executions.Load())
			assert.Equal(t, executions.Load(), int64(1))
		})
	}
}
