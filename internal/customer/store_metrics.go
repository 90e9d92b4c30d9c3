package customer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// register adds the store's metrics to set, which may be nil.
func (s *Store) register(set *metrics.Set) {
	if set == nil {
		return
	}
	for _, kind := range Kinds {
		set.NewGauge(fmt.Sprintf(`nettlewalk_config_revision{kind=%q}`, kind), func() float64 {
			revision, _ := s.Revision(kind)
			return float64(revision)
		})
		set.NewGauge(fmt.Sprintf(`nettlewalk_config_objects{kind=%q}`, kind), func() float64 {
			s.mu.RLock()
			defer s.mu.RUnlock()
			return float64(s.kinds[kind].Len())
		})
	}
	set.NewGauge("nettlewalk_config_age_seconds", func() float64 {
		if !s.Ready() {
			return -1
		}
		return s.unconfirmedFor(time.Now()).Seconds()
	})
	s.badObjects = set.NewCounter("nettlewalk_config_bad_objects_total")
}

// KindDump is the state of one kind.
type KindDump struct {
	Whole    bool
	Revision uint64
	Objects  int
	Age      string // since it was last known to be current
}

// StoreDump is the state of the store.
type StoreDump struct {
	Ready      bool
	Kinds      map[string]KindDump
	Resolved   int      // customers ready for use
	WithFaults []string // customers of which an earlier version is in force
}

// Dump returns the store's state.
func (s *Store) Dump() any {
	ready := s.Ready()
	now := time.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	dump := StoreDump{Ready: ready, Kinds: map[string]KindDump{}, Resolved: len(s.resolved)}
	for kind, c := range s.kinds {
		k := KindDump{Whole: c.Whole(), Revision: c.Revision(), Objects: c.Len()}
		if at := s.confirmed[kind]; !at.IsZero() {
			k.Age = now.Sub(at).Round(time.Millisecond).String()
		}
		dump.Kinds[kind] = k
	}
	for name := range s.lastGood {
		dump.WithFaults = append(dump.WithFaults, name)
	}
	return dump
}
