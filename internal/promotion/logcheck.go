package promotion

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// minHeartbeatDelay and maxHeartbeatDelay are the first and the longest time between reads of
	// the same entries. All groups of a fleet may need them at once, after a restart of all hosts.
	minHeartbeatDelay = 250 * time.Millisecond
	maxHeartbeatDelay = 1 * time.Second
	// heartbeatTimeout bounds a read, for which the attempt waits.
	heartbeatTimeout = 150 * time.Millisecond
)

// ReadHeartbeat reads the present entry of a target from the store. ok is false if it has none.
type ReadHeartbeat func(ctx context.Context, id topology.TargetID) (beat catalog.Heartbeat, ok bool, err error)

// logCheck finds out whether the log that a target told after the voters were closed is that of the
// incarnation which may have acknowledged commits. A target that has started again without
// it, behind a cut from the store, still has its former entry until that expires. A heartbeat of the
// same incarnation that the store received after the target told its log rules that out.
type logCheck struct {
	closedAt time.Time         // when the voters were closed
	toldAt   time.Time         // when it told its log after that, zero: it hasn't
	told     topology.Position // the newest position that it told since
	hasFirst bool
	first    int64 // sequence of the entry that was first read after toldAt
	proved   bool
}

// since drops what was found out about voters that were closed at another time.
func (c *logCheck) since(closedAt time.Time) {
	if !c.closedAt.Equal(closedAt) {
		*c = logCheck{closedAt: closedAt}
	}
}

// noteStatus records a status that was asked for and answered at the given times.
func (c *logCheck) noteStatus(status statement.TargetStatus, asked, answered time.Time) {
	if !asked.After(c.closedAt) {
		return
	}
	if c.toldAt.IsZero() {
		c.toldAt = answered
	}
	c.told = topology.Later(c.told, status.Received)
}

// noteEntry records an entry of the counting incarnation whose read began at the given time.
// lifetime is how long an entry stands at most without a heartbeat.
func (c *logCheck) noteEntry(beat catalog.Heartbeat, readAt time.Time, lifetime time.Duration) {
	switch {
	case c.toldAt.IsZero() || !readAt.After(c.toldAt):
	case !c.hasFirst:
		c.hasFirst, c.first = true, beat.Sequence
	case beat.Sequence > c.first || readAt.Sub(c.toldAt) > lifetime: // stores may drop writes that change the sequence alone
		c.proved = true
	}
}

// noteGap records that the store gave no entry of the counting incarnation. While it doesn't
// answer, entries may stand without heartbeats.
func (c *logCheck) noteGap() { c.toldAt, c.hasFirst = time.Time{}, false }

// heartbeatReads limits the reads of entries by one watcher.
type heartbeatReads struct {
	closedAt time.Time
	delay    time.Duration // until the next read
	nextAt   time.Time
}

// due reports whether entries are to be read now for voters that were closed at the given time.
func (r *heartbeatReads) due(closedAt, now time.Time) bool {
	if !r.closedAt.Equal(closedAt) || r.delay == 0 {
		*r = heartbeatReads{closedAt: closedAt, delay: minHeartbeatDelay}
	}
	if now.Before(r.nextAt) {
		return false
	}
	r.nextAt = now.Add(r.delay)
	r.delay = min(2*r.delay, maxHeartbeatDelay)
	return true
}

// checkLogs adds to the view which targets have been proved to have the logs that they had when the
// voters were closed. It reads the entries of the others if that is due.
func (w *Watcher) checkLogs(ctx context.Context, v *View) {
	closedAt := v.Sealing.ClosedAt
	var unproved []*prober
	for i, m := range v.Members {
		pr := w.probers[m.ID]
		pr.logCheck.since(closedAt)
		if m.Reach == Answered {
			pr.logCheck.noteStatus(m.Status, pr.statusAsked, pr.statusAnswered)
		}
		v.Members[i].LogTold = pr.logCheck.told
		if m.Reach == Answered && pr.countingIncarnation() != 0 && !pr.logCheck.proved {
			unproved = append(unproved, pr)
		}
	}
	if len(unproved) > 0 && w.heartbeats.due(closedAt, steady.Now()) {
		w.readHeartbeats(ctx, unproved)
	}
	for i, m := range v.Members {
		v.Members[i].LogProved = w.hasProvedLog(w.probers[m.ID], v.Sealing.Floor)
	}
}

// hasProvedLog reports whether a target is proved to have the log that it had when the voters were
// closed. A target that states no incarnation keeps its log; one that lacks the floor does not.
func (w *Watcher) hasProvedLog(pr *prober, floor topology.Position) bool {
	if pr.countingIncarnation() == 0 {
		return pr.logCheck.told.AtLeast(floor)
	}
	return w.opts.ReadHeartbeat == nil || pr.logCheck.proved
}

// readHeartbeats reads the entries of the targets, concurrently.
func (w *Watcher) readHeartbeats(ctx context.Context, targets []*prober) {
	if w.opts.ReadHeartbeat == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, pr := range targets {
		wg.Go(func() {
			readAt := steady.Now()
			beat, ok, err := w.opts.ReadHeartbeat(ctx, pr.target.ID)
			if err != nil {
				w.opts.Log.Info("the store does not tell a target's heartbeat", "group", w.opts.Group, "target", pr.target.ID, "error", err.Error())
			}
			if err == nil && ok && beat.Incarnation == pr.countingIncarnation() {
				pr.logCheck.noteEntry(beat, readAt, w.opts.EntryLifetime)
			} else {
				pr.logCheck.noteGap()
			}
		})
	}
	wg.Wait()
}

// countingIncarnation returns the incarnation whose log counts, 0 if the target states none.
func (p *prober) countingIncarnation() int64 {
	if p.recorded != 0 {
		return p.recorded
	}
	return p.incarnation
}
