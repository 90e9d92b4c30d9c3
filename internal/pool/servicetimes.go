package pool

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	smoothing      = 0.1  // weight of the newest sample
	customersTimed = 1024 // customers whose mean is kept per slot
)

// serviceTimes holds smoothed times for which requests used a connection.
type serviceTimes struct {
	all        time.Duration // 0: nothing served yet
	byCustomer map[topology.CustomerID]time.Duration
}

func newServiceTimes() serviceTimes {
	return serviceTimes{byCustomer: map[topology.CustomerID]time.Duration{}}
}

// observe adds the time that a request of the customer used a connection.
func (s *serviceTimes) observe(customer topology.CustomerID, used time.Duration) {
	s.all = smooth(s.all, used)
	if _, known := s.byCustomer[customer]; !known && len(s.byCustomer) >= customersTimed {
		clear(s.byCustomer)
	}
	s.byCustomer[customer] = smooth(s.byCustomer[customer], used)
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

// cost returns the time that a request of the customer is expected to use.
func (s *serviceTimes) cost(customer topology.CustomerID) time.Duration {
	if own, ok := s.byCustomer[customer]; ok {
		return max(own, minCost)
	}
	return max(s.all, minCost)
}

// wait estimates how long a request waits behind so many others while all
// connections are in use.
func (s *serviceTimes) wait(ahead, connections int) time.Duration {
	return time.Duration(ahead+1) * s.all / time.Duration(max(connections, 1))
}
