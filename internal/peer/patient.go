package peer

import "context"

type patientKey struct{}

// Patient marks the calls made with ctx as such that wait long by design, for
// example for news. Heartbeats are sent less often while only such calls wait,
// so a silent connection is noticed later.
func Patient(ctx context.Context) context.Context {
	return context.WithValue(ctx, patientKey{}, true)
}

func isPatient(ctx context.Context) bool { return ctx.Value(patientKey{}) != nil }
