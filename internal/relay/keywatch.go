package relay

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// trustCheckInterval is the interval at which the trust in the configuration is assessed
// without a request, so that its change is logged when it happens.
const trustCheckInterval = 250 * time.Millisecond

// WatchKeys applies each new version of the configuration to the sessions that are open
// and to the transactions that this host runs for other hosts, until ctx ends. changed
// returns a channel that is closed at the next change.
func (s *Server) WatchKeys(ctx context.Context, changed func() <-chan struct{}) {
	ticker := time.NewTicker(trustCheckInterval)
	defer ticker.Stop()
	var applied *catalog.Configuration
	for {
		next := changed() // before the configuration is read, so that no version is missed
		if c := s.opts.Catalog.Configuration(); c != applied {
			s.applyKeys(applied, c)
			applied = c
		}
		if applied != nil && len(applied.Customers) > 0 {
			s.trust.assess(s)
		}
		select {
		case <-ctx.Done():
			return
		case <-next:
		case <-ticker.C:
		}
	}
}

// applyKeys wakes the sessions whose key is no longer valid or has moved to another
// customer. Each session then decides by itself what it may still do. It also ends the
// transactions of other hosts' sessions with such a key.
func (s *Server) applyKeys(old, c *catalog.Configuration) {
	affected := func(id *credentials) bool {
		if id == nil {
			return false // not yet checked against any version
		}
		_, verdict := keys.Check(c, id.routeIsPublic(c), id.key)
		return verdict == keys.Unknown || verdict == keys.Accepted && customerOf(old, id.key) != customerOf(c, id.key)
	}
	s.mu.Lock()
	for session := range s.sessions {
		if affected(session.credentials.Load()) {
			session.caller.Interrupt()
		}
	}
	s.mu.Unlock()
	s.forwardedTxs.endWithoutKey(affected)
}

// routeIsPublic is like session.routeIsPublic, without a transaction. A caller without a
// key whose route was removed is taken for one of a public route.
func (id *credentials) routeIsPublic(c *catalog.Configuration) bool {
	if route, ok := c.Routes[id.database]; ok {
		return route.Public
	}
	return id.key == ""
}

// updateRevoked records whether the session's key is gone, and aborts its running
// transaction if that may not go on. It must be called after each ClearInterrupt.
func (s *session) updateRevoked() {
	id := s.credentials.Load()
	if id == nil {
		return
	}
	c := s.server.opts.Catalog.Configuration()
	_, verdict := keys.Check(c, id.routeIsPublic(c), id.key)
	s.revoked = verdict == keys.Unknown
	if s.tx == nil || !s.tx.running() {
		return
	}
	if bound := keys.CheckBound(c, s.routeIsPublic(c), s.key, s.customer); bound == keys.Unknown || bound == keys.Moved {
		transactionsEndedByKey.Inc()
		s.abortTransaction("key " + bound.String())
		if bound == keys.Unknown {
			s.tx.unreportedCode = statement.NoAuth // as judgeKey does
		}
	}
}

// revokedIdleTimeout limits how long a session without a valid key stays open with a
// failed transaction, if the configuration sets no limit for idle transactions.
const revokedIdleTimeout = 5 * time.Second

// revokedDeadline returns how long a session without a valid key waits for a statement:
// shortly outside a transaction, since a caller in the middle of an operation should be
// told why it ends, and as long as transactions may be idle after one that has failed.
func (s *session) revokedDeadline() time.Time {
	if s.tx == nil {
		if s.graceUntil.IsZero() {
			s.graceUntil = time.Now().Add(s.gracePeriod())
		}
		return s.graceUntil
	}
	limit := s.server.transactionIdleTimeout()
	if limit <= 0 {
		limit = revokedIdleTimeout
	}
	s.idleUntil = time.Now().Add(limit)
	return s.idleUntil
}

// continueRevoked decides whether a session without a valid key stays open after a wait
// without a statement.
func (s *session) continueRevoked() bool {
	if s.tx == nil {
		return s.grantGrace()
	}
	return !s.idleForTooLong()
}

// transactionsEndedByKey counts the transactions that were rolled back because their key
// was removed or moved while they were idle.
var transactionsEndedByKey = metrics.NewCounter("nettlewalk_transactions_ended_by_key_total")

// endWithoutKey ends the transactions whose credentials are affected by a new version.
// Each waits for its running statement on its own, so that none delays the others.
func (t *txTable) endWithoutKey(affected func(*credentials) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, entry := range t.open {
		if affected(&entry.credentials) {
			go t.endUnlessPermitted(key, entry)
		}
	}
}

// endUnlessPermitted ends a transaction whose key the configuration in force no longer
// permits.
func (t *txTable) endUnlessPermitted(key string, entry *forwardedTx) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	s := entry.session
	if s.tx == nil || !s.tx.running() { // ended, or its first statement is checked by itself
		return
	}
	s.database, s.key = entry.credentials.database, entry.credentials.key
	c := t.server.opts.Catalog.Configuration()
	verdict := keys.CheckBound(c, s.routeIsPublic(c), s.key, s.customer)
	if verdict != keys.Unknown && verdict != keys.Moved {
		return
	}
	transactionsEndedByKey.Inc()
	s.log.Info("transaction of another host aborted", "session", s.state.id, "database", s.database, "reason", "key "+verdict.String(),
		"customer", s.customer, "key_hash", keys.Hash(s.key), "first_statement", s.tx.firstStatementID, "configuration", c.Version)
	s.endTransaction()
	t.remove(key, entry)
}

// answerUnknown returns the answer to a statement of a transaction that this host doesn't
// have any more. If the key is no longer valid, that is why it was ended.
func (t *txTable) answerUnknown(args *RunArgs, detail string) statement.Answer {
	s := t.server.newSession(nil)
	s.applyForwarded(args)
	if args.Statement.Kind != statement.Rollback {
		if refusal := s.authenticate(); refusal != nil {
			s.logKeyRefusal(refusal, "forwarded", args.Statement.ID)
			return statement.Answer{Code: refusal.code, Detail: refusal.detail, State: statement.Failed}
		}
	}
	return statement.Answer{Code: statement.Aborted, Detail: detail, State: statement.Failed}
}
