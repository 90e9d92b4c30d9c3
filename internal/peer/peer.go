// Package peer carries typed calls between hosts over net/rpc. Each slice
// registers its own service; hosts prove a shared key before the first call.
package peer

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Caller calls a service of another host. Safe for concurrent use.
//
// An error of code HostUnreachable means that nothing was sent, HolderLost
// that the call may have run. A service's own errors are *result.Error too.
type Caller interface {
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// Registrar takes the service of a slice. Methods have net/rpc's form; a
// method's error is returned to the caller as *result.Error.
type Registrar interface {
	Register(name string, service any) error
}
