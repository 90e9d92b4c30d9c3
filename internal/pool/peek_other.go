//go:build !linux

package pool

import "net"

// peerClosed always returns false: on these platforms a socket can't be peeked
// at without blocking.
func peerClosed(net.Conn) bool { return false }
