// Package peer carries RPCs between hosts over net/rpc. Other packages register
// their own services. Both ends of a connection prove that they have the shared
// peer key before the first call.
package peer

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Caller calls a service of another host. Safe for concurrent use.
//
// An error of code HostUnreachable means that the request wasn't sent, HolderLost
// that the call may have been executed. Errors that the service itself returns are
// also of type *result.Error.
type Caller interface {
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// Registrar registers RPC services. Their methods have the form that net/rpc
// requires; a method's error reaches the caller as *result.Error.
type Registrar interface {
	Register(name string, service any) error
}
