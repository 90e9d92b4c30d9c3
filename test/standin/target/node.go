package target

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// node is the server's replicated state: role, term and log. A single mutex
// serializes commits, received entries and role changes, so that each commit
// is either entirely before or entirely after a fence.
type node struct {
	cfg Config

	mu        sync.Mutex
	persisted persistedRole
	log       *entryLog
	applied   uint64 // last offset visible to readers
	// receivedAt is the time of receipt of each entry; the apply lag counts from
	// it.
	receivedAt       []time.Time
	receiveLag       time.Duration
	applyLag         time.Duration
	promotionPending bool          // a promotion is waiting; apply entries without lag
	lastPrimaryTerm  uint64        // latest term in which this process was primary
	changed          chan struct{} // closed and replaced on every change
	closed           bool
	onFence          func()       // rolls back open writes; called without the lock
	onRebuild        func() error // replaces the database after a truncation; called with the lock held
}

func openNode(cfg Config) (*node, error) {
	role, _, err := loadPersistedRole(cfg)
	if err != nil {
		return nil, err
	}
	log, err := openLog(cfg.Dir)
	if err != nil {
		return nil, err
	}
	n := &node{cfg: cfg, persisted: role, log: log, receiveLag: cfg.ReceiveLag, applyLag: cfg.ApplyLag, changed: make(chan struct{})}
	n.receivedAt = make([]time.Time, log.length())
	if err := n.setRoleLocked(role); err != nil {
		return nil, err
	}
	if role.Role == ctl.Primary && log.length() == 0 {
		if err := n.appendLocked(Entry{Term: role.Term, Offset: 1, Time: time.Now()}); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// notifyLocked wakes all goroutines that wait for a change of the node.
func (n *node) notifyLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait blocks until ready returns true. It calls ready with the lock held.
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

func (n *node) setRoleLocked(role persistedRole) error {
	if err := role.save(n.cfg.Dir); err != nil {
		return err
	}
	n.persisted = role
	if role.Role == ctl.Primary {
		n.lastPrimaryTerm = role.Term
	}
	return nil
}

// servesTermLocked reports whether replicas of that term may replicate this
// log: the server is the primary of the term, or was until it was fenced.
func (n *node) servesTermLocked(term uint64) bool {
	return n.persisted.Role != ctl.Replica && n.lastPrimaryTerm == term && !n.closed
}

func (n *node) statusLocked() ctl.Status {
	return ctl.Status{
		Target:   n.cfg.ID,
		Role:     n.persisted.Role,
		Term:     n.persisted.Term,
		Primary:  n.persisted.Primary,
		Received: n.log.lastPosition(),
		Applied:  n.log.positionAt(n.applied),
	}
}

func (n *node) status() ctl.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.statusLocked()
}

// writable reports whether a write of that term may proceed, and the current
// term. Term 0 matches any term.
func (n *node) writable(term uint64) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.persisted.Role != ctl.Primary || term != 0 && term != n.persisted.Term {
		return 0, false
	}
	return n.persisted.Term, true
}

// commit appends a transaction to the log and calls apply to commit it to the
// database. If the server is no longer the primary of term, commit fails and
// changes nothing.
func (n *node) commit(term uint64, now time.Time, statements []Statement, apply func() error) (topology.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.persisted.Role != ctl.Primary || n.persisted.Term != term {
		return topology.Position{}, errNotPrimary()
	}
	before := n.log.length()
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

// fence stops writes, and stops receiving from a primary, until a role change
// of that term or a higher one. A term can be fenced only once on each server,
// so only one caller obtains it.
func (n *node) fence(term uint64) (ctl.Status, error) {
	n.mu.Lock()
	if term <= n.persisted.Term {
		defer n.mu.Unlock()
		return ctl.Status{}, staleTermError(term, n.persisted.Term)
	}
	if err := n.setRoleLocked(persistedRole{Role: ctl.Fenced, Term: term}); err != nil {
		n.mu.Unlock()
		return ctl.Status{}, err
	}
	n.notifyLocked()
	status := n.statusLocked()
	n.mu.Unlock()
	n.onFence()
	return status, nil
}

// promote makes a server fenced at term the primary, after all received
// entries are applied. Repeating the call on the primary of that term
// succeeds.
func (n *node) promote(ctx context.Context, term uint64) (ctl.Status, error) {
	n.mu.Lock()
	if err := n.checkPromoteLocked(term); err != nil {
		defer n.mu.Unlock()
		return ctl.Status{}, err
	}
	n.promotionPending = true
	n.notifyLocked()
	n.mu.Unlock()
	if err := n.wait(ctx, func() bool { return n.applied == n.log.length() || n.checkPromoteLocked(term) != nil }); err != nil {
		return ctl.Status{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.promotionPending = false
	if err := n.checkPromoteLocked(term); err != nil {
		return ctl.Status{}, err
	}
	if n.persisted.Role == ctl.Primary {
		return n.statusLocked(), nil
	}
	return n.becomePrimaryLocked(term)
}

func (n *node) becomePrimaryLocked(term uint64) (ctl.Status, error) {
	entry := Entry{Term: term, Offset: n.log.length() + 1, Time: time.Now()}
	if err := n.appendLocked(entry); err != nil {
		return ctl.Status{}, err
	}
	n.applied = entry.Offset
	if err := n.setRoleLocked(persistedRole{Role: ctl.Primary, Term: term, Primary: n.cfg.ID}); err != nil {
		return ctl.Status{}, err
	}
	n.notifyLocked()
	return n.statusLocked(), nil
}

func (n *node) checkPromoteLocked(term uint64) error {
	switch {
	case term < n.persisted.Term:
		return staleTermError(term, n.persisted.Term)
	case term > n.persisted.Term:
		return pgErrorf(stateWrongState, "cannot promote at term %d: fenced at term %d", term, n.persisted.Term)
	case n.persisted.Role == ctl.Replica:
		return pgErrorf(stateWrongState, "cannot promote a replica that is not fenced")
	default:
		return nil
	}
}

// follow makes the server a replica of primary.
func (n *node) follow(term uint64, primary topology.TargetID) (ctl.Status, error) {
	n.mu.Lock()
	if err := n.checkFollowLocked(term, primary); err != nil {
		defer n.mu.Unlock()
		return ctl.Status{}, err
	}
	wasPrimary := n.persisted.Role == ctl.Primary
	if err := n.setRoleLocked(persistedRole{Role: ctl.Replica, Term: term, Primary: primary}); err != nil {
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

func (n *node) checkFollowLocked(term uint64, primary topology.TargetID) error {
	switch {
	case term < n.persisted.Term:
		return staleTermError(term, n.persisted.Term)
	case primary == n.cfg.ID:
		return pgErrorf(stateWrongState, "a server cannot follow itself")
	case term == n.persisted.Term && n.persisted.Role == ctl.Primary:
		return pgErrorf(stateWrongState, "this server is already the primary of term %d", term)
	default:
		return nil
	}
}

func staleTermError(requested, current uint64) error {
	return pgErrorf(ctl.StateStaleTerm, "stale term %d: the current term is %d", requested, current)
}

// setLag sets the receive lag and the apply lag.
func (n *node) setLag(receive, apply time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receiveLag, n.applyLag = receive, apply
	n.notifyLocked()
}

// setApplyLag sets the apply lag only. The receive lag is left unchanged
// because a pause uses it.
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
