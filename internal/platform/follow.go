package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// Sink receives the objects of a kind and their changes in the order of their
// versions.
type Sink interface {
	// Revision returns the latest revision of a kind that the sink has received.
	// The result complete is false until the sink has received a full list.
	Revision(kind string) (revision uint64, complete bool)
	// Reset replaces all objects of the kind; objects that are not in the list no
	// longer exist.
	Reset(kind string, list List)
	// Apply passes the changes made after the revision that the sink reported.
	Apply(kind string, changes Changes)
}

// Follow watches a kind until ctx ends, starting at the sink's revision. It lists
// the kind only if the sink has no full list yet or the platform's change history
// no longer includes the sink's revision.
func (c *Client) Follow(ctx context.Context, kind string, sink Sink) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryInitialDelay
	delays.MaxInterval = retryMaxDelay
	mustList := false
	era := c.Era() // of the sink's revision
	for ctx.Err() == nil {
		err := c.listOrWatch(ctx, kind, sink, mustList, &era)
		if err == nil && !mustList {
			delays.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		mustList = errors.Is(err, ErrGone) || mustList && err != nil
		if err != nil {
			c.opts.Log.V(1).Info("watching the platform failed", "kind", kind, "error", err.Error())
		}
		sleep(ctx, delays.NextBackOff())
	}
}

// listOrWatch makes one watch call, or lists the kind if mustList is set or the
// sink has no full list yet. A watch ends when the era rises: its revision may lie far
// above the platform's.
func (c *Client) listOrWatch(ctx context.Context, kind string, sink Sink, mustList bool, era *uint64) error {
	revision, complete := sink.Revision(kind)
	if mustList || !complete {
		list, err := c.List(ctx, kind)
		if err != nil {
			return err
		}
		*era = list.Era
		sink.Reset(kind, list)
		return nil
	}
	start := time.Now()
	watchCtx, cancel := c.withinEra(ctx, *era)
	defer cancel()
	changes, err := c.Watch(watchCtx, kind, revision)
	if c.Era() != *era || err == nil && changes.Era != *era {
		return ErrGone
	}
	if err != nil {
		return err
	}
	sink.Apply(kind, changes)
	if len(changes.Changes) == 0 && time.Since(start) < c.opts.WatchWait/2 {
		sleep(ctx, retryInitialDelay) // avoids a tight loop if the platform answers watches at once
	}
	return nil
}
