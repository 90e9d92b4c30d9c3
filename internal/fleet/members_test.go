package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var startTime = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return startTime.Add(d) }

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
	m.Apply(hosts, startTime)
	return m, hosts[1].ID
}

func TestSuspicionNeedsARunOfFailures(t *testing.T) {
	m, id := twoMembers()
	for d := time.Duration(0); d < suspectAfter; d += 250 * time.Millisecond {
		m.RecordCall(id, false, at(d))
		qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
	}
	qt.Assert(t, m.RecordCall(id, false, at(suspectAfter)), qt.Equals, SuspectedFirst)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostGone)
}

func TestFailuresFarApartDoNotSuspectAHost(t *testing.T) {
	m, id := twoMembers()
	for i := range 10 {
		m.RecordCall(id, false, at(time.Duration(i)*2*maxFailureGap))
	}
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
}

func TestAccusationAloneDoesNotSuspectAHost(t *testing.T) {
	m, id := twoMembers()
	m.Accuse(id, startTime)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
	qt.Assert(t, m.HostsToRecheck(), qt.DeepEquals, []topology.HostID{id})
	qt.Assert(t, m.RecordCall(id, false, at(time.Second)), qt.Equals, Suspected)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostGone)
}

func TestEachRelapseDoublesTheClearingTime(t *testing.T) {
	m, id := twoMembers()
	now := startTime
	for relapse := range 3 {
		for !m.Suspected(id) {
			m.RecordCall(id, false, now)
			now = now.Add(recheckInterval)
		}
		succeedingSince := now
		for m.Suspected(id) {
			m.RecordCall(id, true, now)
			now = now.Add(recheckInterval)
		}
		want := clearAfter << relapse
		qt.Assert(t, now.Sub(succeedingSince) >= want, qt.IsTrue, qt.Commentf("relapse %d: cleared after %v", relapse, now.Sub(succeedingSince)))
	}
}

func TestAnnouncementsTakePrecedenceOverTheList(t *testing.T) {
	m, id := twoMembers()
	m.MarkLeaving(id, startTime)
	m.Apply(fleetOf(2, 1), at(leavingGrace))
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLeaving)
	m.Apply(fleetOf(2, 1), at(leavingGrace+1))
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)

	newHost := topology.Host{ID: "fresh", Domain: "domain-0", State: topology.HostLive}
	m.Hello(newHost, at(2*time.Minute))
	m.Apply(fleetOf(1, 1), at(2*time.Minute+helloGrace))
	qt.Assert(t, stateOf(m, "fresh"), qt.Equals, topology.HostLive)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostState(""))

	restarted := fleetOf(2, 1)[1]
	m.Hello(restarted, at(3*time.Minute))
	formerProcess := restarted
	formerProcess.State = topology.HostLeaving
	m.Apply([]topology.Host{formerProcess}, at(3*time.Minute))
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostLive)
	m.Apply(fleetOf(1, 1), at(2*time.Minute+helloGrace+1))
	qt.Assert(t, stateOf(m, "fresh"), qt.Equals, topology.HostState(""))
}

// A host that announced itself just now, died and was taken off the list must be
// removed, even if it was the last host of its domain.
func TestDeadHostIsForgottenDespiteARecentAnnouncement(t *testing.T) {
	m, id := twoMembers()
	m.Hello(fleetOf(2, 1)[1], startTime)
	now := startTime
	for !m.Suspected(id) {
		now = now.Add(100 * time.Millisecond)
		m.RecordCall(id, false, now)
		qt.Assert(t, now.Sub(startTime) < helloGrace, qt.IsTrue)
	}
	m.Apply(fleetOf(1, 1), now)
	qt.Assert(t, stateOf(m, id), qt.Equals, topology.HostState(""))
}

func TestStateChangesAtMostOncePerClearingTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, id := twoMembers()
		now := startTime
		lastState, changedAt := topology.HostLive, time.Time{}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			m.RecordCall(id, rapid.Bool().Draw(t, "reachable"), now)
			state := stateOf(m, id)
			if state == lastState {
				continue
			}
			if !changedAt.IsZero() && now.Sub(changedAt) < clearAfter {
				t.Fatalf("changed to %s %v after the previous change", state, now.Sub(changedAt))
			}
			lastState, changedAt = state, now
		}
	})
}
