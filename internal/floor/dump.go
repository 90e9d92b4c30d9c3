package floor

import "nettlewalk.example/nettlewalk/internal/topology"

// TableDump is the state of one slot's table.
type TableDump struct {
	Group    topology.GroupID  `json:"group"`
	Target   topology.TargetID `json:"target"`
	Slot     int               `json:"slot"`
	Lock     uint64            `json:"lock"`
	Term     uint64            `json:"term"`
	Base     topology.Position `json:"base"`
	Sessions int               `json:"sessions"`
}

// Dump returns the state for operators, without the sessions' ids.
func (k *Keeper) Dump() any {
	k.mu.Lock()
	slots := make([]*keptSlot, 0, len(k.tables))
	for _, s := range k.tables {
		slots = append(slots, s)
	}
	k.mu.Unlock()
	dump := make([]TableDump, 0, len(slots))
	for _, s := range slots {
		dump = append(dump, s.dump())
	}
	return dump
}

func (s *keptSlot) dump() TableDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return TableDump{
		Group:    s.group,
		Target:   s.key.target,
		Slot:     s.key.slot,
		Lock:     s.table.identity.Lock,
		Term:     s.table.identity.Term,
		Base:     s.table.base,
		Sessions: s.table.Len(),
	}
}
