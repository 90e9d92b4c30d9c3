package routing

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Floors finds the floors of reads. A position that it returns is at or past
// every write that was acknowledged before the call began: to the session, or
// to anybody.
type Floors interface {
	// Session asks the keeper of an identified session, then Confirmed.
	Session(ctx context.Context, group topology.GroupID, session string) (topology.Position, error)
	// Confirmed returns the group's confirmed position.
	Confirmed(ctx context.Context, group topology.GroupID) (topology.Position, error)
}

// floor returns the floor of a batch. Writes have none.
func (r *PlainRouter) floor(ctx context.Context, group topology.GroupID, call *Call) (topology.Position, *result.Error) {
	source := call.Floor
	if call.Class == pool.Write || (source.Known && source.Session == "") {
		return source.Position, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	pos, err := r.askFloor(ctx, group, source.Session)
	for round := 0; err != nil; round++ {
		if !sleep(ctx, waitAfter(round)) {
			return topology.Position{}, unknownFloor(err)
		}
		pos, err = r.askFloor(ctx, group, source.Session)
	}
	return topology.Later(pos, source.Position), nil
}

func (r *PlainRouter) askFloor(ctx context.Context, group topology.GroupID, session string) (topology.Position, error) {
	if session != "" {
		return r.cfg.Floors.Session(ctx, group, session)
	}
	return r.cfg.Floors.Confirmed(ctx, group)
}

func unknownFloor(err error) *result.Error {
	return result.New(result.NoReadableTarget, "the session's floor can't be found: %v", err).After(comeBackAfter)
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
