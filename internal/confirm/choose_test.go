package confirm

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

func live(host topology.HostID, boot uint64, d topology.Domain) Process {
	return Process{Voter: Voter{Host: host, Boot: boot}, Domain: d, Live: true}
}

func electorateOf(voters ...Voter) (e Electorate) {
	e.Epoch = 1
	copy(e.Voters[:], voters)
	return e
}

func hostsOf(voters []Voter) (hosts []topology.HostID) {
	for _, v := range voters {
		hosts = append(hosts, v.Host)
	}
	return hosts
}

func TestChooseVoters(t *testing.T) {
	a, b, c := live("a", 1, "north"), live("b", 1, "south"), live("c", 1, "coast")
	a2, b2 := live("a2", 1, "north"), live("b2", 1, "south")
	leaving, silent, gone, restarted := b, b, b, b
	leaving.Leaving, silent.Live, restarted.Boot = true, false, 2
	gone.Live, gone.Gone = false, true
	abc := electorateOf(a.Voter, b.Voter, c.Voter)
	for _, test := range []struct {
		name      string
		current   Electorate
		processes []Process
		want      []topology.HostID
	}{
		{"the first ones cover the domains", Electorate{}, []Process{c, b2, b, a2, a}, []topology.HostID{"a", "b", "c"}},
		{"fewer hosts than voters", Electorate{}, []Process{b, a}, []topology.HostID{"a", "b"}},
		{"one domain", Electorate{}, []Process{live("z", 1, "n"), live("y", 1, "n"), live("x", 1, "n"), live("w", 1, "n")}, []topology.HostID{"w", "x", "y"}},
		{"live voters stay", electorateOf(a2.Voter, b2.Voter, c.Voter), []Process{a, a2, b, b2, c}, []topology.HostID{"a2", "b2", "c"}},
		{"a leaving voter is replaced in its domain", abc, []Process{a, a2, leaving, b2, c}, []topology.HostID{"a", "b2", "c"}},
		{"a silent voter", abc, []Process{a, a2, silent, b2, c}, []topology.HostID{"a", "b2", "c"}},
		{"a voter that has ended", abc, []Process{a, a2, gone, b2, c}, []topology.HostID{"a", "b2", "c"}},
		{"an unknown voter", abc, []Process{a, a2, b2, c}, []topology.HostID{"a", "b2", "c"}},
		{"a restarted voter", abc, []Process{a, a2, restarted, b2, c}, []topology.HostID{"a", "b", "c"}},
		{"a voter with no replacement in its domain", abc, []Process{a, a2, silent, c}, []topology.HostID{"a", "a2", "c"}},
		{"a voter with no replacement at all", abc, []Process{a, silent, c}, []topology.HostID{"a", "c"}},
		{"a domain that comes back takes the second vote of another", electorateOf(a.Voter, a2.Voter, c.Voter), []Process{a, a2, b, c}, []topology.HostID{"a", "b", "c"}},
		{"two domains that come back", electorateOf(a.Voter, a2.Voter, live("a3", 1, "north").Voter), []Process{a, a2, live("a3", 1, "north"), b, c}, []topology.HostID{"a", "b", "c"}},
		{"two domains, three voters", electorateOf(a.Voter, a2.Voter, b.Voter), []Process{a, a2, b, b2}, []topology.HostID{"a", "a2", "b"}},
		{"nobody is eligible", abc, []Process{silent, leaving}, []topology.HostID{"a", "b", "c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ChooseVoters(test.current, test.processes, 3)
			qt.Check(t, hostsOf(got), qt.DeepEquals, test.want)
			if slices.Contains(test.processes, restarted) {
				qt.Check(t, got, qt.Contains, restarted.Voter)
			}
		})
	}
}

// A list that differs only in its order would cost a write to the store and a new epoch, time
// and again.
func TestOrderOfVotersIsNoChange(t *testing.T) {
	a, b, c := live("a", 1, "north"), live("b", 1, "south"), live("c", 1, "coast")
	current := electorateOf(c.Voter, a.Voter, b.Voter)
	got := ChooseVoters(current, []Process{a, b, c}, 3)
	qt.Check(t, got, qt.DeepEquals, []Voter{c.Voter, a.Voter, b.Voter})
	qt.Check(t, current.SameVoters([]Voter{a.Voter, b.Voter, c.Voter}), qt.IsTrue)
	qt.Check(t, current.SameVoters([]Voter{a.Voter, b.Voter}), qt.IsFalse)
	qt.Check(t, current.SameVoters([]Voter{a.Voter, b.Voter, {Host: "c", Boot: 2}}), qt.IsFalse)
	qt.Check(t, (&Electorate{}).SameVoters(nil), qt.IsTrue)
	got[0].Host = "x"
	qt.Check(t, current.Voters[0], qt.Equals, c.Voter, qt.Commentf("the result is the caller's"))
}

func drawProcesses(t *rapid.T) []Process {
	domains := []topology.Domain{"north", "south", "coast", "east"}[:rapid.IntRange(1, 4).Draw(t, "domains")]
	var list []Process
	for i := range rapid.IntRange(0, 9).Draw(t, "hosts") {
		host, d := topology.HostID(rune('a'+i)), rapid.SampledFrom(domains).Draw(t, "domain")
		for boot := range rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "processes") {
			p := live(host, boot+1, d)
			p.Live = rapid.IntRange(0, 3).Draw(t, "live") > 0
			p.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			p.Gone = !p.Live && rapid.Bool().Draw(t, "gone")
			list = append(list, p)
		}
	}
	return list
}

func TestChosenVotersAreSpreadAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var known []Voter
		for i := range 9 {
			known = append(known, Voter{Host: topology.HostID(rune('a' + i)), Boot: rapid.Uint64Range(1, 2).Draw(t, "boot")})
		}
		current := electorateOf(rapid.Permutation(known).Draw(t, "voters")[:rapid.IntRange(0, MaxVoters).Draw(t, "count")]...)
		processes := drawProcesses(t)
		voters := ChooseVoters(current, processes, MaxVoters)

		eligible := map[Voter]topology.Domain{}
		eligibleHosts, eligibleDomains := map[topology.HostID]bool{}, map[topology.Domain]int{}
		for _, p := range processes {
			if p.Live && !p.Leaving {
				eligible[p.Voter] = p.Domain
				if !eligibleHosts[p.Host] {
					eligibleDomains[p.Domain]++
				}
				eligibleHosts[p.Host] = true
			}
		}
		if len(eligible) == 0 {
			if !slices.Equal(voters, current.Members()) {
				t.Fatalf("%v in place of %v without a live process", voters, current.Members())
			}
			return
		}
		if want := min(MaxVoters, len(eligibleHosts)); len(voters) != want {
			t.Fatalf("%d voters, want %d", len(voters), want)
		}
		hosts, perDomain := map[topology.HostID]bool{}, map[topology.Domain]int{}
		for _, v := range voters {
			d, ok := eligible[v]
			if !ok {
				t.Fatalf("%v may not vote", v)
			}
			if hosts[v.Host] {
				t.Fatalf("two voters of host %s", v.Host)
			}
			hosts[v.Host] = true
			perDomain[d]++
		}
		if want := min(len(voters), len(eligibleDomains)); len(perDomain) != want {
			t.Fatalf("voters in %d domains, possible are %d", len(perDomain), want)
		}
		if !current.SameVoters(voters) && !slices.IsSortedFunc(voters, compareVoters) {
			t.Fatalf("%v isn't sorted", voters)
		}
		if current.SameVoters(voters) && !slices.Equal(voters, current.Members()) {
			t.Fatalf("%v differs from %v in its order only", voters, current.Members())
		}

		next := electorateOf(voters...)
		if again := ChooseVoters(next, processes, MaxVoters); !slices.Equal(again, voters) {
			t.Fatalf("%v, and again %v", voters, again)
		}
		shuffled := slices.Clone(processes)
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if other := ChooseVoters(current, shuffled, MaxVoters); !slices.Equal(other, voters) {
			t.Fatalf("%v, in another order of the processes %v", voters, other)
		}
	})
}

// A voter that may go on is replaced only for one in a domain without a voter.
func TestEligibleVotersStayUnlessADomainNeedsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := drawProcesses(t)
		var may []Process
		for _, p := range processes {
			if p.Live && !p.Leaving && !slices.ContainsFunc(may, func(o Process) bool { return o.Host == p.Host }) {
				may = append(may, p)
			}
		}
		if len(may) == 0 {
			return
		}
		before := rapid.Permutation(may).Draw(t, "voters")[:rapid.IntRange(1, min(MaxVoters, len(may))).Draw(t, "count")]
		var current Electorate
		domainsBefore := map[topology.Domain]bool{}
		for i, p := range before {
			current.Voters[i], domainsBefore[p.Domain] = p.Voter, true
		}
		voters := ChooseVoters(current, processes, MaxVoters)
		dropped, domains := 0, map[topology.Domain]bool{}
		for _, p := range before {
			if !slices.Contains(voters, p.Voter) {
				dropped++
			}
		}
		for _, p := range processes {
			if slices.Contains(voters, p.Voter) {
				domains[p.Domain] = true
			}
		}
		if gained := len(domains) - len(domainsBefore); gained < dropped {
			t.Fatalf("%d of %v dropped for %v, which covers %d more domains", dropped, current.Members(), voters, gained)
		}
	})
}
