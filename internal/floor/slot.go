package floor

import "github.com/cespare/xxhash/v2"

// SlotOf returns the slot of the group's primary that a session is mapped to. The
// host that holds the slot runs the session's writes and tracks its floor.
func SlotOf(session string, slots int) int {
	if slots <= 0 {
		return 0
	}
	return int(xxhash.Sum64String(session) % uint64(slots))
}
