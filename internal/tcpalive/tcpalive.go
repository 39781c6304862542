// Package tcpalive sets up connections on which a silent peer is noticed: without
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
	// userTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
	tcpUserTimeout = 18
	// idle is the time between two probes of an idle connection, and probes the
	// number that may stay unanswered.
	probeInterval       = time.Second
	maxUnansweredProbes = 2
)

// Dialer returns a dialer whose connections are made within connect and given up
// once sent bytes stay unacknowledged for silent.
func Dialer(connect, silent time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxUnansweredProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silent.Milliseconds()))
			})
			if err := errors.Join(err, set); err != nil {
				return fmt.Errorf("set user timeout: %w", err)
			}
			return nil
		},
	}
}
