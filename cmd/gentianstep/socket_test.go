package main

import (
	"net"

	"golang.org/x/sys/unix"
)

// hasEnded reports whether the other side has closed or reset a connection. It reads nothing.
func hasEnded(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		ready, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
		ended = pollErr == nil && ready > 0
	})
	return err != nil || ended
}
