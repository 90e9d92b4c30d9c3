package routing

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Floors determines the floors of reads. A returned position is at or past
// every write that was acknowledged before the call began: by the session, or
// by any caller.
type Floors interface {
	// Session asks the keeper, the host that tracks the session's floor, and uses
	// the confirmed position if the keeper is slow or can't answer.
	Session(ctx context.Context, group topology.GroupID, session string) (topology.Position, error)
	// Confirmed returns the confirmed position of the group, which includes every
	// acknowledged write.
	Confirmed(ctx context.Context, group topology.GroupID) (topology.Position, error)
}

// readFloor returns the floor of a batch. For a write it looks up nothing and
// returns the position known to the connection.
func (r *PlainRouter) readFloor(ctx context.Context, group topology.GroupID, call *Call) (topology.Position, *result.Error) {
	source := call.Floor
	if call.Class == pool.Write || (source.Known && source.Session == "") {
		return source.Position, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxReadWait)
	defer cancel()
	pos, err := r.lookUpFloor(ctx, group, source.Session)
	for round := 0; err != nil; round++ {
		if !sleep(ctx, retryBackoff(round)) {
			return topology.Position{}, floorUnavailable(err)
		}
		pos, err = r.lookUpFloor(ctx, group, source.Session)
	}
	return topology.Later(pos, source.Position), nil
}

func (r *PlainRouter) lookUpFloor(ctx context.Context, group topology.GroupID, session string) (topology.Position, error) {
	if session != "" {
		return r.cfg.Floors.Session(ctx, group, session)
	}
	return r.cfg.Floors.Confirmed(ctx, group)
}

func floorUnavailable(err error) *result.Error {
	return result.New(result.NoReadableTarget, "failed to determine the session's floor: %v", err).WithRetryAfter(defaultRetryAfter)
}

// sleep waits for d. It returns false if ctx ends first.
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
