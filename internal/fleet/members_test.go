package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func stateOf(m *Members, id topology.HostID) topology.HostState {
	for _, h := range m.Hosts() {
		if h.ID == id {
			return h.State
		}
	}
	return ""
}

func twoMembers() (*Members, topology.HostID) {
	hosts := fleetOf(2, 1)
	m := NewMembers(hosts[0])
	m.Apply(hosts, start)
	return m, hosts[1].ID
}

func TestSuspicionNeedsARunOfFailures(t *testing.T) {
	m, id := twoMembers()
	for d := time.Duration(0); d < suspectAfter; d += 250 * time.Millisecond {
		m.Report(id, false, at(d))
		qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
	}
	qt.Assert(t, m.Report(id, false, at(suspectAfter)), qt.Equals, Accused)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostGone)
}

func TestFailuresFarApartAreNoRun(t *testing.T) {
	m, id := twoMembers()
	for i := range 10 {
		m.Report(id, false, at(time.Duration(i)*2*runGap))
	}
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
}

func TestAccusationNeedsAnOwnFailure(t *testing.T) {
	m, id := twoMembers()
	m.Accuse(id, start)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
	qt.Assert(t, m.Failing(), qt.DeepEquals, []topology.HostID{id})
	qt.Assert(t, m.Report(id, false, at(time.Second)), qt.Equals, Suspected)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostGone)
}

func TestTrustReturnsSlowerAfterEachRelapse(t *testing.T) {
	m, id := twoMembers()
	now := start
	for relapse := range 3 {
		for !m.Suspected(id) {
			m.Report(id, false, now)
			now = now.Add(recheckEvery)
		}
		from := now
		for m.Suspected(id) {
			m.Report(id, true, now)
			now = now.Add(recheckEvery)
		}
		want := clearAfter << relapse
		qt.Assert(t, now.Sub(from) >= want, qt.IsTrue, qt.Commentf("relapse %d: trusted after %v", relapse, now.Sub(from)))
	}
}

func TestAnnouncementsOutrunTheList(t *testing.T) {
	m, id := twoMembers()
	m.Leaving(id, start)
	m.Apply(fleetOf(2, 1), at(leavingGrace))
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLeaving)
	m.Apply(fleetOf(2, 1), at(leavingGrace+1))
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)

	fresh := topology.Host{ID: "fresh", Domain: "domain-0", State: topology.HostLive}
	m.Hello(fresh, at(2*time.Minute))
	m.Apply(fleetOf(1, 1), at(2*time.Minute+helloGrace))
	qt.Assert(t, stateOf(m, "fresh"), qt.Equals, topology.HostLive)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostState(""))

	restarted := fleetOf(2, 1)[1]
	m.Hello(restarted, at(3*time.Minute))
	former := restarted
	former.State = topology.HostLeaving
	m.Apply([]topology.Host{former}, at(3*time.Minute))
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
	m.Apply(fleetOf(1, 1), at(2*time.Minute+helloGrace+1))
	qt.Assert(t, stateOf(m, "fresh"), qt.Equals, topology.HostState(""))
}

// A host that greeted a moment ago, died and was taken off the list is gone, also
// where it was the last of its domain.
func TestGreetingDoesNotOutliveADeadHost(t *testing.T) {
	m, id := twoMembers()
	m.Hello(fleetOf(2, 1)[1], start)
	now := start
	for !m.Suspected(id) {
		now = now.Add(100 * time.Millisecond)
		m.Report(id, false, now)
		qt.Assert(t, now.Sub(start) < helloGrace, qt.IsTrue)
	}
	m.Apply(fleetOf(1, 1), now)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostState(""))
}

func TestStateFlipsAtMostOncePerSuspicionTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, id := twoMembers()
		now := start
		last, changed := topology.HostLive, time.Time{}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			m.Report(id, rapid.Bool().Draw(t, "reachable"), now)
			state := stateOf(m, id)
			if state == last {
				continue
			}
			if !changed.IsZero() && now.Sub(changed) < clearAfter {
				t.Fatalf("flipped to %s %v after the last flip", state, now.Sub(changed))
			}
			last, changed = state, now
		}
	})
}
