package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func process(host topology.HostID, boot uint64, d topology.Domain) confirm.Process {
	return confirm.Process{Voter: confirm.Voter{Host: host, Boot: boot}, Domain: d, Live: true}
}

// newFleetOfProcesses returns a fakeNetwork of three hosts whose processes have the
// incarnation 1.
func newFleetOfProcesses() *fakeNetwork {
	n := newFakeNetwork("north", "south", "coast")
	for _, g := range n.hosts {
		g.self.Boot = 1
	}
	n.runRounds()
	return n
}

// A process that has restarted lost what it recorded as a voter. Taken for the earlier one, it
// would count towards a quorum.
func TestProcessesTellRestartedHost(t *testing.T) {
	n := newFleetOfProcesses()
	a, b, c := process("a", 1, "north"), process("b", 1, "south"), process("c", 1, "coast")
	qt.Check(t, n.hosts["b"].Processes(), qt.DeepEquals, []confirm.Process{a, b, c})
	n.hosts["c"] = newFakeNetwork("north", "south", "coast").hosts["c"]
	n.hosts["c"].opts.Caller = n
	n.hosts["c"].self.Boot = 2
	qt.Check(t, n.hosts["c"].Processes(), qt.DeepEquals, []confirm.Process{process("c", 2, "coast")})
	n.runRounds()
	c.Boot = 2
	for _, g := range n.hosts {
		qt.Check(t, g.Processes(), qt.DeepEquals, []confirm.Process{a, b, c})
	}
}

func TestProcessesTellLeavingAndSilentHosts(t *testing.T) {
	n := newFleetOfProcesses()
	g := n.hosts["a"]
	n.hosts["b"].Leave()
	n.runRounds()
	a, b, c := process("a", 1, "north"), process("b", 1, "south"), process("c", 1, "coast")
	b.Live, b.Leaving = false, true
	qt.Check(t, g.Processes(), qt.DeepEquals, []confirm.Process{a, b, c})
	n.ageAllHosts(livenessTimeout)
	c.Live = false
	qt.Check(t, g.Processes(), qt.DeepEquals, []confirm.Process{a, b, c})
	n.ageAllHosts(voteTimeout - livenessTimeout)
	b.Gone, c.Gone = true, true
	qt.Check(t, g.Processes(), qt.DeepEquals, []confirm.Process{a, b, c})
	g.Leave()
	qt.Check(t, g.Processes()[0].Leaving, qt.IsTrue)
}

// A host whose address is all that is known has no process that could vote.
func TestProcessesLeaveOutReportedHosts(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	a := n.hosts["a"]
	n.hosts["c"].exchange(t.Context(), "b")
	a.exchange(t.Context(), "b")
	qt.Assert(t, a.Sharers().Hosts, qt.HasLen, 3)
	qt.Check(t, a.Processes(), qt.DeepEquals, []confirm.Process{process("a", 0, "north"), process("b", 0, "south")})
}
