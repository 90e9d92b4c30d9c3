package promotion

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func at(term, offset uint64) topology.Position {
	return topology.Position{Term: term, Offset: offset}
}

func replica(id topology.TargetID, received topology.Position, paused uint64) Member {
	return Member{ID: id, Reach: Answered, Status: statement.TargetStatus{Term: received.Term, Received: received, PausedTerm: paused}}
}

func TestNextPausesAllButTheFurthest(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", at(1, 7), 0), replica("b", at(1, 9), 0), replica("c", at(1, 8), 0)}}
	qt.Check(t, Next(v), qt.DeepEquals, Step(Pause{Term: 2, Targets: []topology.TargetID{"a", "c"}}))
	v.Members[0].Status.PausedTerm, v.Members[2].Status.PausedTerm = 2, 2
	qt.Check(t, Next(v), qt.DeepEquals, Step(Promote{Target: "b"}))
}

func TestNextDoesNotPromoteALeavingReplica(t *testing.T) {
	leaving := replica("b", at(1, 9), 0)
	leaving.Leaving = true
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", at(1, 7), 0), leaving}}
	qt.Check(t, Next(v), qt.DeepEquals, Step(Pause{Term: 2, Targets: []topology.TargetID{"b"}}))
	v.Members[1].Status.PausedTerm = 2
	_, held := Next(v).(Hold)
	qt.Check(t, held, qt.IsTrue, qt.Commentf("a lacks what b has received"))
}

func TestNextHoldsForAReplicaThatItCannotPause(t *testing.T) {
	for _, reach := range []Reach{Unseen, Dead, Silent, Overloaded} {
		v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", at(1, 7), 0), {ID: "b", Reach: reach}}}
		_, held := Next(v).(Hold)
		qt.Check(t, held, qt.IsTrue, qt.Commentf("reach %d", reach))
	}
}

// A replica that died before the leader had a position can't have more than it.
func TestNextPassesOverAReplicaThatDiedBefore(t *testing.T) {
	dead := Member{ID: "b", Reach: Dead, LogSince: at(1, 6)}
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", at(1, 7), 0), dead}}
	qt.Check(t, Next(v), qt.DeepEquals, Step(Promote{Target: "a"}))
	v.Members[1].LogSince = at(1, 8)
	_, held := Next(v).(Hold)
	qt.Check(t, held, qt.IsTrue)
}

func TestNextEndsPausesThatNobodyNeeds(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", LeaderServes: true, Members: []Member{replica("a", at(1, 7), 2), replica("b", at(1, 9), 0)}}
	qt.Check(t, Next(v), qt.DeepEquals, Step(Resume{Targets: []topology.TargetID{"a"}}))
	v.Members[0].Status.PausedTerm = 0
	qt.Check(t, Next(v), qt.DeepEquals, Step(Rest{}))
}

// A holder that was cut off took the new leader for a replica and paused the
// new leader's replica.
func TestNextLooksAgainWhenAnotherLeads(t *testing.T) {
	leads := replica("a", at(3, 20), 0)
	leads.Status.Primary, leads.Status.Term = true, 3
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{leads, replica("b", at(3, 19), 0)}}
	_, held := Next(v).(Hold)
	qt.Check(t, held, qt.IsTrue)
}

// modelTarget is a target of the model: a log as its length, since all are
// prefixes of the leader's.
type modelTarget struct {
	id       topology.TargetID
	received uint64
	paused   bool
	down     bool // nobody listens
	hidden   bool // silent to the holder, at work for the leader
	mayWake  bool // an unanswered order to resume is on its way
	leaving  bool
	logSince uint64
	sawDead  bool
}

// model is a group whose leader acknowledges a commit once sync replicas have it.
type model struct {
	sync     int
	log      uint64 // of the leader
	acked    uint64
	leaderUp bool
	targets  []*modelTarget
}

// commit lets the leader write and replicas receive, as chance has it.
func (m *model) commit(t *rapid.T, label string) {
	if !m.leaderUp {
		return
	}
	m.log += uint64(rapid.IntRange(0, 2).Draw(t, label+" commits"))
	m.replicate(t, label)
}

func (m *model) replicate(t *rapid.T, label string) {
	if !m.leaderUp {
		return
	}
	for _, r := range m.targets {
		if r.mayWake && rapid.Bool().Draw(t, label+" late order") {
			r.paused, r.mayWake = false, false
		}
		if !r.paused && !r.down && rapid.Bool().Draw(t, label+" receives") {
			r.received = uint64(rapid.IntRange(int(r.received), int(m.log)).Draw(t, label+" up to"))
		}
	}
	m.acknowledge()
}

// acknowledge acknowledges what enough replicas have received.
func (m *model) acknowledge() {
	for p := m.acked + 1; p <= m.log; p++ {
		have := 0
		for _, r := range m.targets {
			if r.received >= p {
				have++
			}
		}
		if have < m.sync {
			return
		}
		m.acked = p
	}
}

// look sees one target after the other; the group goes on in between.
func (m *model) look(t *rapid.T, v *View) {
	v.Members = nil
	for _, r := range m.targets {
		m.commit(t, "during look")
		member := Member{ID: r.id, MayResume: r.mayWake, Leaving: r.leaving}
		switch {
		case r.down:
			member.Reach = Dead
			if r.sawDead {
				member.LogSince = at(1, r.logSince)
			}
		case r.hidden:
			member.Reach = Silent
		default:
			member.Reach = Answered
			member.Status = statement.TargetStatus{Term: 1, Received: at(1, r.received)}
			if r.paused {
				member.Status.PausedTerm = 2
			}
		}
		v.Members = append(v.Members, member)
	}
}

// fault changes the group: crashes, returns with the log, cuts.
func (m *model) fault(t *rapid.T) {
	r := m.targets[rapid.IntRange(0, len(m.targets)-1).Draw(t, "whom")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		r.down = true
	case 1: // comes back: its pause is over, and what was known of its death void
		r.down, r.paused, r.mayWake, r.sawDead = false, false, false, false
	case 2:
		r.hidden = !r.hidden
	case 3:
		m.leaderUp = false
	case 4:
		if r.paused {
			r.mayWake = true // an order to resume got no answer
		}
	case 5:
		r.leaving = true
	case 6: // the holder finds it dead and hears the leader's position afterwards
		if r.down && m.leaderUp {
			r.sawDead, r.logSince = true, max(m.log, 1)
		}
	}
}

// In no history is a target promoted that lacks an acknowledged commit.
func TestPromotionLosesNoAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{sync: rapid.IntRange(1, 2).Draw(t, "sync"), leaderUp: true}
		for i := range rapid.IntRange(m.sync+1, 4).Draw(t, "replicas") {
			m.targets = append(m.targets, &modelTarget{id: topology.TargetID(fmt.Sprint("r", i))})
		}
		v := View{AckReplicas: m.sync, Leader: "leader", Replace: true}
		for range 12 {
			m.commit(t, "before look")
			if rapid.IntRange(0, 3).Draw(t, "fault?") == 0 {
				m.fault(t)
			}
			m.look(t, &v)
			switch step := Next(v).(type) {
			case Pause:
				for _, r := range m.targets {
					for _, id := range step.Targets {
						if r.id == id && !r.down && !r.hidden && rapid.IntRange(0, 3).Draw(t, "order arrives") > 0 {
							r.paused = true
						}
					}
				}
			case Promote:
				m.finish(t, step.Target)
				return
			}
		}
	})
}

// finish lets the old leader go on until the promotion takes effect. The
// candidate may stop receiving with the order.
func (m *model) finish(t *rapid.T, target topology.TargetID) {
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
		t.Fatalf("%s has %d, acknowledged are %d", target, candidate.received, m.acked)
	}
}

// The target that answers at a replica's address may have its log, and goes on
// acknowledging, while the register doesn't know it yet.
func TestNextHoldsForASuccessorThatNobodyKnows(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", at(1, 7), 0), {ID: "b", Reach: Replaced}}}
	_, held := Next(v).(Hold)
	qt.Check(t, held, qt.IsTrue)
	v.Members[1].Reach = Gone // it is known, and a member of its own if it has the log
	qt.Check(t, Next(v), qt.DeepEquals, Step(Promote{Target: "a"}))
}
