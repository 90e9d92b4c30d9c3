package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// Sink takes the objects of a kind in the order of their versions.
type Sink interface {
	// Reset tells all objects of the kind: what is not among them is gone.
	Reset(kind string, list List)
	// Apply tells the changes after the revision given last.
	Apply(kind string, changes Changes)
}

// Follow lists a kind and watches it until ctx ends. It lists again only when
// the platform's history doesn't reach back far enough.
func (c *Client) Follow(ctx context.Context, kind string, sink Sink) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryFirst
	delays.MaxInterval = retryMax
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = c.listInto(ctx, kind, sink)
			listed = err == nil
		} else {
			revision, err = c.watchInto(ctx, kind, revision, sink)
			listed = !errors.Is(err, ErrGone)
		}
		if err == nil {
			delays.Reset()
			continue
		}
		c.opts.Log.V(1).Info("following the platform failed", "kind", kind, "error", err.Error())
		sleep(ctx, delays.NextBackOff())
	}
}

func (c *Client) listInto(ctx context.Context, kind string, sink Sink) (uint64, error) {
	list, err := c.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	sink.Reset(kind, list)
	return list.Revision, nil
}

// watchInto returns the revision to watch from next.
func (c *Client) watchInto(ctx context.Context, kind string, after uint64, sink Sink) (uint64, error) {
	began := time.Now()
	changes, err := c.Watch(ctx, kind, after)
	if err != nil {
		return after, err
	}
	sink.Apply(kind, changes)
	if len(changes.Changes) == 0 && time.Since(began) < watchWait/2 {
		sleep(ctx, retryFirst) // a platform that doesn't hold watches isn't asked in a tight loop
	}
	return changes.Revision, nil
}
