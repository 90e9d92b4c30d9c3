//go:build !linux

package peer

import "net"

// sendQueueFunc always returns nil: on these platforms, bytes count as delivered once they
// are in the send buffer.
func sendQueueFunc(net.Conn) func() (n int64, ok bool) { return nil }
