package pool

import (
	"cmp"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// SlotState is the state of a slot as shown to operators.
type SlotState struct {
	Target      topology.TargetID `json:"target"`
	Slot        int               `json:"slot"`
	Locked      bool              `json:"locked"`
	Draining    bool              `json:"draining"`
	Failure     string            `json:"failure,omitempty"`
	Limit       int               `json:"limit"` // connections, including the control connection
	Connections int               `json:"connections"`
	Idle        int               `json:"idle"`
	Streams     int               `json:"streams"`
	Queue       int               `json:"queue"`
	ServiceTime string            `json:"service_time"`
	Status      target.Status     `json:"status"`
	StatusAge   string            `json:"status_age,omitempty"`
}

// snapshot returns the part of the state that s.mu guards.
func (s *slot) snapshot() SlotState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SlotState{
		Target:      s.id,
		Slot:        s.number,
		Draining:    s.draining,
		Limit:       slotShare(s.held.Target),
		Connections: s.openConns,
		Idle:        len(s.idle),
		Streams:     s.activeStreams,
		Queue:       s.queue.len(),
		ServiceTime: s.queue.times.overallMean.String(),
		Status:      s.latest.status,
	}
}

// state returns the slot's state.
func (s *slot) state(now time.Time) SlotState {
	state := s.snapshot()
	state.Locked = s.control.holdsLock()
	if failure := s.control.downReason(); failure != nil {
		state.Failure = failure.Error()
	}
	if at := s.latestStatus().sentAt; !at.IsZero() {
		state.StatusAge = now.Sub(at).String()
	}
	return state
}

// State is the state of a Manager as shown to operators.
type State struct {
	Leaving bool        `json:"leaving"`
	Streams int         `json:"streams"`
	Slots   []SlotState `json:"slots"`
}

func sortSlots(slots []SlotState) {
	slices.SortFunc(slots, func(a, b SlotState) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Slot, b.Slot))
	})
}

// load ranks the slots of one target: lower is better.
func (s *slot) load() int {
	state := s.snapshot()
	load := state.Queue + state.Streams
	if !s.control.holdsLock() {
		load += unlockedPenalty
	}
	return load
}

const unlockedPenalty = 1 << 20 // exceeds the load of any slot
