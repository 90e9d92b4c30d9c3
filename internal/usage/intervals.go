package usage

import "time"

const (
	fleetWrites      = 50                    // usage objects that the whole fleet writes a second at most
	minFlushInterval = 5 * time.Second       // between a host's writes of its own object
	handPerHost      = 2 * time.Millisecond  // of the interval between readings to witnesses, for each host
	minHandInterval  = 50 * time.Millisecond // between readings to witnesses
	maxHandInterval  = 1 * time.Second
	entrySilence     = 3 * time.Second // after which an entry host hands over what it knows of a holder
	witnessGrace     = 5 * time.Second // past the holder's own interval, after which its witnesses write
	retryInterval    = 2 * time.Second // after a write that failed
)

// flushInterval keeps the fleet's writes within fleetWrites.
func flushInterval(hosts int) time.Duration {
	return max(minFlushInterval, time.Duration(hosts)*time.Second/fleetWrites)
}

// handInterval bounds what the deaths of a holder and an entry host within it
// can lose, and the bytes that it costs.
func handInterval(hosts int) time.Duration {
	return min(maxHandInterval, max(minHandInterval, time.Duration(hosts)*handPerHost))
}

// handAgain is how long readings that a witness got may stay unwritten before
// they are handed again.
func handAgain(hosts int) time.Duration { return 2 * witnessSilence(hosts) }

// keepFor is how long durable readings of others are kept, for those who ask.
func keepFor(hosts int) time.Duration { return 3 * witnessSilence(hosts) }

// witnessSilence is how long a witness waits for the holder to write itself.
func witnessSilence(hosts int) time.Duration { return flushInterval(hosts) + witnessGrace }
