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
	statementTimeout = 8 * time.Second // of a caller; under the promise that a change of primary is over within 10 s
	roamEvery        = 8               // statements on one connection before a token session moves
	pastLagEvery     = 5               // statements between reads that wait for the replicas' lag
	connectPause     = 20 * time.Millisecond
)

// session is one caller that writes rows of its own and reads them back.
type session struct {
	id      string
	mode    Mode
	db      topology.GroupID
	cfg     *Config
	bed     *testbed.Bed
	rng     *rand.Rand
	log     *history.Log
	timings *Timings

	conns      []*pgx.Conn // one, or two for ModeIdentity
	token      string
	statements int
	seq        int // last used
	acked      int // last acknowledged
}

func (s *session) run(ctx context.Context) {
	defer s.closeAll()
	for ctx.Err() == nil {
		if !s.ready(ctx) {
			pause(ctx, connectPause)
			continue
		}
		s.step(ctx)
		s.statements++
		if s.cfg.PastLag > 0 && s.statements%pastLagEvery == 0 {
			s.readPastLag(ctx)
		}
		pause(ctx, s.thinkTime())
	}
}

func (s *session) thinkTime() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.cfg.Pause))
}

// ready opens the connections that the session's mode wants.
func (s *session) ready(ctx context.Context) bool {
	if s.mode == ModeToken && s.statements%roamEvery == 0 {
		s.closeAll()
	}
	want := 1
	if s.mode == ModeIdentity {
		want = 2
	}
	for len(s.conns) < want {
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
	conn, err := host.Connect(ctx, s.cfg.Customer, string(s.db), params...)
	if err == nil && s.mode == ModePlain && s.acked > 0 {
		s.forget()
	}
	return conn, err
}

// forget starts a new session: a plain connection that was lost carries no
// floor over to the next one.
func (s *session) forget() {
	s.id += "'"
	s.seq, s.acked = 0, 0
}

func (s *session) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, c := range s.conns {
		_ = c.Close(ctx)
	}
	s.conns = nil
}

func (s *session) step(ctx context.Context) {
	i := s.rng.Intn(len(s.conns))
	if s.rng.Float64() < s.cfg.WriteShare {
		s.write(ctx, i)
	} else {
		s.read(ctx, i)
	}
}

func (s *session) write(ctx context.Context, i int) {
	s.seq++
	w := history.Write{ID: fmt.Sprintf("%s-%d", s.id, s.seq), Session: s.id, Seq: s.seq, Start: time.Now()}
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	conn := s.conns[i]
	_, err := conn.Exec(ctx, "INSERT INTO bookings (id, crew, session, seq) VALUES ($1, 'crew-1', $2, $3)", w.ID, s.id, s.seq)
	w.End = time.Now()
	w.Outcome = Outcome(err)
	if err == nil {
		s.acked = s.seq
		s.token = conn.PgConn().ParameterStatus("nettlewalk.token")
		s.timings.addWrite(s.db, w.Start, w.End)
	} else {
		w.Detail = err.Error()
		s.timings.addError("write", err)
	}
	s.log.AddWrite(w)
	s.drop(i)
}

func (s *session) read(ctx context.Context, i int) {
	r := history.Read{Session: s.id, Floor: s.acked, Start: time.Now()}
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	err := s.conns[i].QueryRow(ctx, "SELECT coalesce(max(seq), 0) FROM bookings WHERE session = $1", s.id).Scan(&r.Seen)
	r.End = time.Now()
	if err == nil {
		s.timings.addRead(r.Start, r.End)
		if r.Seen < r.Floor {
			r.Detail = s.servedBy(ctx, i)
		}
		s.log.AddRead(r)
	} else {
		s.timings.addError("read", err)
	}
	s.drop(i)
}

// readPastLag reads once the replicas had time to apply the session's writes,
// and counts whether one served it.
func (s *session) readPastLag(ctx context.Context) {
	pause(ctx, s.cfg.PastLag)
	if ctx.Err() != nil || len(s.conns) == 0 {
		return
	}
	s.read(ctx, 0)
	if len(s.conns) == 0 {
		return
	}
	bounded, cancel := withTimeout(ctx)
	defer cancel()
	s.timings.addPastLag(strings.HasSuffix(s.target(bounded, 0), replicaSuffix))
	s.drop(0)
}

const replicaSuffix = "(replica)" // of SHOW nettlewalk.served_by

// target returns the target of the last answer on a connection, and its role.
func (s *session) target(ctx context.Context, i int) string {
	var target string
	err := s.conns[i].QueryRow(ctx, "SHOW nettlewalk.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&target)
	if err != nil {
		return err.Error()
	}
	return target
}

// servedBy names the session's mode and the target of its last answer.
func (s *session) servedBy(ctx context.Context, i int) string {
	return fmt.Sprintf("%s session, served by %s", s.mode, s.target(ctx, i))
}

// drop forgets a connection that has ended.
func (s *session) drop(i int) {
	if s.conns[i].IsClosed() {
		s.conns = append(s.conns[:i], s.conns[i+1:]...)
	}
}

// withTimeout bounds one statement; it outlives the end of the run, so that
// what is under way is answered.
func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), statementTimeout)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
