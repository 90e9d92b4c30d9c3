package peer

import (
	"context"
	"time"
)

type (
	longPollKey       struct{}
	connectTimeoutKey struct{}
)

// WithConnectTimeout returns a context whose calls wait at most d for a connection, for
// callers that can use another host instead. The dial itself continues, so that
// later calls can use the connection.
func WithConnectTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, connectTimeoutKey{}, d)
}

// connectContext returns the context that bounds the wait for a connection.
func connectContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Value(connectTimeoutKey{}).(time.Duration); ok {
		return context.WithTimeout(ctx, d)
	}
	return ctx, func() {}
}

// WithLongPoll marks calls made with ctx as long polls, which by design wait long for
// their answer, for example for a change of state. While only long polls are
// pending, heartbeats are sent less often, so a silent connection is detected later.
func WithLongPoll(ctx context.Context) context.Context {
	return context.WithValue(ctx, longPollKey{}, true)
}

func isLongPoll(ctx context.Context) bool { return ctx.Value(longPollKey{}) != nil }
