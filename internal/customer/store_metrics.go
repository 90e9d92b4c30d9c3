package customer

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// registerMetrics adds the metrics of the store to set, which may be nil.
func (s *Store) registerMetrics(set *metrics.Set) {
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
		return s.sinceConfirmed(time.Now()).Seconds()
	})
	s.invalidObjects = set.NewCounter("nettlewalk_config_bad_objects_total")
}

// KindDump is the state of one kind in a dump.
type KindDump struct {
	Whole    bool // the collection is complete
	Revision uint64
	Objects  int    // number of objects, not counting removed ones
	Age      string // time since the kind was last known to be current
}

// StoreDump is the state of the store in a dump.
type StoreDump struct {
	Ready      bool
	Kinds      map[string]KindDump
	Resolved   int      // customers in the cache of effective configurations
	WithFaults []string // customers whose latest version is invalid; an earlier version is active
}

// Dump returns the state of the store as a StoreDump.
func (s *Store) Dump() any {
	ready := s.Ready()
	now := time.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	dump := StoreDump{Ready: ready, Kinds: map[string]KindDump{}, Resolved: len(s.resolved)}
	for kind, c := range s.kinds {
		k := KindDump{Whole: c.Complete(), Revision: c.Revision(), Objects: c.Len()}
		if at := s.confirmedAt[kind]; !at.IsZero() {
			k.Age = now.Sub(at).Round(time.Millisecond).String()
		}
		dump.Kinds[kind] = k
	}
	for name := range s.lastGood {
		dump.WithFaults = append(dump.WithFaults, name)
	}
	return dump
}
