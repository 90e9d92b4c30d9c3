package confirm

import "nettlewalk.example/nettlewalk/internal/topology"

// MaxVoters is the number of voters of a group, if there are enough hosts.
const MaxVoters = 5

// Voter is a process of a host.
type Voter struct {
	Host topology.HostID `json:"host"`
	Boot uint64          `json:"boot"` // identifies the process
}

// MaxDropped is the number of targets that an electorate may exclude.
const MaxDropped = 4

// Electorate is the list of the voters of a group, and of the targets by whose logs no promotion
// is decided. The zero value has none.
type Electorate struct {
	// Epoch increases with each change of the list.
	Epoch  uint64           `json:"epoch"`
	Voters [MaxVoters]Voter `json:"voters"` // unused entries are zero
	// Floor is at or after every position that was confirmed in earlier epochs.
	Floor topology.Position `json:"floor"`
	// FromTerm is the term of the leader when the epoch began. Commits of earlier terms
	// aren't confirmed in it.
	FromTerm uint64 `json:"from_term"`
	// Dropped are targets that may have received commits, but aren't waited for if the logs decide a
	// promotion: every commit that is passed on in this epoch is proved to have been received by
	// others. Unused entries are zero.
	Dropped [MaxDropped]topology.TargetID `json:"dropped,omitzero"`
}

// DroppedTargets returns the entries of Dropped in use.
func (e *Electorate) DroppedTargets() []topology.TargetID {
	n := 0
	for n < len(e.Dropped) && e.Dropped[n] != "" {
		n++
	}
	return e.Dropped[:n]
}

// NeedsReceipts reports whether a commit is passed on only once its receipt is proved.
func (e *Electorate) NeedsReceipts() bool { return e.Dropped[0] != "" }

// Members returns the voters.
func (e *Electorate) Members() []Voter {
	n := 0
	for n < len(e.Voters) && e.Voters[n] != (Voter{}) {
		n++
	}
	return e.Voters[:n]
}

// Quorum returns how many voters must record a position to confirm it.
func (e *Electorate) Quorum() int { return len(e.Members())/2 + 1 }

// Process is what a host knows of a process of the fleet.
type Process struct {
	Voter
	Domain  topology.Domain
	Live    bool // heard from recently, directly or through others
	Leaving bool // it is shutting down
	// Gone is set if the process has been silent for so long that it counts as ended.
	Gone bool
}
