package floor

import (
	"context"
	"fmt"
	"sync"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// simulation models a group of three targets, two hosts with a keeper each, and the
// acknowledged writes of one session. Whenever a host queries a target, drawn moves
// of the other host are interleaved before and after the query.
type simulation struct {
	mu         sync.Mutex // guards the fields below
	moves      []int      // drawn moves, consumed in order by interleave
	term       uint64
	primary    int
	received   [3]topology.Position
	lockHolder [3]int            // host that holds each target's slot
	acked      topology.Position // last acknowledged write of the session
	active     int               // host that runs the present step; the other host moves while it waits
	failure    string            // first floor found below an acknowledged write, or ""
	hosts      [2]*simHost

	skipAnswerLockCheck bool // keepers answer without verifying the lock
	skipCommitLockCheck bool // writes are acknowledged without verifying the lock
}

// simHost is one host of the simulation. It implements Slots and QuorumReader.
type simHost struct {
	*simulation
	id     int
	keeper *Keeper
}

func newSimulation(moves []int) *simulation {
	sim := &simulation{moves: moves, term: 1}
	for i := range sim.received {
		sim.received[i] = pos(0)
	}
	for i := range sim.hosts {
		h := &simHost{simulation: sim, id: i}
		h.keeper = NewKeeper(h, h, sim)
		sim.hosts[i] = h
	}
	return sim
}

func targetID(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("t%d", i)) }

// Group implements Groups.
func (sim *simulation) Group(id topology.GroupID) (*topology.Group, bool) {
	return &topology.Group{ID: id, Targets: []topology.Target{{ID: targetID(0)}, {ID: targetID(1)}, {ID: targetID(2)}}}, true
}

// takeLock moves the lock of the primary's slot to a host, as a new holder does by
// terminating the previous holder's connection.
func (sim *simulation) takeLock(host int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lockHolder[sim.primary] = host
	sim.hosts[host].keeper.OnLock(targetID(sim.primary), 0)
}

// failOver promotes the more advanced of the two replicas and lets the other one
// catch up. These two targets are a majority.
func (sim *simulation) failOver() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	a, b := (sim.primary+1)%3, (sim.primary+2)%3
	if sim.received[b].AtLeast(sim.received[a]) {
		a, b = b, a
	}
	sim.term++
	sim.primary = a
	sim.received[b] = sim.received[a]
}

// write commits a write of the session at the primary through a host. The host may
// have lost its slot, because connections can outlive the lock. The write is
// acknowledged once a majority has received it at its term, the lock was verified
// and the keeper has recorded it.
func (sim *simulation) write(h *simHost) {
	sim.mu.Lock()
	primaryIndex := sim.primary
	term := sim.term
	sim.received[primaryIndex] = topology.Position{Term: term, Offset: sim.received[primaryIndex].Offset + 1}
	committed := sim.received[primaryIndex]
	sim.mu.Unlock()
	h.interleave()
	recordAtKeeper := func() bool {
		_, err := h.VerifySlot(context.Background(), targetID(primaryIndex), 0)
		if err != nil && !sim.skipCommitLockCheck {
			return false
		}
		h.keeper.OnCommit(targetID(primaryIndex), 0, "s", committed)
		return true
	}
	replicateCommit := func() bool { return sim.replicate(primaryIndex, term, committed) }
	first, second := recordAtKeeper, replicateCommit
	if committed.Offset%2 == 0 {
		first, second = replicateCommit, recordAtKeeper
	}
	if !first() {
		return
	}
	h.interleave()
	if second() {
		sim.mu.Lock()
		sim.acked = topology.Later(sim.acked, committed)
		sim.mu.Unlock()
	}
}

// replicate lets a replica receive the write and reports whether the term is still
// the current one.
func (sim *simulation) replicate(primaryIndex int, term uint64, committed topology.Position) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.term != term {
		return false
	}
	replica := (primaryIndex + 1) % 3
	sim.received[replica] = topology.Later(sim.received[replica], committed)
	return true
}

// read queries the host's keeper and checks that the floor covers the writes that
// were acknowledged before the query.
func (sim *simulation) read(h *simHost) {
	sim.mu.Lock()
	want, primaryIndex := sim.acked, sim.primary
	sim.mu.Unlock()
	floors, err := h.keeper.Floors(context.Background(), "g", targetID(primaryIndex), 0, []string{"s"})
	if err != nil {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if !floors[0].AtLeast(want) && sim.failure == "" {
		sim.failure = fmt.Sprintf("host %d answered floor %v, but %v was acknowledged before the query", h.id, floors[0], want)
	}
}

// interleave makes up to two drawn moves of the other host while this host waits
// for a target.
func (h *simHost) interleave() {
	if h.otherHostActive() {
		return
	}
	h.mu.Lock()
	n := min(2, len(h.moves))
	moves := h.moves[:n]
	h.moves = h.moves[n:]
	h.mu.Unlock()
	for _, move := range moves {
		h.makeMove(move, h.hosts[1-h.id])
	}
}

// otherHostActive reports whether the other host runs the present step, so that
// moves are not nested.
func (h *simHost) otherHostActive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active != h.id
}

// makeMove makes one move with host h. Move 0 does nothing.
func (sim *simulation) makeMove(move int, h *simHost) {
	switch move {
	case 1:
		sim.write(h)
	case 2:
		sim.read(h)
	case 3:
		sim.takeLock(h.id)
	case 4:
		sim.takeLock(1 - h.id)
	case 5:
		sim.failOver()
	case 6:
		h.keeper.Retain(nil)
	}
}

// VerifySlot implements Slots.
func (h *simHost) VerifySlot(_ context.Context, id topology.TargetID, _ int) (target.Status, error) {
	h.interleave()
	defer h.interleave()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.lockHolder {
		if targetID(i) == id && (h.lockHolder[i] == h.id || h.skipAnswerLockCheck) {
			return target.Status{}, nil
		}
	}
	return target.Status{}, result.New(result.NotHolder, "slot of target %s is held by another host", id)
}

// ReadQuorum implements QuorumReader.
func (h *simHost) ReadQuorum(context.Context, topology.GroupID) (QuorumRead, error) {
	h.interleave()
	defer h.interleave()
	h.mu.Lock()
	defer h.mu.Unlock()
	r := QuorumRead{Term: h.term, Primary: targetID(h.primary)}
	for i := range h.received {
		role := target.Replica
		if i == h.primary {
			role = target.Primary
		}
		r.Statuses = append(r.Statuses, target.Status{Target: targetID(i), Role: role, Term: h.term, Received: h.received[i], Applied: h.received[i]})
	}
	return r, nil
}
