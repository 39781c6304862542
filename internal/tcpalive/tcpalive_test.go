package tcpalive_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyslip.dev/daisyslip/internal/tcpalive"
)

// TestDialedConnectionsHaveUserTimeout guards against connections on which
// TCP_USER_TIMEOUT is not set, so that an unreachable peer goes unnoticed.
func TestDialedConnectionsHaveUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	c, err := tcpalive.Dialer(time.Second, 1500*time.Millisecond).DialContext(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	const tcpUserTimeout = 18
	assert.NilError(t, raw.Control(func(fd uintptr) {
		ms, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		assert.NilError(t, err)
		assert.Equal(t, ms, 1500)
	}))
}
