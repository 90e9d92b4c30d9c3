package floor

import "nettlewalk.example/nettlewalk/internal/topology"

// TableDump is the state of one slot's table for operators. Lock counts how often
// this host has taken the slot's lock.
type TableDump struct {
	Group    topology.GroupID  `json:"group"`
	Target   topology.TargetID `json:"target"`
	Slot     int               `json:"slot"`
	Lock     uint64            `json:"lock"`
	Term     uint64            `json:"term"`
	Base     topology.Position `json:"base"`
	Sessions int               `json:"sessions"`
}

// Dump returns a []TableDump for operators. It contains no session ids.
func (k *Keeper) Dump() any {
	k.mu.Lock()
	slots := make([]*slotState, 0, len(k.states))
	for _, s := range k.states {
		slots = append(slots, s)
	}
	k.mu.Unlock()
	dump := make([]TableDump, 0, len(slots))
	for _, s := range slots {
		dump = append(dump, s.dump())
	}
	return dump
}

func (s *slotState) dump() TableDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return TableDump{
		Group:    s.group,
		Target:   s.key.target,
		Slot:     s.key.slot,
		Lock:     s.table.epoch.Lock,
		Term:     s.table.epoch.Term,
		Base:     s.table.base,
		Sessions: s.table.Len(),
	}
}
