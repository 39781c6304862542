package calls

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/requests"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startInstance starts an instance of a service that calls respond once it has read the head of a
// request, and then closes the connection.
func startInstance(t *testing.T, respond func(c *net.TCPConn, body io.Reader)) *catalog.Member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn), r.Body)
				}
			})
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, listener.Close())
		running.Wait()
	})
	return &catalog.Member{Endpoint: catalog.Endpoint{Name: "instance-1", URL: "http://" + listener.Addr().String()}}
}

// unframedHead begins a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// uploadTo sends a call with a long body.
func uploadTo(instance *catalog.Member) (*requests.Response, *failure.Error) {
	call := &requests.Call{RequestInfo: requests.RequestInfo{RequestID: "u"}, Method: http.MethodPost, Path: "/x", Body: make([]byte, 3<<20)}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return newSender(DefaultSettings()).send(ctx, call, instance)
}

// TestPartBeforeResetIsNoResponse guards against a body without a length that counts as complete since the
// write of the call, and not the read, was told that the connection was reset.
func TestPartBeforeResetIsNoResponse(t *testing.T) {
	var delay atomic.Int64
	instance := startInstance(t, func(c *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(c, unframedHead+string(make([]byte, 3000)))
		time.Sleep(time.Duration(delay.Add(1)%22) * time.Millisecond)
		_ = c.SetLinger(0)
	})
	var running sync.WaitGroup
	for range 32 {
		running.Go(func() {
			for range 60 {
				response, err := uploadTo(instance)
				assert.Check(t, err != nil, "a part is a response: %v", response)
			}
		})
	}
	running.Wait()
}

// TestEarlyResponseWithoutLengthIsComplete guards against sound instances, which end their side before the call is
// read, whose responses count as broken off.
func TestEarlyResponseWithoutLengthIsComplete(t *testing.T) {
	instance := startInstance(t, func(c *net.TCPConn, body io.Reader) {
		_, _ = io.WriteString(c, unframedHead+"hello")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, body)
	})
	for range 20 {
		response, err := uploadTo(instance)
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(response.Body), "hello")
	}
}

// TestStatusOutOfRangeIsNoResponse guards against a caller that gets a status that is none.
func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "042", "+42", "101", "600", "999"} {
		instance := startInstance(t, func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, body)
		})
		response, err := uploadTo(instance)
		assert.Check(t, response == nil && err != nil && err.Ran == failure.RanUnknown, "status %s: %v, %v", status, response, err)
	}
}
