package target

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// node is the server's replicated state: role, term and log. One mutex orders
// commits, received entries and orders, so that a commit is before or after a
// fence, never both.
type node struct {
	cfg Config

	mu      sync.Mutex
	meta    meta
	log     *entryLog
	applied uint64 // offset that readers see
	// reached is when each entry became due for apply lag: its receipt.
	receivedAt []time.Time
	receiveLag time.Duration
	applyLag   time.Duration
	urgent     bool   // a promotion waits: apply without lag
	ledTerm    uint64 // latest term as primary of this process
	changed    chan struct{}
	closed     bool
	onFence    func()       // rolls back writes in flight; called without the lock
	onRebuild  func() error // replaces the database after a truncation; called with the lock
}

func openNode(cfg Config) (*node, error) {
	m, _, err := loadMeta(cfg)
	if err != nil {
		return nil, err
	}
	log, err := openLog(cfg.Dir)
	if err != nil {
		return nil, err
	}
	n := &node{cfg: cfg, meta: m, log: log, receiveLag: cfg.ReceiveLag, applyLag: cfg.ApplyLag, changed: make(chan struct{})}
	n.receivedAt = make([]time.Time, log.len())
	if err := n.setMetaLocked(m); err != nil {
		return nil, err
	}
	if m.Role == ctl.Primary && log.len() == 0 {
		if err := n.appendLocked(Entry{Term: m.Term, Offset: 1, Time: time.Now()}); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// notifyLocked wakes everybody who waits on the node.
func (n *node) notifyLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait blocks until ready tells true; ready is called with the lock.
func (n *node) wait(ctx context.Context, ready func() bool) error {
	for {
		n.mu.Lock()
		done, changed, closed := ready(), n.changed, n.closed
		n.mu.Unlock()
		if closed {
			return errors.New("server is closed")
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *node) appendLocked(e Entry) error {
	if err := n.log.append(e); err != nil {
		return err
	}
	n.receivedAt = append(n.receivedAt, time.Now())
	return nil
}

func (n *node) setMetaLocked(m meta) error {
	if err := m.save(n.cfg.Dir); err != nil {
		return err
	}
	n.meta = m
	if m.Role == ctl.Primary {
		n.ledTerm = m.Term
	}
	return nil
}

// servesLocked tells whether replicas of that term may have this log: it is
// the term's primary, or was until it was fenced.
func (n *node) servesLocked(term uint64) bool {
	return n.meta.Role != ctl.Replica && n.ledTerm == term && !n.closed
}

func (n *node) statusLocked() ctl.Status {
	return ctl.Status{
		Target:   n.cfg.ID,
		Role:     n.meta.Role,
		Term:     n.meta.Term,
		Primary:  n.meta.Primary,
		Received: n.log.last(),
		Applied:  n.log.at(n.applied),
	}
}

func (n *node) status() ctl.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

// writable tells whether writes of that term may go on; term 0 means any.
func (n *node) writable(term uint64) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.meta.Role != ctl.Primary || term != 0 && term != n.meta.Term {
		return 0, false
	}
	return n.meta.Term, true
}

// commit logs a transaction and calls apply to commit it to the database. It
// fails without an effect when the server is no longer the primary of term.
func (n *node) commit(term uint64, now time.Time, statements []Statement, apply func() error) (topology.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.meta.Role != ctl.Primary || n.meta.Term != term {
		return topology.Position{}, errNotPrimary()
	}
	before := n.log.len()
	entry := Entry{Term: term, Offset: before + 1, Time: now, Statements: statements}
	if err := n.appendLocked(entry); err != nil {
		return topology.Position{}, err
	}
	if err := apply(); err != nil {
		n.receivedAt = n.receivedAt[:before]
		return topology.Position{}, errors.CombineErrors(err, n.log.truncate(before))
	}
	n.applied = entry.Offset
	n.notifyLocked()
	return topology.Position{Term: term, Offset: entry.Offset}, nil
}

// fence stops writes and replication until an order of that term or higher.
// A term is fenced once: who gets the answer has the term for itself.
func (n *node) fence(term uint64) (ctl.Status, error) {
	n.mu.Lock()
	if term <= n.meta.Term {
		defer n.mu.Unlock()
		return ctl.Status{}, staleTerm(term, n.meta.Term)
	}
	if err := n.setMetaLocked(meta{Role: ctl.Fenced, Term: term}); err != nil {
		n.mu.Unlock()
		return ctl.Status{}, err
	}
	n.notifyLocked()
	status := n.statusLocked()
	n.mu.Unlock()
	n.onFence()
	return status, nil
}

// promote makes a target fenced at term the primary, once its readers see all
// that it received. A repeat for the present term's primary is answered again.
func (n *node) promote(ctx context.Context, term uint64) (ctl.Status, error) {
	n.mu.Lock()
	if err := n.canPromoteLocked(term); err != nil {
		defer n.mu.Unlock()
		return ctl.Status{}, err
	}
	n.urgent = true
	n.notifyLocked()
	n.mu.Unlock()
	if err := n.wait(ctx, func() bool { return n.applied == n.log.len() || n.canPromoteLocked(term) != nil }); err != nil {
		return ctl.Status{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.urgent = false
	if err := n.canPromoteLocked(term); err != nil {
		return ctl.Status{}, err
	}
	if n.meta.Role == ctl.Primary {
		return n.statusLocked(), nil
	}
	return n.becomePrimaryLocked(term)
}

func (n *node) becomePrimaryLocked(term uint64) (ctl.Status, error) {
	entry := Entry{Term: term, Offset: n.log.len() + 1, Time: time.Now()}
	if err := n.appendLocked(entry); err != nil {
		return ctl.Status{}, err
	}
	n.applied = entry.Offset
	if err := n.setMetaLocked(meta{Role: ctl.Primary, Term: term, Primary: n.cfg.ID}); err != nil {
		return ctl.Status{}, err
	}
	n.notifyLocked()
	return n.statusLocked(), nil
}

func (n *node) canPromoteLocked(term uint64) error {
	switch {
	case term < n.meta.Term:
		return staleTerm(term, n.meta.Term)
	case term > n.meta.Term:
		return pgErrorf(stateWrongState, "cannot promote at term %d: fenced at term %d", term, n.meta.Term)
	case n.meta.Role == ctl.Replica:
		return pgErrorf(stateWrongState, "cannot promote a replica that is not fenced")
	default:
		return nil
	}
}

// follow makes the server a replica of primary.
func (n *node) follow(term uint64, primary topology.TargetID) (ctl.Status, error) {
	n.mu.Lock()
	if err := n.canFollowLocked(term, primary); err != nil {
		defer n.mu.Unlock()
		return ctl.Status{}, err
	}
	wasPrimary := n.meta.Role == ctl.Primary
	if err := n.setMetaLocked(meta{Role: ctl.Replica, Term: term, Primary: primary}); err != nil {
		n.mu.Unlock()
		return ctl.Status{}, err
	}
	n.notifyLocked()
	status := n.statusLocked()
	n.mu.Unlock()
	if wasPrimary {
		n.onFence()
	}
	return status, nil
}

func (n *node) canFollowLocked(term uint64, primary topology.TargetID) error {
	switch {
	case term < n.meta.Term:
		return staleTerm(term, n.meta.Term)
	case primary == n.cfg.ID:
		return pgErrorf(stateWrongState, "cannot follow itself")
	case term == n.meta.Term && n.meta.Role == ctl.Primary:
		return pgErrorf(stateWrongState, "is the primary of term %d", term)
	default:
		return nil
	}
}

func staleTerm(got, have uint64) error {
	return pgErrorf(ctl.StateStaleTerm, "term %d is not above %d", got, have)
}

// setLag changes the replica's lags.
func (n *node) setLag(receive, apply time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receiveLag, n.applyLag = receive, apply
	n.notifyLocked()
}

// setApplyLag leaves the receive lag, which a pause uses, as it is.
func (n *node) setApplyLag(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyLag = d
	n.notifyLocked()
}

func (n *node) close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	n.closed = true
	n.notifyLocked()
	return n.log.close()
}
