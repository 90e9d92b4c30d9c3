package pool

import (
	"net"
	"syscall"
)

// errorMessage is the type of what a target sends unasked when it ends a connection.
const errorMessage = 'E'

// hungUp tells whether the other end has closed an idle connection, without
// taking anything from it.
func hungUp(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	over := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil, n == 0, one[0] == errorMessage:
			over = true
		}
		return true
	})
	return err != nil || over
}
