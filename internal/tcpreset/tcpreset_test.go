package tcpreset_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/tcpreset"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// part is what the peer sends before it ends the connection.
const part = "hello"

// readWhileWriting returns what is read from a peer while more is written than it takes in. The peer sends a
// part and then does what end does.
func readWhileWriting(t *testing.T, end func(peer *net.TCPConn)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		_, _ = io.ReadFull(peer, make([]byte, 1)) // the connection is open on both sides
		_, _ = io.WriteString(peer, part)
		end(peer.(*net.TCPConn))
	})
	c, err := tcpreset.Dial((&net.Dialer{}).DialContext)(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	running.Go(func() {
		_, _ = c.Write(make([]byte, 4<<20))
		_ = c.(*tcpreset.Conn).CloseWrite()
	})
	received, err := io.ReadAll(c)
	return string(received), err
}

// TestResetWhileWritingIsNoEndOfFile guards against a read that returns the end of file since a write was told of the
// reset.
func TestResetWhileWritingIsNoEndOfFile(t *testing.T) {
	for i := range 200 {
		_, err := readWhileWriting(t, func(peer *net.TCPConn) {
			time.Sleep(time.Duration(i%10) * time.Millisecond)
			_ = peer.SetLinger(0)
		})
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
}

// TestEndOfPeerWhileWritingIsEndOfFile guards against a peer that ends its side, and reads on, whose bytes count
// as broken off.
func TestEndOfPeerWhileWritingIsEndOfFile(t *testing.T) {
	for i := range 50 {
		received, err := readWhileWriting(t, func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(time.Duration(i%10) * time.Millisecond)
			_, _ = io.Copy(io.Discard, peer)
		})
		assert.NilError(t, err)
		assert.Equal(t, received, part)
	}
}
