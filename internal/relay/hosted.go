package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// hosted are the transactions that this host keeps for sessions of other hosts.
// Each has a session of its own here, from its first statement to its end.
type hosted struct {
	server *Server

	mu   sync.Mutex
	open map[string]*hostedTransaction
}

type hostedTransaction struct {
	mu      sync.Mutex // one statement at a time
	session *session
	timer   *time.Timer // rolls back what was left alone
}

func newHosted(s *Server) *hosted { return &hosted{server: s, open: map[string]*hostedTransaction{}} }

// hostedIdle is how long a transaction may be left alone if the configuration
// sets no limit: its host may have died.
const hostedIdle = 5 * time.Second

// count returns how many transactions are open.
func (g *hosted) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// step runs one statement of a transaction.
func (g *hosted) step(args *Forwarded) statement.Answer {
	kept := g.find(args)
	if kept == nil {
		return statement.Answer{Code: statement.Aborted, Detail: "the transaction is not known here", State: statement.Failed}
	}
	kept.mu.Lock()
	defer kept.mu.Unlock()
	s := kept.session
	if s.tx == nil { // it was left alone for too long
		return statement.Answer{Code: statement.Aborted, Detail: "idle for too long", State: statement.Failed}
	}
	kept.timer.Reset(g.idle())
	s.adopt(args)
	if g.server.cutsTransactions() && s.tx.running() {
		s.failTransaction("host is leaving")
	}
	st := args.Statement
	s.atOnce = args.AtOnce
	answer := s.serve(context.Background(), &st)
	if s.tx == nil || s.tx.failed {
		s.endTransaction()
		g.forget(args.Transaction.Key, kept)
	}
	return answer
}

// find returns the transaction, a new one for a first statement.
func (g *hosted) find(args *Forwarded) *hostedTransaction {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := args.Transaction.Key
	if !args.Transaction.First {
		return g.open[key]
	}
	s := g.server.newSession(nil)
	s.isHosted = true
	s.tx = &transaction{readOnly: args.Transaction.ReadOnly}
	kept := &hostedTransaction{session: s}
	kept.timer = time.AfterFunc(g.idle(), func() { g.expire(key, kept) })
	g.open[key] = kept
	return kept
}

func (g *hosted) idle() time.Duration {
	if d := g.server.transactionIdle(); d > 0 {
		return d
	}
	return hostedIdle
}

// expire rolls back a transaction that was left alone.
func (g *hosted) expire(key string, kept *hostedTransaction) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	kept.session.endTransaction()
	g.forget(key, kept)
}

func (g *hosted) forget(key string, kept *hostedTransaction) {
	kept.timer.Stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[key] == kept {
		delete(g.open, key)
	}
}

// beginElsewhere begins the session's transaction at another host, with the
// request's statement. ok is false if none took it; nothing ran then.
func (r *request) beginElsewhere(ctx context.Context, free bool) (a statement.Answer, ok bool) {
	s := r.session
	if s.isHosted {
		return a, false
	}
	leader := !s.tx.readOnly || r.route.Freshness == catalog.LatestData
	for {
		host, atOnce, ok := r.pickPeer(leader, free)
		if !ok {
			return a, false
		}
		s.tx.elsewhere = host
		s.tx.key = s.server.name + "/" + strconv.FormatUint(s.server.ids.Add(1), 10)
		s.tx.group = r.group
		a, sent := r.stepElsewhere(ctx, true, atOnce)
		if sent && (a.OK() || !a.Code.NotRun()) {
			return a, true
		}
		s.tx.elsewhere, s.tx.key, r.refusedThere = "", "", a.Detail
	}
}

// stepElsewhere runs a statement of a transaction that another host keeps. sent
// is false if nothing left. atOnce: the first one is refused rather than made to wait.
func (r *request) stepElsewhere(ctx context.Context, first, atOnce bool) (a statement.Answer, sent bool) {
	t := r.session.tx
	args := r.toForward()
	args.AtOnce = atOnce
	args.Transaction = Transaction{Key: t.key, ReadOnly: t.readOnly, First: first}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	a, err := r.session.server.callPeer(ctx, t.elsewhere, r.route.Group, args)
	if err == nil {
		r.note(topology.TargetID(t.elsewhere), "asked to run a part of the transaction: "+a.Code.String())
		return a, true
	}
	r.note(topology.TargetID(t.elsewhere), "lost: "+err.Error())
	r.lostAnswer = true
	var coded *result.Error
	sent = !errors.As(err, &coded) || coded.Code != result.HostUnreachable
	return statement.Answer{Code: statement.Aborted, Detail: err.Error(), State: statement.Failed}, sent
}

// runElsewhere runs a statement of a transaction that another host keeps. A
// failure ends the transaction: the other host rolls back what it hears no more of.
func (s *session) runElsewhere(ctx context.Context, r *request) statement.Answer {
	a, _ := r.stepElsewhere(ctx, false, false)
	if a.State != statement.InTransaction {
		s.tx.failed, s.tx.elsewhere = true, ""
		a.State = statement.Failed
	}
	s.tx.wrote = s.tx.wrote || (a.OK() && r.writes)
	return a
}

// commitElsewhere sends the commit, once. Without an answer nobody knows what
// became of it, if anything was written.
func (s *session) commitElsewhere(ctx context.Context, r *request) statement.Answer {
	wrote := s.tx.wrote
	a, sent := r.stepElsewhere(ctx, false, false)
	s.tx = nil
	if r.lostAnswer && sent && wrote {
		a.Code = statement.InDoubt
	}
	a.State = statement.Idle
	if a.OK() && wrote {
		s.raiseFloor(&a)
	}
	return a
}

// begunElsewhere takes the answer to a transaction's first statement.
func (s *session) begunElsewhere(r *request, a statement.Answer) statement.Answer {
	if a.State != statement.InTransaction {
		s.tx.failed, s.tx.elsewhere = true, ""
		a.State = statement.Failed
	}
	s.tx.wrote = a.OK() && r.writes
	s.server.count(r, &a)
	r.logOutcome("start of a transaction", &a, a.OK())
	return a
}

// abandonElsewhere rolls back what another host keeps. Without an answer that
// host rolls back when it hears no more.
func (s *session) abandonElsewhere() {
	if s.tx.elsewhere == "" {
		return
	}
	host, args := s.tx.elsewhere, &Forwarded{
		Database:    s.database,
		Statement:   statement.Statement{ID: statement.OwnID, Kind: statement.Rollback},
		Transaction: Transaction{Key: s.tx.key},
	}
	s.tx.elsewhere = ""
	peers := s.server.opts.Peers
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if err := peers.Call(ctx, host, runMethod, args, &Ran{}); err != nil {
			s.log.V(1).Info("rollback not delivered", "peer", host, "error", err.Error())
		}
	}()
}
