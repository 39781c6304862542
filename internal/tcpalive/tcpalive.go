// Package tcpalive dials TCP connections that detect an unreachable peer. Without
// it, a connection to a machine that lost power or its network hangs for minutes.
package tcpalive

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT. Its value is in
	// milliseconds.
	tcpUserTimeout = 18
	// probeInterval is the time between two keep-alive probes of an idle
	// connection, and maxUnansweredProbes the number of probes without a response
	// after which the kernel closes the connection.
	probeInterval       = time.Second
	maxUnansweredProbes = 2
)

// Dialer returns a dialer that opens connections within connectTimeout. The kernel
// closes a connection if sent bytes stay unacknowledged for unackedTimeout.
func Dialer(connectTimeout, unackedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxUnansweredProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err := errors.Join(err, optErr); err != nil {
				return fmt.Errorf("set user timeout: %w", err)
			}
			return nil
		},
	}
}
