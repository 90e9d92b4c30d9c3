package usage

import "time"

const (
	maxFleetWritesPerSecond    = 50                    // bounds the platform writes of the whole fleet
	minFlushInterval           = 5 * time.Second       // between a host's writes of its own usage object
	replicationIntervalPerHost = 2 * time.Millisecond  // the replication interval grows by this for each host
	minReplicationInterval     = 50 * time.Millisecond // between replications to witnesses
	maxReplicationInterval     = 1 * time.Second
	confirmationInterval       = 500 * time.Millisecond // between questions to the witnesses of readings that are not durable yet
	holderSilenceTimeout       = 3 * time.Second        // without a new reading of a holder, until entry hosts replicate its readings
	witnessWriteGrace          = 5 * time.Second        // beyond the holder's flush interval, until its witnesses write
	retryInterval              = 2 * time.Second        // after a failed write
)

// flushInterval returns the time between a host's platform writes. It grows with
// the fleet to keep within maxFleetWritesPerSecond.
func flushInterval(hosts int) time.Duration {
	return max(minFlushInterval, time.Duration(hosts)*time.Second/maxFleetWritesPerSecond)
}

// replicationInterval returns the time between replications to witnesses. Usage of
// one interval is lost if a holder and the entry host fail within it; a longer
// interval costs less traffic.
func replicationInterval(hosts int) time.Duration {
	return min(maxReplicationInterval, max(minReplicationInterval, time.Duration(hosts)*replicationIntervalPerHost))
}

// resendInterval returns how long replicated readings may stay without becoming
// durable before they are sent to the witnesses again.
func resendInterval(hosts int) time.Duration { return 2 * witnessWriteDelay(hosts) }

// retentionPeriod returns how long durable readings of other processes are kept
// to answer queries.
func retentionPeriod(hosts int) time.Duration { return 3 * witnessWriteDelay(hosts) }

// witnessWriteDelay returns how long a witness waits for the holder to write its
// own readings.
func witnessWriteDelay(hosts int) time.Duration { return flushInterval(hosts) + witnessWriteGrace }
