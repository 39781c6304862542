package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/upstream"
)

// answerWithCopies refuses or fails the first request with each id, and writes what copies
// says of that response before it executes a later one.
func answerWithCopies(first string, copies func(response string) []string) func(net.Conn, *http.Request) bool {
	var mu sync.Mutex
	answered := make(map[string]map[net.Conn]bool)
	return func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		if strings.HasPrefix(id, "other") {
			_, err := io.WriteString(c, responseFor(r, completeResponse))
			return err == nil
		}
		mu.Lock()
		again, onConn := answered[id] != nil, answered[id][c]
		if !again {
			answered[id] = map[net.Conn]bool{c: true}
		}
		mu.Unlock()
		if !again {
			_, err := io.WriteString(c, responseFor(r, first))
			return err == nil
		}
		var parts []string
		if onConn {
			parts = copies(responseFor(r, first))
		}
		for _, part := range append(parts, responseFor(r, completeResponse)) {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
			time.Sleep(time.Millisecond) // the parts arrive one by one
		}
		return true
	}
}

// TestCopyOfEarlierResponseIsNotTheResponse guards against the copy of the response to a
// request, which is taken for the response to the same request when it is sent again.
func TestCopyOfEarlierResponseIsNotTheResponse(t *testing.T) {
	firsts := map[string]string{
		"refusal":        refusal,
		"wrong endpoint": strings.Replace(refusal, "503 Service Unavailable", "421 Misdirected Request", 1),
		"failure":        "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nContent-Length: 6\r\n\r\nfailed",
	}
	copies := map[string]func(string) []string{
		"one":             func(s string) []string { return []string{s} },
		"two":             func(s string) []string { return []string{s, s} },
		"in pieces":       func(s string) []string { return []string{s[:20], s[20:]} },
		"after a hint":    func(s string) []string { return []string{"HTTP/1.1 103 Early Hints\r\n\r\n", s} },
		"with the answer": func(s string) []string { return []string{s + strings.Replace(s, "Id: ", "X: y\r\nId: ", 1)} },
	}
	for firstName, first := range firsts {
		for copyName, copied := range copies {
			for between := range 3 { // requests on the connection before the id comes again
				t.Run(fmt.Sprint(firstName, ", ", copyName, ", ", between, " between"), func(t *testing.T) {
					e := newFakeEndpoint(t, answerWithCopies(first, copied))
					pool := newPool(t)
					_, err := exchange(pool, e.Addr().String(), getRequest("again"), time.Minute)
					assert.NilError(t, err)
					for i := range between {
						_, err := exchange(pool, e.Addr().String(), getRequest(fmt.Sprint("other-", i)), time.Minute)
						assert.NilError(t, err)
					}
					body, err := exchange(pool, e.Addr().String(), getRequest("again"), time.Minute)
					assert.NilError(t, err)
					assert.Equal(t, body, "hello")
				})
			}
		}
	}
}

// TestConnectionCarriesAnIDOnce guards against an id that comes again on a connection, whatever
// happened to it before, and against connections that are made without need.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	var mu sync.Mutex
	carried := make(map[net.Conn]map[string]bool)
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Id")
		mu.Lock()
		if carried[c] == nil {
			carried[c] = make(map[string]bool)
		}
		again := carried[c][id]
		carried[c][id] = true
		mu.Unlock()
		assert.Check(t, !again, "%s came again on its connection", id)
		_, err := io.WriteString(c, responseFor(r, []string{refusal, completeResponse}[len(id)%2]))
		return err == nil
	})
	pool := newPool(t)
	const callers, sends = 8, 300
	var done sync.WaitGroup
	for caller := range callers {
		done.Go(func() {
			for i := range sends {
				id := fmt.Sprint(caller, "-", i/3, strings.Repeat("x", i/3%2)) // each is sent three times
				_, err := exchange(pool, e.Addr().String(), getRequest(id), time.Minute)
				assert.Check(t, err)
			}
		})
	}
	done.Wait()
	assert.Assert(t, e.conns.Load() <= 3*callers, "%d connections", e.conns.Load())
}

// TestConnectionCarriesBoundedIDs guards against the memory for the ids of a connection that is never closed.
func TestConnectionCarriesBoundedIDs(t *testing.T) {
	e := newFakeEndpoint(t, func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, responseFor(r, completeResponse))
		return err == nil
	})
	pool := newPool(t)
	for i := range 2*upstream.MaxCarried + 1 {
		_, err := exchange(pool, e.Addr().String(), getRequest(fmt.Sprint(i)), time.Minute)
		assert.NilError(t, err)
	}
	assert.Equal(t, e.conns.Load(), int64(3))
}
