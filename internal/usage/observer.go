package usage

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/pool"
)

// observer is an executor that records the meters in responses.
type observer struct {
	pool.Executor
	keeper *Keeper
}

// Exec implements pool.Executor.
func (o *observer) Exec(ctx context.Context, req *pool.Request) (*pool.Reply, error) {
	reply, err := o.Executor.Exec(ctx, req)
	o.recordReply(reply)
	return reply, err
}

// Next implements pool.Executor.
func (o *observer) Next(ctx context.Context, stream pool.StreamID) (*pool.Reply, error) {
	reply, err := o.Executor.Next(ctx, stream)
	o.recordReply(reply)
	return reply, err
}

func (o *observer) recordReply(reply *pool.Reply) {
	if reply != nil && reply.Meter.Host != "" {
		o.keeper.recordMeter(reply.Meter)
	}
}
