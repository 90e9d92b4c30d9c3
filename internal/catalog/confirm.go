package catalog

import "time"

// confirmations tracks the newest read that found nothing newer than the known
// configuration or registry. The zero value is ready to use.
//
// The age of the newest read is not enough: a host learns of a read by another host before
// it has fetched what this read returned.
type confirmations struct {
	confirmedAt time.Time // when the request of that read was sent
	// A read returned a position that isn't known yet; zero values if there is none.
	unknown   StorePosition
	unknownAt time.Time
}

// record records that nothing newer than position was in the store at a time. known is the
// known position.
func (c *confirmations) record(known, position StorePosition, at time.Time) {
	if !position.After(known) {
		c.confirmedAt = later(c.confirmedAt, at)
		return
	}
	if at.After(c.unknownAt) {
		c.unknown, c.unknownAt = position, at
	}
}

// learned records that the known position is now the given one.
func (c *confirmations) learned(position StorePosition) {
	if !c.unknown.After(position) {
		c.confirmedAt = later(c.confirmedAt, c.unknownAt)
		c.unknown, c.unknownAt = StorePosition{}, time.Time{}
	}
}

// versionPosition returns the position by which a configuration's version is confirmed.
func versionPosition(version uint64) StorePosition { return StorePosition{Revision: version} }

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
	s.confirmations.record(versionPosition(known), versionPosition(version), at)
}

// ConfirmedAt returns when the newest read was sent that found no version newer than the
// known one, on the steady clock, or the zero time if none is known.
func (s *Store) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.confirmedAt
}

// RecordRegistryConfirmation records that no change of the registry after the given position
// was in the store when a read was sent, by this host or another one. It counts once a
// snapshot of that position or a later one is known.
func (s *Store) RecordRegistryConfirmation(position StorePosition, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := StorePosition{}
	if s.registry != nil {
		known = s.registry.Position()
	}
	if position != (StorePosition{}) { // of a host without a snapshot
		s.registryConfirmations.record(known, position, at)
	}
}

// RegistryConfirmedAt returns when the newest read was sent that found no change of the
// registry after the known snapshot, on the steady clock, or the zero time if none is known.
func (s *Store) RegistryConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryConfirmations.confirmedAt
}
