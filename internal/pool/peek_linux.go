package pool

import (
	"net"
	"syscall"
)

// errorResponseType is the type of the message that a target sends before it
// closes a connection.
const errorResponseType = 'E'

// peerClosed reports whether the peer has closed an idle connection. It
// consumes no data.
func peerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil, n == 0, buf[0] == errorResponseType:
			closed = true
		}
		return true
	})
	return err != nil || closed
}
