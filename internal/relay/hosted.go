package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// txTable holds the transactions that this host runs for sessions of other hosts.
// Each has its own local session from its first statement to its end.
type txTable struct {
	server *Server

	mu   sync.Mutex
	open map[string]*forwardedTx
}

// forwardedTx is one transaction that this host runs for a session of another host.
type forwardedTx struct {
	mu      sync.Mutex // serializes its statements
	session *session
	// credentials are those of its first statement.
	credentials credentials
	timer       *time.Timer // rolls the transaction back after the idle timeout
}

func newTxTable(s *Server) *txTable { return &txTable{server: s, open: map[string]*forwardedTx{}} }

// defaultIdleTimeout is how long a forwarded transaction may be idle if the
// configuration sets no limit: the host of its session may have died.
const defaultIdleTimeout = 5 * time.Second

// count returns the number of open transactions.
func (t *txTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// runStatement runs one statement of a transaction.
func (t *txTable) runStatement(args *RunArgs) statement.Answer {
	entry := t.findOrCreate(args)
	if entry == nil {
		return t.answerUnknown(args, "the transaction is unknown to this host")
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	s := entry.session
	if s.tx == nil { // the idle timeout or a new version rolled it back meanwhile
		return t.answerUnknown(args, "idle for too long")
	}
	entry.timer.Reset(t.idleTimeout())
	s.applyForwarded(args)
	if t.server.abortsTransactions() && s.tx.running() {
		s.abortTransaction(shuttingDownDetail)
	}
	st := args.Statement
	s.noWait = args.AtOnce
	answer := s.serve(context.Background(), &st)
	if s.tx == nil || s.tx.failed {
		s.endTransaction()
		t.remove(args.Transaction.Key, entry)
	}
	return answer
}

// findOrCreate returns the transaction that a statement belongs to. It creates the
// transaction for a first statement, and returns nil for any other unknown key.
func (t *txTable) findOrCreate(args *RunArgs) *forwardedTx {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := args.Transaction.Key
	if !args.Transaction.First {
		return t.open[key]
	}
	s := t.server.newSession(nil)
	s.forPeer = true
	s.tx = &transaction{readOnly: args.Transaction.ReadOnly}
	entry := &forwardedTx{session: s, credentials: credentials{database: args.Database, key: args.Key}}
	entry.timer = time.AfterFunc(t.idleTimeout(), func() { t.expire(key, entry) })
	t.open[key] = entry
	return entry
}

func (t *txTable) idleTimeout() time.Duration {
	if d := t.server.transactionIdleTimeout(); d > 0 {
		return d
	}
	return defaultIdleTimeout
}

// expire rolls back a transaction that exceeded the idle timeout.
func (t *txTable) expire(key string, entry *forwardedTx) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.session.endTransaction()
	t.remove(key, entry)
}

func (t *txTable) remove(key string, entry *forwardedTx) {
	entry.timer.Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[key] == entry {
		delete(t.open, key)
	}
}

// beginOnPeer begins the session's transaction on another host with the request's
// statement. ok is false if no host accepted it; the statement certainly didn't run then.
func (r *request) beginOnPeer(ctx context.Context, needsFree bool) (a statement.Answer, ok bool) {
	s := r.session
	if s.forPeer {
		return a, false
	}
	defer r.refundPrepaid()
	needsLeader := !s.tx.readOnly || r.route.Freshness == catalog.LatestData
	for {
		host, noWait, ok := r.pickPeer(needsLeader, needsFree)
		if !ok {
			return a, false
		}
		s.tx.peerHost = host
		s.tx.peerKey = s.server.instanceID + "/" + strconv.FormatUint(s.server.lastID.Add(1), 10)
		s.tx.group = r.group
		sentAt := time.Now()
		a, sent, answered := r.sendToTransactionPeer(ctx, true, noWait)
		ended := sent && (!a.Code.NotRun() || a.Code == statement.NoAuth)
		switch {
		case !answered:
			r.recordForward(locality.NoAnswer, sentAt, needsLeader)
		case ended:
			r.recordForward(locality.Served, sentAt, needsLeader)
		case !noWait || r.askedDomain != r.router().Domain():
			r.recordForward(locality.Refused, sentAt, needsLeader)
		}
		if ended {
			return a, true
		}
		s.tx.peerHost, s.tx.peerKey, r.peerRefusal = "", "", a.Detail
		r.peerRetryAfter, r.peerRetryAt = a.RetryAfter, time.Now()
	}
}

// sendToTransactionPeer runs a statement of a transaction on the host that runs
// the transaction. sent is false if nothing was sent, and answered is
// false if no answer arrived. With noWait, that host refuses the first statement if it has
// no free connection.
func (r *request) sendToTransactionPeer(ctx context.Context, first, noWait bool) (a statement.Answer, sent, answered bool) {
	t := r.session.tx
	args := r.forwardArgs()
	args.AtOnce = noWait
	args.Transaction = Transaction{Key: t.peerKey, ReadOnly: t.readOnly, First: first}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	a, err := r.callPeer(ctx, t.peerHost, args)
	if err == nil {
		r.recordForwardBytes(args, &a)
		r.addStep(topology.TargetID(t.peerHost), "transaction statement forwarded: "+a.Code.String())
		return a, true, true
	}
	r.addStep(topology.TargetID(t.peerHost), "transaction statement lost: "+err.Error())
	r.answerLost = true
	var resultErr *result.Error
	sent = !errors.As(err, &resultErr) || resultErr.Code != result.HostUnreachable
	return statement.Answer{Code: statement.Aborted, Detail: err.Error(), State: statement.Failed}, sent, false
}

// runOnPeer runs a statement of a transaction that another host runs. A failure
// ends the transaction. The other host is told to roll it back, since it may have refused
// the statement without looking at the transaction.
func (s *session) runOnPeer(ctx context.Context, r *request) statement.Answer {
	a, _, _ := r.sendToTransactionPeer(ctx, false, false)
	if a.State != statement.InTransaction {
		s.rollbackOnPeer()
		s.tx.failed = true
		a.State = statement.Failed
	}
	s.tx.wrote = s.tx.wrote || (a.OK() && r.writes)
	return a
}

// commitOnPeer forwards the commit, exactly once. If its answer is lost and the
// transaction wrote, the outcome is in doubt. Only a commit that certainly didn't run is
// followed by a rollback.
func (s *session) commitOnPeer(ctx context.Context, r *request) statement.Answer {
	wrote := s.tx.wrote
	a, sent, _ := r.sendToTransactionPeer(ctx, false, false)
	if a.Code.NotRun() {
		s.rollbackOnPeer()
	}
	s.tx = nil
	if r.answerLost && sent && wrote {
		a.Code = statement.InDoubt
	}
	a.State = statement.Idle
	if a.OK() && wrote {
		s.raiseFloor(&a)
	}
	return a
}

// finishBeginOnPeer applies the answer to a transaction's first statement.
func (s *session) finishBeginOnPeer(r *request, a statement.Answer) statement.Answer {
	if a.State != statement.InTransaction {
		if r.answerLost { // the other host may run it
			s.rollbackOnPeer()
		}
		s.tx.failed, s.tx.peerHost = true, ""
		a.State = statement.Failed
	}
	s.tx.wrote = a.OK() && r.writes
	s.server.countStatement(r, &a)
	r.logOutcome("transaction start", &a, a.OK())
	return a
}

// rollbackOnPeer rolls back the transaction on the host that runs it, without
// waiting for the answer. If the request is lost, that host rolls back after the
// idle timeout. The request names no configuration, so that a host with an older one
// doesn't refuse it.
func (s *session) rollbackOnPeer() {
	if s.tx.peerHost == "" {
		return
	}
	host, args := s.tx.peerHost, &RunArgs{
		Database:    s.database,
		Statement:   statement.Statement{ID: statement.ProxyRequestID, Kind: statement.Rollback},
		Transaction: Transaction{Key: s.tx.peerKey},
	}
	s.tx.peerHost = ""
	peers := s.server.opts.Peers
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if err := peers.Call(ctx, host, runMethod, args, &RunReply{}); err != nil {
			s.log.V(1).Info("rollback not delivered", "peer", host, "error", err.Error())
		}
	}()
}
