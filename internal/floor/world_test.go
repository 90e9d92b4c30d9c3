package floor

import (
	"context"
	"fmt"
	"sync"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// world is a group of three targets, two hosts with a keeper each, and the
// sessions' acknowledged writes. Whenever a host asks a target, it first lets
// the other host act, as drawn.
type world struct {
	mu       sync.Mutex // guards all below
	moves    []int      // drawn; each question to a target uses one up
	term     uint64
	primary  int
	received [3]topology.Position
	lockedBy [3]int            // host that has each target's slot
	acked    topology.Position // last write acknowledged to the session
	acting   int               // host whose turn it is; the other one moves while it waits
	failure  string            // first floor below an acknowledged write
	hosts    [2]*worldHost

	uncheckedAnswers bool // keepers answer without checking the lock
	uncheckedCommits bool // writes are acknowledged without checking the lock
}

// worldHost is one host's view of the world. It implements Slots and Rounds.
type worldHost struct {
	*world
	id     int
	keeper *Keeper
}

func newWorld(moves []int) *world {
	w := &world{moves: moves, term: 1}
	for i := range w.received {
		w.received[i] = pos(0)
	}
	for i := range w.hosts {
		h := &worldHost{world: w, id: i}
		h.keeper = NewKeeper(h, h, w)
		w.hosts[i] = h
	}
	return w
}

func name(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("t%d", i)) }

// Group implements Groups.
func (w *world) Group(id topology.GroupID) (*topology.Group, bool) {
	return &topology.Group{ID: id, Targets: []topology.Target{{ID: name(0)}, {ID: name(1)}, {ID: name(2)}}}, true
}

// takeLock moves the primary's slot to a host, as a successor does that ends
// its predecessor's connection.
func (w *world) takeLock(host int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lockedBy[w.primary] = host
	w.hosts[host].keeper.OnLock(name(w.primary), 0)
}

// failOver promotes the most advanced of the other two targets, a majority.
func (w *world) failOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, b := (w.primary+1)%3, (w.primary+2)%3
	if w.received[b].AtLeast(w.received[a]) {
		a, b = b, a
	}
	w.term++
	w.primary = a
	w.received[b] = w.received[a]
}

// write commits a write of the session at the primary through the host, which
// may have lost its slot: connections outlive the lock. It is acknowledged once
// a majority has it at its term and the keeper agrees.
func (w *world) write(h *worldHost) {
	w.mu.Lock()
	at := w.primary
	term := w.term
	w.received[at] = topology.Position{Term: term, Offset: w.received[at].Offset + 1}
	committed := w.received[at]
	w.mu.Unlock()
	h.let()
	kept := func() bool {
		_, err := h.VerifySlot(context.Background(), name(at), 0)
		if err != nil && !w.uncheckedCommits {
			return false
		}
		h.keeper.OnCommit(name(at), 0, "s", committed)
		return true
	}
	confirmed := func() bool { return w.confirm(at, term, committed) }
	first, second := kept, confirmed
	if committed.Offset%2 == 0 {
		first, second = confirmed, kept
	}
	if !first() {
		return
	}
	h.let()
	if second() {
		w.mu.Lock()
		w.acked = topology.Later(w.acked, committed)
		w.mu.Unlock()
	}
}

// confirm has a replica receive the write unless the term is over.
func (w *world) confirm(at int, term uint64, committed topology.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.term != term {
		return false
	}
	replica := (at + 1) % 3
	w.received[replica] = topology.Later(w.received[replica], committed)
	return true
}

// read asks the host's keeper and compares the answer with what was
// acknowledged before.
func (w *world) read(h *worldHost) {
	w.mu.Lock()
	want, at := w.acked, w.primary
	w.mu.Unlock()
	floors, err := h.keeper.Floors(context.Background(), "g", name(at), 0, []string{"s"})
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !floors[0].AtLeast(want) && w.failure == "" {
		w.failure = fmt.Sprintf("host %d answered %v, %v was acknowledged before", h.id, floors[0], want)
	}
}

// let makes up to two drawn moves while the host waits for a target.
func (h *worldHost) let() {
	if h.nested() {
		return
	}
	h.mu.Lock()
	n := min(2, len(h.moves))
	moves := h.moves[:n]
	h.moves = h.moves[n:]
	h.mu.Unlock()
	for _, move := range moves {
		h.act(move, h.hosts[1-h.id])
	}
}

// nested tells whether the other host waits for a target.
func (h *worldHost) nested() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acting != h.id
}

func (w *world) act(move int, h *worldHost) {
	switch move {
	case 1:
		w.write(h)
	case 2:
		w.read(h)
	case 3:
		w.takeLock(h.id)
	case 4:
		w.takeLock(1 - h.id)
	case 5:
		w.failOver()
	case 6:
		h.keeper.Retain(nil)
	}
}

// VerifySlot implements Slots.
func (h *worldHost) VerifySlot(_ context.Context, id topology.TargetID, _ int) (target.Status, error) {
	h.let()
	defer h.let()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.lockedBy {
		if name(i) == id && (h.lockedBy[i] == h.id || h.uncheckedAnswers) {
			return target.Status{}, nil
		}
	}
	return target.Status{}, result.New(result.NotHolder, "%s's slot is another host's", id)
}

// Round implements Rounds.
func (h *worldHost) Round(context.Context, topology.GroupID) (Round, error) {
	h.let()
	defer h.let()
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Round{Term: h.term, Primary: name(h.primary)}
	for i := range h.received {
		role := target.Replica
		if i == h.primary {
			role = target.Primary
		}
		r.Statuses = append(r.Statuses, target.Status{Target: name(i), Role: role, Term: h.term, Received: h.received[i], Applied: h.received[i]})
	}
	return r, nil
}
