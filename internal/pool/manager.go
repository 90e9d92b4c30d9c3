package pool

import (
	"context"
	"net"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const drainTimeout = 5 * time.Second // streams of a dropped slot that last longer are rolled back

// slotKey names a slot of a target.
type slotKey struct {
	target topology.TargetID
	number int
}

// Manager runs requests on the targets whose slots this host holds. It
// implements Executor for them.
type Manager struct {
	opts    Options
	streams *streamTable
	started time.Time
	cancel  context.CancelFunc // ends the watch over streams
	wg      sync.WaitGroup     // that watch and the draining slots

	mu      sync.RWMutex
	slots   map[slotKey]*slot
	retired map[*slot]struct{} // dropped, not yet drained
	leaving bool
}

// NewManager returns a manager that holds nothing. Leave or Close ends it.
func NewManager(opts Options) *Manager {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		opts:    opts,
		streams: newStreamTable(opts.Self.ID),
		started: time.Now(),
		cancel:  cancel,
		slots:   map[slotKey]*slot{},
		retired: map[*slot]struct{}{},
	}
	m.wg.Add(1)
	go m.watchStreams(ctx)
	return m
}

// Hold makes held the slots of this host. New ones start to connect; those
// that are missing finish their streams and hand over.
func (m *Manager) Hold(held []Held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return
	}
	wanted := map[slotKey]bool{}
	for _, h := range held {
		key := slotKey{h.Target.ID, h.Slot}
		wanted[key] = true
		m.holdOne(key, h)
	}
	for key, s := range m.slots {
		if !wanted[key] {
			m.retire(key, s)
		}
	}
}

func (m *Manager) holdOne(key slotKey, h Held) {
	s := m.slots[key]
	if s != nil && s.target().Addr != h.Target.Addr {
		m.retire(key, s)
		s = nil
	}
	if s == nil {
		m.slots[key] = newSlot(&m.opts, h)
		return
	}
	s.update(h)
}

// retire drops a slot. Needs m.mu.
func (m *Manager) retire(key slotKey, s *slot) {
	delete(m.slots, key)
	m.retired[s] = struct{}{}
	m.wg.Add(1)
	go m.handOver(s, drainTimeout)
}

// handOver lets a slot's streams end, then closes its connections, the one
// with the lock last.
func (m *Manager) handOver(s *slot, timeout time.Duration) {
	defer m.wg.Done()
	s.drain()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.drained:
	case <-timer.C:
		m.endStreamsOf(s)
	}
	s.close()
	m.mu.Lock()
	delete(m.retired, s)
	m.mu.Unlock()
}

// Leave refuses new streams, lets the others end until ctx does, then hands
// over every slot.
func (m *Manager) Leave(ctx context.Context) {
	timeout := drainTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	m.mu.Lock()
	m.leaving = true
	for key, s := range m.slots {
		delete(m.slots, key)
		m.retired[s] = struct{}{}
		m.wg.Add(1)
		go m.handOver(s, timeout)
	}
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}

// Close ends everything at once.
func (m *Manager) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	m.Leave(ctx)
}

// slot returns a slot of the target, the one with the shorter queue for any.
func (m *Manager) slot(id topology.TargetID, number int) (*slot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.leaving {
		return nil, result.New(result.Draining, "host %s is leaving", m.opts.Self.ID)
	}
	if number >= 0 {
		if s := m.slots[slotKey{id, number}]; s != nil {
			return s, nil
		}
		return nil, m.notHolder(id)
	}
	if s := m.best(id); s != nil {
		return s, nil
	}
	return nil, m.notHolder(id)
}

// best prefers a slot whose lock is held, then one with little to do. Needs m.mu.
func (m *Manager) best(id topology.TargetID) *slot {
	var best *slot
	for number := range maxSlots {
		s := m.slots[slotKey{id, number}]
		if s != nil && (best == nil || s.load() < best.load()) {
			best = s
		}
	}
	return best
}

const maxSlots = 8 // slots of a target that are looked through

func (m *Manager) notHolder(id topology.TargetID) error {
	return result.New(result.NotHolder, "host %s holds no such slot of %s", m.opts.Self.ID, id)
}

// Status returns an answer that a held target gave after the call began.
func (m *Manager) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	c, ok := m.Control(id)
	if !ok {
		return target.Status{}, m.notHolder(id)
	}
	st, err := c.Status(ctx)
	return st, asResult(err, id)
}

// VerifySlot returns an answer that the target gave after the call began on
// the connection that holds the slot's lock. NotHolder if this host has no lock.
func (m *Manager) VerifySlot(ctx context.Context, id topology.TargetID, slot int) (target.Status, error) {
	s := m.held(slotKey{id, slot})
	if s == nil {
		return target.Status{}, m.notHolder(id)
	}
	st, err := s.control.verify(ctx)
	return st, asResult(err, id)
}

// held returns a slot that is held or still finishing its streams.
func (m *Manager) held(key slotKey) *slot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s := m.slots[key]; s != nil {
		return s
	}
	for s := range m.retired {
		if s.id == key.target && s.number == key.number && s.control.holds() {
			return s
		}
	}
	return nil
}

// Control returns the control of a held target. Its Status calls are shared.
func (m *Manager) Control(id topology.TargetID) (target.Control, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s := m.best(id); s != nil {
		return s.control, true
	}
	for s := range m.retired {
		if s.id == id && s.control.holds() {
			return s.control, true
		}
	}
	return nil, false
}

// asResult gives an error of a control call a code. ErrStaleTerm stays.
func asResult(err error, id topology.TargetID) error {
	if err == nil {
		return nil
	}
	if staleTerm(err) != nil {
		return err
	}
	e := result.As(err, result.TargetDown)
	if e.Detail == "" {
		e.Detail = string(id)
	}
	return e
}

// Dump returns the state of every slot for operators.
func (m *Manager) Dump() any {
	now := time.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	dump := State{Leaving: m.leaving, Streams: len(m.streams.all()), Slots: []SlotState{}}
	for _, s := range m.slots {
		dump.Slots = append(dump.Slots, s.state(now))
	}
	for s := range m.retired {
		dump.Slots = append(dump.Slots, s.state(now))
	}
	sortSlots(dump.Slots)
	return dump
}
