package tcpreset

import (
	"net"

	"golang.org/x/sys/unix"
)

// endedByPeer reports whether the peer has ended its side of a connection that was not reset since.
func endedByPeer(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	const closeWait = 8 // TCP_CLOSE_WAIT
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr == nil && err == nil && info.State == closeWait
}
