package promotion

import (
	"context"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// maxCovered bounds how many targets are recorded that have ended and don't count.
	maxCovered = 8
	// recordMembersTimeout bounds the write of changed members to the store.
	recordMembersTimeout = 2 * time.Second
)

// possibleCommitHolders returns the registered targets of the group and those that this
// host or an earlier holder of the duty has seen registered and whose logs are still
// needed, with the time since they were last registered.
func (w *Watcher) possibleCommitHolders(now time.Time) ([]catalog.Member, map[topology.TargetID]time.Duration) {
	if w.opts.Catalog.Registry() == nil {
		return nil, nil // not known yet
	}
	members, unregistered := w.opts.Catalog.PossibleCommitHolders(w.opts.Group)
	recorded := w.opts.Duty.Members(w.opts.Group)
	listed := map[topology.TargetID]bool{}
	for _, m := range members {
		listed[m.Target.ID] = true
		if _, missing := unregistered[m.Target.ID]; !missing {
			delete(w.missingSince, m.Target.ID)
		}
	}
	for _, m := range recorded {
		if listed[m.ID] || m.Covered && m.Leaving { // a target that has left doesn't return
			continue
		}
		if w.missingSince[m.ID].IsZero() {
			w.missingSince[m.ID] = now
		}
		members = append(members, catalog.Member{
			Target:      topology.Target{ID: m.ID, Group: w.opts.Group, Addr: m.Addr, Domain: m.Domain, Leaving: m.Leaving},
			Incarnation: m.Incarnation,
		})
		unregistered[m.ID] = now.Sub(w.missingSince[m.ID])
	}
	return members, unregistered
}

// isCovered reports whether an unregistered target doesn't count while it doesn't answer.
func (w *Watcher) isCovered(id topology.TargetID) bool {
	return w.probers[id].unregisteredFor > 0 &&
		slices.ContainsFunc(w.opts.Duty.Members(w.opts.Group), func(m duty.Member) bool { return m.ID == id && m.Covered })
}

// handedOver reports whether a target has left and another one of the group is registered
// at its address. That one has its log.
func (w *Watcher) handedOver(m duty.Member) bool {
	t := topology.Target{ID: m.ID, Group: w.opts.Group, Addr: m.Addr}
	return m.Leaving && w.occupantAt(t) == groupMember
}

// retiredAfter is how long after a target that announced its leave was last heard of it counts as ended.
// Platforms end such a process some seconds after the announcement.
const retiredAfter = 60 * time.Second

// hasRetired reports whether a target that announced its leave has been silent and unregistered for
// retiredAfter. Others are proved to have what was passed on before, since it was dropped; nothing
// proves that it has ended.
func (w *Watcher) hasRetired(m duty.Member) bool {
	pr := w.probers[m.ID]
	return m.Leaving && pr != nil && pr.unregisteredFor > 0 && steady.Now().Sub(pr.aliveAt) >= retiredAfter &&
		w.confirmsCommits() && slices.Contains(w.opts.Commits.Dropped(w.opts.Group), m.ID)
}

// recordedLeader returns the target that led when the members were recorded, or "".
func (w *Watcher) recordedLeader() topology.TargetID {
	for _, m := range w.opts.Duty.Members(w.opts.Group) {
		if m.Leads {
			return m.ID
		}
	}
	return ""
}

// nextMembers returns the members to record: the registered targets, and those recorded
// earlier whose logs may hold a commit that no other log has. Of the others it keeps
// maxCovered.
func nextMembers(recorded []duty.Member, registered []catalog.Member, v *View) []duty.Member {
	var list, covered []duty.Member
	for _, m := range registered {
		next := duty.Member{ID: m.Target.ID, Addr: m.Target.Addr, Domain: m.Target.Domain, Leads: m.Target.ID == v.Leader, Leaving: m.Target.Leaving, Incarnation: m.Incarnation}
		i := slices.IndexFunc(recorded, func(r duty.Member) bool { return r.ID == next.ID })
		if i >= 0 && v.needsLostLog(next.ID) {
			next.Incarnation = recorded[i].Incarnation
		}
		list = append(list, next)
	}
	for _, r := range recorded {
		isRegistered := slices.ContainsFunc(registered, func(m catalog.Member) bool { return m.Target.ID == r.ID })
		if isRegistered {
			continue
		}
		r.Leads = r.ID == v.Leader
		r.Covered = r.Covered || !r.Leads && v.coversEndedLog(r.ID)
		if r.Covered {
			covered = append(covered, r)
		} else {
			list = append(list, r)
		}
	}
	list = append(list, covered[max(0, len(covered)-maxCovered):]...)
	slices.SortFunc(list, func(a, b duty.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// coversEndedLog reports whether another target that stays has everything that an ended
// target's log held.
func (v *View) coversEndedLog(id topology.TargetID) bool {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if i < 0 || v.Members[i].Reach != Dead || v.Members[i].LogSince.IsZero() {
		return false
	}
	return v.anyReached(v.Members[i].LogSince, id)
}

// needsLostLog reports whether the log that a restarted target has lost may have held a
// commit that no other target has.
func (v *View) needsLostLog(id topology.TargetID) bool {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if i < 0 || !v.Members[i].LostLog {
		return false
	}
	return v.Members[i].LostLogEnd.IsZero() || !v.anyReached(v.Members[i].LostLogEnd, "")
}

// anyReached reports whether a target other than except that isn't leaving has received
// the position.
func (v *View) anyReached(p topology.Position, except topology.TargetID) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.ID != except && m.Reach == Answered && !m.Leaving && m.Status.Received.AtLeast(p)
	})
}

// recordMembers records the possible commit holders if they have changed. It doesn't
// wait for the store.
func (w *Watcher) recordMembers(ctx context.Context, v *View) {
	registered, unregistered := w.opts.Catalog.PossibleCommitHolders(w.opts.Group)
	registered = slices.DeleteFunc(registered, func(m catalog.Member) bool { _, missing := unregistered[m.Target.ID]; return missing })
	for i, m := range registered {
		if pr := w.probers[m.Target.ID]; pr != nil {
			registered[i].Incarnation = pr.incarnation // the view is of that one; the register may have changed since
		}
	}
	recorded := w.opts.Duty.Members(w.opts.Group)
	known := w.withUnregistered(recorded)
	for i, m := range known {
		known[i].Covered = m.Covered || w.handedOver(m) || w.hasRetired(m)
	}
	next := nextMembers(known, registered, v)
	for _, m := range next {
		if pr := w.probers[m.ID]; pr != nil && m.Incarnation == pr.incarnation {
			pr.clearLostLog()
		}
	}
	if !w.recording.CompareAndSwap(false, true) {
		return
	}
	if !slices.Equal(recorded, next) {
		w.opts.Log.Info("possible commit holders changed", "group", w.opts.Group, "members", next)
	}
	go func() {
		defer w.recording.Store(false)
		ctx, cancel := context.WithTimeout(ctx, recordMembersTimeout)
		defer cancel()
		if err := w.opts.Duty.RecordMembers(ctx, w.opts.Group, next); err != nil {
			w.opts.Log.Info("the store does not have the group's possible commit holders", "group", w.opts.Group, "error", err.Error())
		}
	}()
}

// membersAreStored reports whether the store lists the targets that may hold commits. Otherwise
// it has them written: a later holder that knows only the store would miss one. Of targets that
// have ended only some stay listed.
func (w *Watcher) membersAreStored(ctx context.Context) bool {
	var counting []topology.TargetID
	for id, pr := range w.probers {
		if w.mayHoldCommits(id, pr) {
			counting = append(counting, id)
		}
	}
	if w.opts.Duty.MembersStored(w.opts.Group, counting) {
		return true
	}
	view := w.unprobedView()
	w.recordMembers(ctx, &view)
	return false
}

// mayHoldCommits reports whether a target may hold commits that no other one has, as far as
// is known without a probe of it.
func (w *Watcher) mayHoldCommits(id topology.TargetID, pr *prober) bool {
	isBounded := !pr.endedSince.IsZero() && !pr.logUpperBound.IsZero()
	left := pr.unregisteredFor > 0 && w.handedOver(duty.Member{ID: id, Addr: pr.target.Addr, Leaving: pr.target.Leaving})
	return !isBounded && !left && !w.isCovered(id)
}

// withUnregistered adds to the recorded members the targets that left the register before
// they were recorded.
func (w *Watcher) withUnregistered(recorded []duty.Member) []duty.Member {
	list := slices.Clone(recorded)
	for id, pr := range w.probers {
		known := slices.ContainsFunc(recorded, func(m duty.Member) bool { return m.ID == id })
		if !known && pr.unregisteredFor > 0 {
			t := pr.target
			list = append(list, duty.Member{ID: id, Addr: t.Addr, Domain: t.Domain, Leaving: t.Leaving, Incarnation: pr.incarnation})
		}
	}
	return list
}
