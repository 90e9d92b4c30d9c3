package pool

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	smoothingFactor     = 0.1  // weight of the newest sample
	maxTrackedCustomers = 1024 // per slot
)

// serviceTimes holds moving averages of how long requests use a connection.
type serviceTimes struct {
	overallMean    time.Duration // 0 until the first request is served
	meanByCustomer map[topology.CustomerID]time.Duration
}

func newServiceTimes() serviceTimes {
	return serviceTimes{meanByCustomer: map[topology.CustomerID]time.Duration{}}
}

// record adds the time that a request of the customer used a connection. If too
// many customers are tracked, it first drops all per-customer means.
func (s *serviceTimes) record(customer topology.CustomerID, used time.Duration) {
	s.overallMean = smooth(s.overallMean, used)
	if _, known := s.meanByCustomer[customer]; !known && len(s.meanByCustomer) >= maxTrackedCustomers {
		clear(s.meanByCustomer)
	}
	s.meanByCustomer[customer] = smooth(s.meanByCustomer[customer], used)
}

// smooth returns the exponential moving average after sample.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothingFactor*float64(sample-mean))
}

// expectedCost returns how long the next request of the customer is expected to
// use a connection.
func (s *serviceTimes) expectedCost(customer topology.CustomerID) time.Duration {
	if own, ok := s.meanByCustomer[customer]; ok {
		return max(own, minRequestCost)
	}
	return max(s.overallMean, minRequestCost)
}

// estimateWait estimates how long a request waits behind ahead other requests
// while all connections are busy.
func (s *serviceTimes) estimateWait(ahead, connections int) time.Duration {
	return time.Duration(ahead+1) * s.overallMean / time.Duration(max(connections, 1))
}
