package catalog

import "time"

// confirmations tracks the newest read that found no version newer than the known
// configuration. The zero value is ready to use.
//
// The age of the newest read is not enough: a host learns of a read by another host before
// it has fetched the version that this read returned.
type confirmations struct {
	confirmedAt time.Time // when the request of that read was sent
	// A read returned a version that isn't known yet; zero values if there is none.
	unknownVersion uint64
	unknownAt      time.Time
}

// record records that no version newer than the given one was in the store at a time. known
// is the version of the known configuration.
func (c *confirmations) record(known, version uint64, at time.Time) {
	if version <= known {
		c.confirmedAt = later(c.confirmedAt, at)
		return
	}
	if at.After(c.unknownAt) {
		c.unknownVersion, c.unknownAt = version, at
	}
}

// learned records that the known configuration now has the version.
func (c *confirmations) learned(version uint64) {
	if c.unknownVersion <= version {
		c.confirmedAt = later(c.confirmedAt, c.unknownAt)
		c.unknownVersion, c.unknownAt = 0, time.Time{}
	}
}

// RecordConfirmation records that no version newer than the given one was in the store when
// a read was sent, by this host or another one. It counts once that version or a newer one
// is known.
func (s *Store) RecordConfirmation(version uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := uint64(0)
	if s.config != nil {
		known = s.config.Version
	}
	s.confirmations.record(known, version, at)
}

// ConfirmedAt returns when the newest read was sent that found no version newer than the
// known one, on the steady clock, or the zero time if none is known.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.confirmedAt
}
