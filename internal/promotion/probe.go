package promotion

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// syncProbers updates the probers from the registry and returns its members.
func (w *Watcher) syncProbers() []catalog.Member {
	now := steady.Now()
	members, unregistered := w.possibleCommitHolders(now)
	recorded := map[topology.TargetID]int64{}
	for _, m := range w.opts.Duty.Members(w.opts.Group) {
		recorded[m.ID] = m.Incarnation
	}
	listed := map[topology.TargetID]bool{}
	for _, m := range members {
		listed[m.Target.ID] = true
		pr := w.probers[m.Target.ID]
		if pr != nil && pr.target.Addr == m.Target.Addr {
			pr.target = m.Target
		} else {
			if pr != nil {
				pr.closeConn()
			}
			pr = &prober{target: m.Target, aliveAt: now, dialer: w.opts.Dialer, parse: w.opts.Parse, recorded: recorded[m.Target.ID], endCheck: endCheck{ask: w.opts.AskHosts}}
			w.probers[m.Target.ID] = pr
			w.opts.Log.Info("target may hold commits", append([]any{"group", w.opts.Group, "target", m.Target.ID, "addr", m.Target.Addr, "incarnation", m.Incarnation, "unregistered_ms", unregistered[m.Target.ID].Milliseconds()}, w.knowledgeLog()...)...)
		}
		pr.updateRegistration(unregistered[m.Target.ID], w.occupantAt(m.Target))
		pr.updateIncarnation(m.Incarnation, m.Target.ID == w.leader, now)
	}
	for id, pr := range w.probers {
		if !listed[id] {
			w.opts.Log.Info("target no longer counts as holding commits", "group", w.opts.Group, "target", id, "unregistered_ms", pr.unregisteredFor.Milliseconds(), "ended", !pr.endedSince.IsZero(), "log_since", pr.logUpperBound.String())
			pr.closeConn()
			delete(w.probers, id)
		}
	}
	w.takeUpEvidence()
	return members
}

// occupantAt tells which target is registered at a target's address.
func (w *Watcher) occupantAt(t topology.Target) occupant {
	other, taken := w.opts.Catalog.TargetAt(t.Addr)
	switch {
	case !taken || other.Target.ID == t.ID:
		return ownAddress
	case other.Target.Group == t.Group:
		return groupMember
	}
	return otherGroup
}

// probeLeader asks the targets which of them leads, first the last known leader. If
// none leads, reach is the probe result of the last known leader.
func (w *Watcher) probeLeader(ctx context.Context) (serves bool, reach Reach) {
	if id, ago := w.opts.GroupView.LastLeader(); w.leader == "" && ago < lastLeaderMaxAge {
		w.leader = id
	}
	w.adoptRecordedLeader()
	if w.leader == "" {
		w.leader = w.recordedLeader()
	}
	w.leaderRefuted = false
	if pr := w.probers[w.leader]; pr != nil {
		p := w.checkLeadership(ctx, w.leader, pr)
		if p.leads {
			return true, Answered
		}
		reach = p.reach
		w.leaderRefuted = reach == Answered
		if p.reach == Unresponsive {
			pr.missedProbes++
		}
	}
	for id, pr := range w.probers {
		if id == w.leader {
			continue
		}
		if w.opts.Leases != nil && w.leader != "" && !w.leadsLaterTerm(ctx, pr) {
			continue
		}
		if w.checkLeadership(ctx, id, pr).leads {
			return true, Answered
		}
	}
	return false, reach
}

// checkLeadership asks a target to prove that it leads and records a proof.
func (w *Watcher) checkLeadership(ctx context.Context, id topology.TargetID, pr *prober) proof {
	p := pr.proveLeadership(ctx, group.LeaderProbe())
	if !p.leads {
		return p
	}
	if w.leader != id {
		w.commits.forgetLeader()
		w.opts.Log.Info("leader found", "group", w.opts.Group, "target", id, "position", p.position.String())
	}
	w.leader, w.leaderProvedAt, w.leaderPosition, w.leaderRefuted = id, p.sent, p.position, false
	w.opts.GroupView.NoteReportedLeader(id, p.sent)
	w.opts.GroupView.NoteBeginAnswer(id, p.sent, &statement.Answer{Position: p.position, HasPosition: true})
	for _, other := range w.probers {
		other.notePosition(p.position, p.sent)
	}
	return p
}

// maintainReplicas probes the other targets every maintainInterval while the leader
// serves. It ends pauses left by earlier attempts, and it detects dead targets, so
// that a later position of the leader bounds their logs.
func (w *Watcher) maintainReplicas(ctx context.Context) {
	now := steady.Now()
	if now.Sub(w.maintainedAt) < maintainInterval {
		return
	}
	w.maintainedAt = now
	view := w.probeReplicas(ctx)
	view.LeaderServes, view.LeaderTerm = true, w.leaderTerm
	w.recordMembers(ctx, &view)
	if w.requests.mayResume(now) {
		w.perform(ctx, authorize(NextStep(view), w.currentAuthority(), steady.Now()))
	}
}

// probeReplicas asks all targets but the leader for their status, concurrently. A target
// that was taken for the leader and denied it is a replica.
func (w *Watcher) probeReplicas(ctx context.Context) View {
	view := View{Leader: w.leader, AckReplicas: w.ackReplicas()}
	if w.leaderRefuted {
		view.Leader = ""
	}
	now := steady.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, pr := range w.probers {
		if id == view.Leader {
			continue
		}
		wg.Go(func() {
			asked := steady.Now()
			status, reach := pr.command(ctx, statement.Status, 0)
			if reach == Answered {
				pr.statusAsked, pr.statusAnswered = asked, steady.Now()
				if status.Received.AtLeast(w.leaderPosition) {
					pr.caughtUpAt = asked
				}
				pr.notePause(status.PausedTerm, now)
			}
			m := w.member(id, pr, now)
			m.Reach, m.Status = reach, status
			mu.Lock()
			defer mu.Unlock()
			view.Members = append(view.Members, m)
		})
	}
	wg.Wait()
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// member returns what is known of a target without a probe.
func (w *Watcher) member(id topology.TargetID, pr *prober, now time.Time) Member {
	return Member{
		ID: id, Leaving: pr.target.Leaving, Unregistered: pr.unregisteredFor > 0, LogSince: pr.logUpperBound, MayResume: now.Before(pr.resumePendingUntil),
		Covered: w.isCovered(id), MayBeNeeded: pr.pausedByOther() && now.Sub(pr.pauseSeenAt) < unresolvedWindow,
		LostLog: !pr.lostLogSince.IsZero(), LostLogEnd: pr.lostLogBound,
	}
}

// unprobedView returns a view of the targets without a probe of any.
func (w *Watcher) unprobedView() View {
	view, now := View{Leader: w.leader}, steady.Now()
	for id, pr := range w.probers {
		if id != w.leader {
			view.Members = append(view.Members, w.member(id, pr, now))
		}
	}
	return view
}

func (w *Watcher) ackReplicas() int {
	if c := w.opts.Catalog.Configuration(); c != nil {
		return c.Groups[w.opts.Group].AckReplicas
	}
	return 1
}
