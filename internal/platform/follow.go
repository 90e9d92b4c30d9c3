package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// Sink takes the objects of a kind in the order of their versions.
type Sink interface {
	// Revision returns the revision that the sink has of a kind; whole is false
	// before it has all objects.
	Revision(kind string) (revision uint64, whole bool)
	// Reset tells all objects of the kind: what is not among them is gone.
	Reset(kind string, list List)
	// Apply tells the changes after a revision that the sink had.
	Apply(kind string, changes Changes)
}

// Follow watches a kind until ctx ends, from the sink's revision on. It lists
// the kind only when the sink isn't whole or the platform's history doesn't
// reach back to the sink's revision.
func (c *Client) Follow(ctx context.Context, kind string, sink Sink) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryFirst
	delays.MaxInterval = retryMax
	mustList := false
	for ctx.Err() == nil {
		err := c.followOnce(ctx, kind, sink, mustList)
		if err == nil && !mustList {
			delays.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		mustList = errors.Is(err, ErrGone)
		if err != nil {
			c.opts.Log.V(1).Info("following the platform failed", "kind", kind, "error", err.Error())
		}
		sleep(ctx, delays.NextBackOff())
	}
}

// followOnce watches once, or lists if it must or the sink isn't whole.
func (c *Client) followOnce(ctx context.Context, kind string, sink Sink, mustList bool) error {
	revision, whole := sink.Revision(kind)
	if mustList || !whole {
		list, err := c.List(ctx, kind)
		if err != nil {
			return err
		}
		sink.Reset(kind, list)
		return nil
	}
	began := time.Now()
	changes, err := c.Watch(ctx, kind, revision)
	if err != nil {
		return err
	}
	sink.Apply(kind, changes)
	if len(changes.Changes) == 0 && time.Since(began) < c.opts.WatchWait/2 {
		sleep(ctx, retryFirst) // a platform that doesn't hold watches isn't asked in a tight loop
	}
	return nil
}
