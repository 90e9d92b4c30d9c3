package main

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// seedCaller calls hosts by address, before their IDs are known.
type seedCaller struct {
	key  []byte
	self topology.HostID
	dial target.DialFunc
}

// CallAddr implements customer.AddrCaller. It opens a new connection for each call.
func (s seedCaller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	resolve := func(topology.HostID) (string, bool) { return addr, true }
	client := peer.NewClient(s.key, s.self, resolve, s.dial)
	defer client.Close()
	return client.Call(ctx, topology.HostID(addr), method, args, reply)
}
