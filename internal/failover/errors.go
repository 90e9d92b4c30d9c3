package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	retryAfterNoMajority = 250 * time.Millisecond // a few poll intervals
	retryAfterFailover   = 50 * time.Millisecond  // most failovers are over before a second retry
)

func errNoMajority(format string, args ...any) error {
	return result.New(result.NoMajority, format, args...).WithRetryAfter(retryAfterNoMajority)
}

func errFailoverUnderway(format string, args ...any) error {
	return result.New(result.FailoverUnderway, format, args...).WithRetryAfter(retryAfterFailover)
}
