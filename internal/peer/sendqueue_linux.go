package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sendQueueFunc returns a function that returns the number of bytes in the connection's
// send buffer that the peer hasn't acknowledged, and false if the kernel doesn't tell it.
// It returns nil for connections without a file descriptor.
func sendQueueFunc(conn net.Conn) func() (n int64, ok bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return func() (int64, bool) {
		var queued int
		var queryErr error
		err := raw.Control(func(fd uintptr) { queued, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return int64(queued), err == nil && queryErr == nil
	}
}
