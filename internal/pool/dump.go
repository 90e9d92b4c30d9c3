package pool

import (
	"cmp"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// SlotState is what a slot tells operators.
type SlotState struct {
	Target      topology.TargetID `json:"target"`
	Slot        int               `json:"slot"`
	Locked      bool              `json:"locked"`
	Draining    bool              `json:"draining"`
	Failure     string            `json:"failure,omitempty"`
	Limit       int               `json:"limit"` // connections, control included
	Connections int               `json:"connections"`
	Idle        int               `json:"idle"`
	Streams     int               `json:"streams"`
	Queue       int               `json:"queue"`
	ServiceTime string            `json:"service_time"`
	Status      target.Status     `json:"status"`
	StatusAge   string            `json:"status_age,omitempty"`
}

func (s *slot) counts() SlotState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SlotState{
		Target:      s.id,
		Slot:        s.number,
		Draining:    s.draining,
		Limit:       slotShare(s.held.Target),
		Connections: s.open,
		Idle:        len(s.idle),
		Streams:     s.streams,
		Queue:       s.queue.len(),
		ServiceTime: s.queue.times.all.String(),
		Status:      s.latest.status,
	}
}

func (s *slot) state(now time.Time) SlotState {
	state := s.counts()
	state.Locked = s.control.holds()
	if failure := s.control.down(); failure != nil {
		state.Failure = failure.Error()
	}
	if at := s.observed().sentAt; !at.IsZero() {
		state.StatusAge = now.Sub(at).String()
	}
	return state
}

// State is what a manager tells operators.
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

// load orders the slots of one target: lower is better.
func (s *slot) load() int {
	state := s.counts()
	load := state.Queue + state.Streams
	if !s.control.holds() {
		load += lockless
	}
	return load
}

const lockless = 1 << 20 // more than any queue
