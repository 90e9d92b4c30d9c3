package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sendQueueFunc returns a function that returns the number of bytes in the connection's
// send buffer that the peer hasn't acknowledged, or nil if that can't be found out.
func sendQueueFunc(conn net.Conn) func() int64 {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return func() int64 {
		queued := 0
		_ = raw.Control(func(fd uintptr) { // fails only on a closed connection, which is found elsewhere
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				queued = n
			}
		})
		return int64(queued)
	}
}
