package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	retryNoMajority = 250 * time.Millisecond // a few status intervals
	retryFailover   = 50 * time.Millisecond  // most changes of primary are over sooner than a second try
)

func errNoMajority(format string, args ...any) error {
	return result.New(result.NoMajority, format, args...).After(retryNoMajority)
}

func errFailover(format string, args ...any) error {
	return result.New(result.FailoverUnderway, format, args...).After(retryFailover)
}
