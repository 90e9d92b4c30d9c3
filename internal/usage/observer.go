package usage

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/pool"
)

// observer is an executor that notes meters.
type observer struct {
	pool.Executor
	keeper *Keeper
}

// Exec implements pool.Executor.
func (o *observer) Exec(ctx context.Context, req *pool.Request) (*pool.Reply, error) {
	reply, err := o.Executor.Exec(ctx, req)
	o.note(reply)
	return reply, err
}

// Next implements pool.Executor.
func (o *observer) Next(ctx context.Context, stream pool.StreamID) (*pool.Reply, error) {
	reply, err := o.Executor.Next(ctx, stream)
	o.note(reply)
	return reply, err
}

func (o *observer) note(reply *pool.Reply) {
	if reply != nil && reply.Meter.Host != "" {
		o.keeper.saw(reply.Meter)
	}
}
