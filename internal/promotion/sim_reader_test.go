package promotion

import (
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// simReader is a host that reads at a target under a lease. Its steady clock runs
// faster or slower than that of the holders.
type simReader struct {
	id             topology.HostID
	held           lease.Held
	drift          int // in per mille
	partitioned    bool
	suspendedUntil time.Time
	replies        []renewal
	reading        *pendingRead
}

// renewal is an answer to a request for a lease, on its way to the reader.
type renewal struct {
	lease  lease.Lease
	sentAt time.Time // on the reader's clock
	dueAt  time.Time
}

// pendingRead is a read at a target, before its answer is passed on.
type pendingRead struct {
	target   *simTarget
	acked    int // acknowledged commits when the read began
	complete bool
}

// clock returns the time on the reader's steady clock.
func (r *simReader) clock(now time.Time) time.Time {
	start := time.Unix(1000, 0)
	elapsed := now.Sub(start)
	return start.Add(elapsed + elapsed*time.Duration(r.drift)/1000)
}

// runReaders lets each reader renew its lease and read.
func (w *simulation) runReaders() {
	w.endLingering()
	for _, r := range w.readers {
		if w.chance(4, "reader fault") {
			if w.chance(50, "reader is cut") {
				r.partitioned = !r.partitioned
			} else {
				r.suspendedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "reader frozen")) * simTick)
			}
		}
		if w.now.Before(r.suspendedUntil) {
			continue
		}
		w.receiveReplies(r)
		w.finishRead(r)
		w.startRead(r)
		if w.chance(40, "renews") {
			w.renew(r)
		}
	}
}

// renew asks a host for a lease, which grants it if it holds the duty.
func (w *simulation) renew(r *simReader) {
	h := w.hosts[rapid.IntRange(0, 1).Draw(w.t, "asks")]
	sentAt := r.clock(w.now)
	if r.partitioned || h.partitioned || w.now.Before(h.suspendedUntil) || h.holder != h.id {
		return
	}
	if !h.contact.Settled(h.acquiredAt, w.now) && !w.off("authority") {
		return
	}
	target, ok := h.leases.grants.Grant(r.id, h.token, w.now)
	if !ok {
		return
	}
	dueAt := w.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(w.t, "reply takes")) * simTick)
	if w.off("sent time") {
		sentAt = r.clock(dueAt)
	}
	if r.held.Lease().Target != target {
		w.tracef("host %d grants %s a lease on %s", h.id, r.id, target)
	}
	r.replies = append(r.replies, renewal{lease.Lease{Group: "g", Target: target, Token: h.token}, sentAt, dueAt})
}

func (w *simulation) receiveReplies(r *simReader) {
	r.replies = slices.DeleteFunc(r.replies, func(reply renewal) bool {
		if reply.dueAt.After(w.now) {
			return false
		}
		r.held.Note(reply.lease, reply.sentAt)
		return true
	})
}

// startRead begins a read if the reader may use a target as the leader.
func (w *simulation) startRead(r *simReader) {
	if r.reading != nil || !r.held.ValidAt(r.clock(w.now)) || !w.chance(50, "reads") {
		return
	}
	t := w.find(r.held.Lease().Target)
	if !w.leads(t) { // refuses to begin a transaction
		return
	}
	r.reading = &pendingRead{target: t, acked: len(w.ackedLogs)}
	r.reading.complete = w.isComplete(t.log, len(w.ackedLogs))
}

// finishRead passes on the answer of a read, unless the lease has ended.
func (w *simulation) finishRead(r *simReader) {
	read := r.reading
	r.reading = nil
	if read == nil || !r.held.CoversAt(r.clock(w.now)) && !w.off("answer") {
		return
	}
	if !read.complete {
		w.t.Logf("%s", strings.Join(w.trace, "\n"))
		w.t.Fatalf("%s read at %s, whose log lacks an acknowledged commit, at %s", r.id, read.target.id, w.now.Sub(time.Unix(1000, 0)))
	}
}

// isComplete reports whether a log contains the first n acknowledged commits.
func (w *simulation) isComplete(log []logEntry, n int) bool {
	if n == 0 {
		return true
	}
	acked := w.ackedLogs[n-1]
	return len(log) >= len(acked) && slices.Equal(log[:len(acked)], acked)
}
