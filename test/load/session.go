package load

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/history"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	statementTimeout         = 8 * time.Second // less than the 10 s within which a failover must complete
	statementsPerConnection  = 8               // after which a token session reconnects to a random host
	statementsPerDelayedRead = 5               // statements between two delayed reads
	connectRetryDelay        = 20 * time.Millisecond
)

// session is a caller that writes its own rows and reads them back.
type session struct {
	id      string
	mode    Mode
	group   topology.GroupID
	cfg     *Config
	bed     *testbed.Bed
	rng     *rand.Rand
	log     *history.Log
	timings *Timings

	conns        []*pgx.Conn // two for ModeIdentity, otherwise one
	token        string
	statements   int
	lastSeq      int // sequence number of the last write attempted
	lastAckedSeq int // sequence number of the last write acknowledged
}

func (s *session) run(ctx context.Context) {
	defer s.closeAll()
	for ctx.Err() == nil {
		if !s.ensureConnected(ctx) {
			sleep(ctx, connectRetryDelay)
			continue
		}
		s.runStatement(ctx)
		s.statements++
		if s.cfg.DelayedReadAfter > 0 && s.statements%statementsPerDelayedRead == 0 {
			s.readDelayed(ctx)
		}
		sleep(ctx, s.thinkTime())
	}
}

func (s *session) thinkTime() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.cfg.Pause))
}

// ensureConnected opens the connections that the session's mode requires and
// reports whether all of them are open.
func (s *session) ensureConnected(ctx context.Context) bool {
	if s.mode == ModeToken && s.statements%statementsPerConnection == 0 {
		s.closeAll()
	}
	needed := 1
	if s.mode == ModeIdentity {
		needed = 2
	}
	for len(s.conns) < needed {
		conn, err := s.connect(ctx)
		if err != nil {
			return false
		}
		s.conns = append(s.conns, conn)
	}
	return true
}

func (s *session) connect(ctx context.Context) (*pgx.Conn, error) {
	host := s.bed.Hosts[s.rng.Intn(len(s.bed.Hosts))]
	var params []string
	switch {
	case s.mode == ModeIdentity:
		params = append(params, "nettlewalk.session="+s.id)
	case s.mode == ModeToken && s.token != "":
		params = append(params, "nettlewalk.token="+s.token)
	}
	conn, err := host.Connect(ctx, s.cfg.Customer, string(s.group), params...)
	if err == nil && s.mode == ModePlain && s.lastAckedSeq > 0 {
		s.startNewSession()
	}
	return conn, err
}

// startNewSession changes the session id and resets the sequence numbers. A plain
// session has no freshness floor on its next connection.
func (s *session) startNewSession() {
	s.id += "'"
	s.lastSeq, s.lastAckedSeq = 0, 0
}

func (s *session) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, c := range s.conns {
		_ = c.Close(ctx)
	}
	s.conns = nil
}

func (s *session) runStatement(ctx context.Context) {
	i := s.rng.Intn(len(s.conns))
	if s.rng.Float64() < s.cfg.WriteShare {
		s.write(ctx, i)
	} else {
		s.read(ctx, i)
	}
}

func (s *session) write(ctx context.Context, i int) {
	s.lastSeq++
	w := history.Write{ID: fmt.Sprintf("%s-%d", s.id, s.lastSeq), Session: s.id, Seq: s.lastSeq, Start: time.Now()}
	ctx, cancel := withStatementTimeout(ctx)
	defer cancel()
	conn := s.conns[i]
	_, err := conn.Exec(ctx, "INSERT INTO bookings (id, crew, session, seq) VALUES ($1, 'crew-1', $2, $3)", w.ID, s.id, s.lastSeq)
	w.End = time.Now()
	w.Outcome = Outcome(err)
	if err == nil {
		s.lastAckedSeq = s.lastSeq
		s.token = conn.PgConn().ParameterStatus("nettlewalk.token")
		s.timings.addWrite(s.group, w.Start, w.End)
	} else {
		w.Detail = err.Error()
		s.timings.addError("write", err)
	}
	s.log.AddWrite(w)
	s.removeIfClosed(i)
}

func (s *session) read(ctx context.Context, i int) {
	r := history.Read{Session: s.id, Floor: s.lastAckedSeq, Start: time.Now()}
	ctx, cancel := withStatementTimeout(ctx)
	defer cancel()
	err := s.conns[i].QueryRow(ctx, "SELECT coalesce(max(seq), 0) FROM bookings WHERE session = $1", s.id).Scan(&r.Seen)
	r.End = time.Now()
	if err == nil {
		s.timings.addRead(r.Start, r.End)
		if r.Seen < r.Floor {
			r.Detail = s.describeLastTarget(ctx, i)
		}
		s.log.AddRead(r)
	} else {
		s.timings.addError("read", err)
	}
	s.removeIfClosed(i)
}

// readDelayed waits until the replicas have had time to apply the session's writes,
// then reads and records whether a replica served the read.
func (s *session) readDelayed(ctx context.Context) {
	sleep(ctx, s.cfg.DelayedReadAfter)
	if ctx.Err() != nil || len(s.conns) == 0 {
		return
	}
	s.read(ctx, 0)
	if len(s.conns) == 0 {
		return
	}
	statementCtx, cancel := withStatementTimeout(ctx)
	defer cancel()
	s.timings.addDelayedRead(strings.HasSuffix(s.lastTarget(statementCtx, 0), replicaRoleSuffix))
	s.removeIfClosed(0)
}

const replicaRoleSuffix = "(replica)" // in the result of SHOW nettlewalk.served_by

// lastTarget returns the target that served the last statement on connection i,
// followed by the target's role.
func (s *session) lastTarget(ctx context.Context, i int) string {
	var target string
	err := s.conns[i].QueryRow(ctx, "SHOW nettlewalk.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&target)
	if err != nil {
		return err.Error()
	}
	return target
}

// describeLastTarget returns the session's mode and the target that served the last
// statement on connection i.
func (s *session) describeLastTarget(ctx context.Context, i int) string {
	return fmt.Sprintf("%s session, served by %s", s.mode, s.lastTarget(ctx, i))
}

// removeIfClosed removes connection i from the session if it is closed.
func (s *session) removeIfClosed(i int) {
	if s.conns[i].IsClosed() {
		s.conns = append(s.conns[:i], s.conns[i+1:]...)
	}
}

// withStatementTimeout returns a context that limits the duration of one statement.
// The cancellation of ctx does not cancel it, so statements in flight complete when
// the run stops.
func withStatementTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), statementTimeout)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
