package confirm

import (
	"cmp"
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ChooseVoters returns the voters that the next epoch should have, sorted by host: those of
// the current electorate that are live and aren't leaving, and other such processes up to
// the given number, at most one a host and with the failure domains covered as evenly as
// possible. It returns the current voters if no process is eligible, or if only their order
// would change.
func ChooseVoters(current Electorate, processes []Process, number int) []Voter {
	candidates := eligibleProcesses(processes)
	if len(candidates) == 0 {
		return slices.Clone(current.Members())
	}
	chosen, spare := splitByVote(candidates, &current)
	for len(chosen) < number && len(spare) > 0 {
		chosen, spare = moveTo(chosen, spare, indexOfBest(spare, chosen))
	}
	for {
		in := indexOfBest(spare, chosen)
		out := indexOfCrowded(chosen)
		if in < 0 || out < 0 || votersIn(spare[in].Domain, chosen) > 0 {
			break
		}
		chosen = slices.Delete(chosen, out, out+1)
		chosen, spare = moveTo(chosen, spare, in)
	}
	voters := make([]Voter, 0, len(chosen))
	for _, p := range chosen {
		voters = append(voters, p.Voter)
	}
	slices.SortFunc(voters, compareVoters)
	if current.SameVoters(voters) {
		return slices.Clone(current.Members())
	}
	return voters
}

// SameVoters reports whether v lists the voters of the electorate, in any order.
func (e *Electorate) SameVoters(v []Voter) bool {
	own, other := slices.Clone(e.Members()), slices.Clone(v)
	slices.SortFunc(own, compareVoters)
	slices.SortFunc(other, compareVoters)
	return slices.Equal(own, other)
}

func compareVoters(a, b Voter) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Boot, b.Boot))
}

// eligibleProcesses returns the processes that may vote, sorted by host.
func eligibleProcesses(processes []Process) []Process {
	list := slices.DeleteFunc(slices.Clone(processes), func(p Process) bool { return !p.Live || p.Leaving || p.Gone })
	slices.SortStableFunc(list, func(a, b Process) int { return compareVoters(a.Voter, b.Voter) })
	return list
}

// splitByVote separates the current voters from the processes of other hosts. Of two
// processes of a host, one is left out: that which isn't a voter, or the first.
func splitByVote(candidates []Process, current *Electorate) (voters, others []Process) {
	hosts := map[topology.HostID]bool{}
	for _, p := range candidates {
		if !hosts[p.Host] && slices.Contains(current.Members(), p.Voter) {
			hosts[p.Host] = true
			voters = append(voters, p)
		}
	}
	for _, p := range candidates {
		if !hosts[p.Host] {
			hosts[p.Host] = true
			others = append(others, p)
		}
	}
	return voters, others
}

// moveTo moves spare[i] to the chosen processes.
func moveTo(chosen, spare []Process, i int) (newChosen, newSpare []Process) {
	return append(chosen, spare[i]), slices.Delete(spare, i, i+1)
}

// votersIn returns the number of chosen processes in the domain.
func votersIn(d topology.Domain, chosen []Process) int {
	n := 0
	for _, p := range chosen {
		if p.Domain == d {
			n++
		}
	}
	return n
}

// indexOfBest returns the index of the first spare process in a domain with the fewest
// voters, -1 if there is none.
func indexOfBest(spare, chosen []Process) int {
	best, fewest := -1, 0
	for i, p := range spare {
		if n := votersIn(p.Domain, chosen); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	return best
}

// indexOfCrowded returns the index of the process with the highest address among those in
// the domain with the most voters, -1 if no domain has two.
func indexOfCrowded(chosen []Process) int {
	crowded, most := -1, 1
	for i, p := range chosen {
		n := votersIn(p.Domain, chosen)
		if n > most || n == most && crowded >= 0 && p.Host > chosen[crowded].Host {
			crowded, most = i, n
		}
	}
	return crowded
}
