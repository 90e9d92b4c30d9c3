package promotion

import (
	"context"
	"slices"
	"sync"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// refresh follows the register.
func (w *Watcher) refresh() []catalog.Member {
	members, vanished := w.opts.Catalog.Holding(w.opts.Group)
	known := map[topology.TargetID]bool{}
	for _, m := range members {
		known[m.Target.ID] = true
		e := w.probers[m.Target.ID]
		if e != nil && e.target.Addr == m.Target.Addr {
			e.target = m.Target
		} else {
			if e != nil {
				e.drop()
			}
			e = &prober{target: m.Target, dialer: w.opts.Dialer, parse: w.opts.Parse}
			w.probers[m.Target.ID] = e
		}
		occupant, taken := w.opts.Catalog.Occupant(m.Target.Addr)
		e.registered(vanished[m.Target.ID], taken && occupant != m.Target.ID)
	}
	for id, e := range w.probers {
		if !known[id] {
			e.drop()
			delete(w.probers, id)
		}
	}
	return members
}

// lookAtLeader asks who leads, the target that led last before the others.
func (w *Watcher) lookAtLeader(ctx context.Context) (serves bool, reach Reach) {
	if id, ago := w.opts.Belief.LastLeader(); w.leader == "" && ago < leaderKnownFor {
		w.leader = id
	}
	if e := w.probers[w.leader]; e != nil {
		p := w.prove(ctx, w.leader, e)
		if p.leads {
			return true, Answered
		}
		reach = p.reach
		if p.reach == Silent {
			e.silent++
		}
	}
	for id, e := range w.probers {
		if id == w.leader {
			continue
		}
		if w.prove(ctx, id, e).leads {
			return true, Answered
		}
	}
	return false, reach
}

// prove asks one target whether it leads and passes the proof on.
func (w *Watcher) prove(ctx context.Context, id topology.TargetID, e *prober) proof {
	p := e.prove(ctx, group.Proof())
	if !p.leads {
		return p
	}
	if w.leader != id {
		w.opts.Log.Info("leader seen", "group", w.opts.Group, "target", id, "position", p.position.String())
	}
	w.leader, w.leaderAt = id, p.sent
	w.opts.Belief.NoteLeading(id, p.sent, &statement.Answer{Position: p.position, HasPosition: true})
	for _, other := range w.probers {
		if !other.endedSince.IsZero() && other.logSince.IsZero() && p.sent.After(other.endedSince) {
			other.logSince = p.position
		}
	}
	return p
}

// tidy looks now and then at the others: for pauses that an attempt left behind,
// and for deaths, after which a position of the leader counts.
func (w *Watcher) tidy(ctx context.Context) {
	now := steady.Now()
	if now.Sub(w.tidied) < tidyInterval {
		return
	}
	w.tidied = now
	view := w.look(ctx)
	view.LeaderServes = true
	if w.orders.mayResume(now) {
		w.perform(ctx, permitted(Next(view), w.standing(), steady.Now()))
	}
}

// look asks all targets but the leader for their status, at once.
func (w *Watcher) look(ctx context.Context) View {
	view := View{Leader: w.leader, AckReplicas: w.ackReplicas()}
	now := steady.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, e := range w.probers {
		if id == w.leader {
			continue
		}
		wg.Go(func() {
			status, reach := e.command(ctx, statement.Status, 0)
			m := Member{ID: id, Leaving: e.target.Leaving, Reach: reach, Status: status, LogSince: e.logSince, MayResume: now.Before(e.doubtUntil)}
			mu.Lock()
			defer mu.Unlock()
			view.Members = append(view.Members, m)
		})
	}
	wg.Wait()
	slices.SortFunc(view.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return view
}

func (w *Watcher) ackReplicas() int {
	if c := w.opts.Catalog.Configuration(); c != nil {
		return c.Groups[w.opts.Group].AckReplicas
	}
	return 1
}
