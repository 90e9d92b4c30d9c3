package promotion

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func pos(term, offset uint64) topology.Position {
	return topology.Position{Term: term, Offset: offset}
}

func replica(id topology.TargetID, received topology.Position, paused uint64) Member {
	return Member{ID: id, Reach: Answered, LogProved: true, Status: statement.TargetStatus{Term: received.Term, Received: received, PausedTerm: paused}}
}

func TestNextStepPausesAllButTheMostUpToDate(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 7), 0), replica("b", pos(1, 9), 0), replica("c", pos(1, 8), 0)}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Pause{Term: 2, Targets: []topology.TargetID{"a", "c"}}))
	v.Members[0].Status.PausedTerm, v.Members[2].Status.PausedTerm = 2, 2
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "b"}))
}

func TestNextStepDoesNotPromoteLeavingReplica(t *testing.T) {
	leaving := replica("b", pos(1, 9), 0)
	leaving.Leaving = true
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 7), 0), leaving}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Pause{Term: 2, Targets: []topology.TargetID{"b"}}))
	v.Members[1].Status.PausedTerm = 2
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("replica a has not received all commits of b"))
}

func TestNextStepWaitsForReplicaThatCannotBePaused(t *testing.T) {
	for _, reach := range []Reach{NotProbed, Dead, Unresponsive, Overloaded} {
		v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 7), 0), {ID: "b", Reach: reach}}}
		_, waits := NextStep(v).(Wait)
		qt.Check(t, waits, qt.IsTrue, qt.Commentf("reach %d", reach))
	}
}

// A replica that died before the leader reached a position has nothing after that
// position in its log.
func TestNextStepIgnoresReplicaWithBoundedLog(t *testing.T) {
	dead := Member{ID: "b", Reach: Dead, LogSince: pos(1, 6)}
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 7), 0), dead}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))
	v.Members[1].LogSince = pos(1, 8)
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue)
}

func TestNextStepEndsStalePauses(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", LeaderServes: true, Members: []Member{replica("a", pos(1, 7), 2), replica("b", pos(1, 9), 0)}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Resume{Targets: []topology.TargetID{"a"}}))
	v.Members[0].Status.PausedTerm = 0
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(NoAction{}))
}

// Guards against this failure: a holder that came back from a network partition
// mistook the new leader for a replica and paused the new leader's replica.
func TestNextStepWaitsWhenAnotherTargetLeads(t *testing.T) {
	leads := replica("a", pos(3, 20), 0)
	leads.Status.Primary, leads.Status.Term = true, 3
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{leads, replica("b", pos(3, 19), 0)}}
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue)
}

// modelTarget is a target of the model. Its log is represented by its length, since
// all logs are prefixes of the leader's log.
type modelTarget struct {
	id            topology.TargetID
	received      uint64
	paused        bool
	down          bool // refuses connections
	unreachable   bool // doesn't respond to the holder, but still receives from the leader
	mayResume     bool // an unanswered resume command is on its way
	leaving       bool
	logSince      uint64
	deathObserved bool
}

// model is a group whose leader acknowledges a commit once ackReplicas replicas have
// received it.
type model struct {
	ackReplicas int
	leaderLog   uint64 // length of the leader's log
	acked       uint64
	leaderUp    bool
	targets     []*modelTarget
}

// commit lets the leader write a random number of commits and then replicates.
func (m *model) commit(t *rapid.T, label string) {
	if !m.leaderUp {
		return
	}
	m.leaderLog += uint64(rapid.IntRange(0, 2).Draw(t, label+" commits"))
	m.replicate(t, label)
}

func (m *model) replicate(t *rapid.T, label string) {
	if !m.leaderUp {
		return
	}
	for _, r := range m.targets {
		if r.mayResume && rapid.Bool().Draw(t, label+" late resume") {
			r.paused, r.mayResume = false, false
		}
		if !r.paused && !r.down && rapid.Bool().Draw(t, label+" receives") {
			r.received = uint64(rapid.IntRange(int(r.received), int(m.leaderLog)).Draw(t, label+" up to"))
		}
	}
	m.acknowledge()
}

// acknowledge acknowledges the commits that enough replicas have received.
func (m *model) acknowledge() {
	for p := m.acked + 1; p <= m.leaderLog; p++ {
		have := 0
		for _, r := range m.targets {
			if r.received >= p {
				have++
			}
		}
		if have < m.ackReplicas {
			return
		}
		m.acked = p
	}
}

// observe probes one target after the other. The group keeps committing in between.
func (m *model) observe(t *rapid.T, v *View) {
	v.Members = nil
	for _, r := range m.targets {
		m.commit(t, "during probe")
		member := Member{ID: r.id, MayResume: r.mayResume, Leaving: r.leaving}
		switch {
		case r.down:
			member.Reach = Dead
			if r.deathObserved {
				member.LogSince = pos(1, r.logSince)
			}
		case r.unreachable:
			member.Reach = Unresponsive
		default:
			member.Reach = Answered
			member.Status = statement.TargetStatus{Term: 1, Received: pos(1, r.received)}
			if r.paused {
				member.Status.PausedTerm = 2
			}
		}
		v.Members = append(v.Members, member)
	}
}

// injectFault applies a random fault to a random target or to the leader: a crash, a
// restart with the log intact, a network partition, a lost answer or a departure.
func (m *model) injectFault(t *rapid.T) {
	r := m.targets[rapid.IntRange(0, len(m.targets)-1).Draw(t, "target")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		r.down = true
	case 1: // restarts: its pause has ended, and the recorded death no longer applies
		r.down, r.paused, r.mayResume, r.deathObserved = false, false, false, false
	case 2:
		r.unreachable = !r.unreachable
	case 3:
		m.leaderUp = false
	case 4:
		if r.paused {
			r.mayResume = true // a resume command got no answer
		}
	case 5:
		r.leaving = true
	case 6: // the holder finds the target dead and then receives a position of the leader
		if r.down && m.leaderUp {
			r.deathObserved, r.logSince = true, max(m.leaderLog, 1)
		}
	}
}

// No history of faults leads to the promotion of a target that lacks an acknowledged
// commit.
func TestPromotionLosesNoAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{ackReplicas: rapid.IntRange(1, 2).Draw(t, "sync"), leaderUp: true}
		for i := range rapid.IntRange(m.ackReplicas+1, 4).Draw(t, "replicas") {
			m.targets = append(m.targets, &modelTarget{id: topology.TargetID(fmt.Sprint("r", i))})
		}
		v := View{AckReplicas: m.ackReplicas, Leader: "leader", Replace: true}
		for range 12 {
			m.commit(t, "before probe")
			if rapid.IntRange(0, 3).Draw(t, "fault?") == 0 {
				m.injectFault(t)
			}
			m.observe(t, &v)
			switch step := NextStep(v).(type) {
			case Pause:
				for _, r := range m.targets {
					for _, id := range step.Targets {
						if r.id == id && !r.down && !r.unreachable && rapid.IntRange(0, 3).Draw(t, "pause arrives") > 0 {
							r.paused = true
						}
					}
				}
			case Promote:
				m.checkPromotion(t, step.Target)
				return
			}
		}
	})
}

// checkPromotion lets the old leader go on until the promotion takes effect and then
// checks the candidate's log. The candidate may stop receiving as soon as the
// promotion is requested.
func (m *model) checkPromotion(t *rapid.T, target topology.TargetID) {
	var candidate *modelTarget
	for _, r := range m.targets {
		if r.id == target {
			candidate = r
		}
	}
	candidate.paused = candidate.paused || rapid.Bool().Draw(t, "stops receiving")
	for range 3 {
		m.commit(t, "until effect")
	}
	if candidate.received < m.acked {
		t.Fatalf("%s has %d commits, %d are acknowledged", target, candidate.received, m.acked)
	}
}

// An unregistered target that answers at a replica's address may have the replica's
// log and keep acknowledging commits.
func TestNextStepWaitsForUnregisteredTarget(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 7), 0), {ID: "b", Reach: UnregisteredTarget}}}
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue)
	v.Members[1].Reach = Reassigned // the target is registered, so it is a separate member if it has the log
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))
}

// A primary that was replaced and leads on doesn't follow the present leader.
func TestNextStepDemotesReplacedPrimary(t *testing.T) {
	replaced := replica("a", pos(1, 9), 0)
	replaced.Status.Primary = true
	v := View{AckReplicas: 1, Leader: "p", LeaderServes: true, LeaderTerm: 2, Members: []Member{replaced, replica("b", pos(1, 9), 0)}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Demote{Term: 2, Targets: []topology.TargetID{"a"}}))
	v.LeaderTerm = 0
	v.Members[1] = replica("b", pos(2, 10), 0)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Demote{Term: 2, Targets: []topology.TargetID{"a"}}))
	v.Members[1] = replica("b", pos(1, 9), 2) // the pause of an attempt: nothing has been replaced
	_, demotes := NextStep(v).(Demote)
	qt.Check(t, demotes, qt.IsFalse)
}

// While a request for one target may still be carried out, no other one is promoted,
// whichever would be preferred.
func TestNextStepPromotesOnlyTheOrderedTarget(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Ordered: "b", Members: []Member{replica("a", pos(1, 7), 2), replica("b", pos(1, 7), 0)}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "b"}))
	v.Members[0].Status.Received = pos(1, 8)
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("b lacks a commit"))
	v.Members[1].Reach = Reassigned // it has left
	_, waits = NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("b has left, and a must not be promoted"))
	v.Ordered = ""
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))
}

// Where the platform checks tokens, a requested target that lacks commits callers may have heard of
// isn't waited for: another target is requested, or the leader, which changes nothing.
func TestRequestedTargetThatLacksCommitsIsOverridden(t *testing.T) {
	empty := replica("b", pos(1, 0), 0)
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Ordered: "b", MayOverride: true, Confirmed: true, MaySeal: true, RegisterRead: true, Members: []Member{replica("a", pos(1, 7), 2), empty}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Seal{Term: 1}), qt.Commentf("what callers heard of isn't known yet"))
	v.LeaderServes, v.LeaderPosition = true, pos(1, 7)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Seal{Term: 1}), qt.Commentf("nor does it catch up first"))
	v.Sealing, v.Covering = confirm.Sealing{Closed: true}, pos(1, 7)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "p"}), qt.Commentf("the leader tells what it lacks"))
	v.Sealing, v.Covering = confirm.Sealing{Closed: true, Floor: pos(1, 7)}, topology.Position{}
	v.Members[0].Status.Received = pos(1, 0)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "p"}), qt.Commentf("some voters tell what it lacks"))
	v.LeaderServes, v.Members[0].Status.Received = false, pos(1, 7)
	v.Sealing = confirm.Sealing{Closed: true, Known: true, Floor: pos(1, 7)}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))
	v.LeaderServes = true
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "p"}), qt.Commentf("the leader serves"))
	v.LeaderServes, v.MayOverride = false, false
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("no token is checked"))
	v.MayOverride = true
	v.Members[1].Status.Received = pos(1, 7)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "b"}), qt.Commentf("it has them"))
	v.Sealing = confirm.Sealing{Closed: true}
	v.Members[1] = replica("b", pos(1, 6), 2)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}), qt.Commentf("voters can't tell, and another target has more"))
}

func TestIsCurrentLeader(t *testing.T) {
	leader := statement.TargetStatus{Primary: true, Term: 2}
	v := View{Members: []Member{replica("a", pos(2, 7), 3), {ID: "b", Reach: Unresponsive}}}
	qt.Check(t, isCurrentLeader(leader, &v, 2), qt.IsTrue)
	qt.Check(t, isCurrentLeader(leader, &v, 3), qt.IsFalse, qt.Commentf("earlier holders knew of a later term"))
	v.Members[0] = replica("a", pos(3, 7), 0)
	qt.Check(t, isCurrentLeader(leader, &v, 2), qt.IsFalse, qt.Commentf("a replica follows a later term"))
}
