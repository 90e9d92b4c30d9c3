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

// slotKey identifies a slot of a target.
type slotKey struct {
	target topology.TargetID
	number int
}

// Manager runs requests on the targets whose slots this host holds. It
// implements Executor for those targets.
type Manager struct {
	opts    Options
	streams *streamTable
	started time.Time
	cancel  context.CancelFunc // stops monitorStreams
	wg      sync.WaitGroup     // monitorStreams and the slots being handed over

	mu      sync.RWMutex
	slots   map[slotKey]*slot
	retired map[*slot]struct{} // dropped slots that are not yet drained
	leaving bool
}

// NewManager returns a Manager that holds no slots. Shutdown or Close stops it.
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
	go m.monitorStreams(ctx)
	return m
}

// SetHeldSlots sets the slots that this host holds. New slots start to connect. Slots
// that are no longer listed finish their streams and are handed over.
func (m *Manager) SetHeldSlots(held []HeldSlot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return
	}
	wanted := map[slotKey]bool{}
	for _, h := range held {
		key := slotKey{h.Target.ID, h.Slot}
		wanted[key] = true
		m.holdSlot(key, h)
	}
	for key, s := range m.slots {
		if !wanted[key] {
			m.retire(key, s)
		}
	}
}

func (m *Manager) holdSlot(key slotKey, h HeldSlot) {
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

// retire drops a slot and hands it over in the background. The caller must hold
// m.mu.
func (m *Manager) retire(key slotKey, s *slot) {
	delete(m.slots, key)
	m.retired[s] = struct{}{}
	m.wg.Add(1)
	go m.handOver(s, drainTimeout)
}

// handOver drains a slot, then closes its connections. The control connection,
// which holds the slot lock, is closed last.
func (m *Manager) handOver(s *slot, timeout time.Duration) {
	defer m.wg.Done()
	s.drain()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.drained:
	case <-timer.C:
		m.abortStreamsOf(s)
	}
	s.close()
	m.mu.Lock()
	delete(m.retired, s)
	m.mu.Unlock()
}

// Shutdown refuses new streams, gives running streams until ctx's deadline to
// finish, and hands over all slots.
func (m *Manager) Shutdown(ctx context.Context) {
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

// Close aborts all streams and hands over all slots immediately.
func (m *Manager) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	m.Shutdown(ctx)
}

// slot returns the numbered slot of the target, or the preferred slot if number
// is negative.
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
		return nil, m.notHolderError(id)
	}
	if s := m.preferredSlot(id); s != nil {
		return s, nil
	}
	return nil, m.notHolderError(id)
}

// preferredSlot returns the held slot of the target with the lowest load,
// preferring slots whose lock is held. The caller must hold m.mu.
func (m *Manager) preferredSlot(id topology.TargetID) *slot {
	var best *slot
	for number := range maxSlotsPerTarget {
		s := m.slots[slotKey{id, number}]
		if s != nil && (best == nil || s.load() < best.load()) {
			best = s
		}
	}
	return best
}

const maxSlotsPerTarget = 8 // preferredSlot considers only slot numbers below this

func (m *Manager) notHolderError(id topology.TargetID) error {
	return result.New(result.NotHolder, "host %s does not hold this slot of %s", m.opts.Self.ID, id)
}

// Status returns a status that a held target reported after the call began.
func (m *Manager) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	c, ok := m.Control(id)
	if !ok {
		return target.Status{}, m.notHolderError(id)
	}
	st, err := c.Status(ctx)
	return st, asResult(err, id)
}

// VerifySlot returns a status that the target reported after the call began, on
// the connection that holds the slot lock. It returns NotHolder if this host
// does not hold the lock.
func (m *Manager) VerifySlot(ctx context.Context, id topology.TargetID, slot int) (target.Status, error) {
	s := m.heldSlot(slotKey{id, slot})
	if s == nil {
		return target.Status{}, m.notHolderError(id)
	}
	st, err := s.control.verifyLock(ctx)
	return st, asResult(err, id)
}

// heldSlot returns a slot that is held, or that is draining and still has its
// lock.
func (m *Manager) heldSlot(key slotKey) *slot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s := m.slots[key]; s != nil {
		return s
	}
	for s := range m.retired {
		if s.id == key.target && s.number == key.number && s.control.holdsLock() {
			return s
		}
	}
	return nil
}

// Control returns the control connection of a held target. Concurrent Status
// calls share round trips.
func (m *Manager) Control(id topology.TargetID) (target.Control, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s := m.preferredSlot(id); s != nil {
		return s.control, true
	}
	for s := range m.retired {
		if s.id == id && s.control.holdsLock() {
			return s.control, true
		}
	}
	return nil, false
}

// asResult converts the error of a control call to a *result.Error. It returns
// an ErrStaleTerm unchanged.
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
