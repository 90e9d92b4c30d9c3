package floor

import "github.com/cespare/xxhash/v2"

// SlotOf returns the slot of a group's primary whose holder runs the writes of
// the session and keeps its floor.
func SlotOf(session string, slots int) int {
	if slots <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(session) % uint64(slots))
}
