package peer

import (
	"context"
	"time"
)

type (
	patientKey       struct{}
	connectWithinKey struct{}
)

// ConnectWithin bounds how long calls made with ctx wait for a new connection,
// for callers that have other hosts to turn to. The dial goes on for the calls
// that follow.
func ConnectWithin(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, connectWithinKey{}, d)
}

// connecting returns the context in which a call waits for a connection.
func connecting(ctx context.Context) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Value(connectWithinKey{}).(time.Duration); ok {
		return context.WithTimeout(ctx, d)
	}
	return ctx, func() {}
}

// Patient marks the calls made with ctx as such that wait long by design, for
// example for news. Heartbeats are sent less often while only such calls wait,
// so a silent connection is noticed later.
func Patient(ctx context.Context) context.Context {
	return context.WithValue(ctx, patientKey{}, true)
}

func isPatient(ctx context.Context) bool { return ctx.Value(patientKey{}) != nil }
