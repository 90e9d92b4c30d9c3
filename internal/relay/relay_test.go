package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeTarget answers statements with a function and records them.
type fakeTarget struct {
	mu       sync.Mutex
	received []string // IDs and texts, without the proxy's own Begin and Rollback
	leads    bool
	logEnd   topology.Position
	answer   func(st statement.Statement) (statement.Answer, error) // nil or an empty answer: the default
}

func (f *fakeTarget) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var answers []statement.Answer
	state := statement.Idle
	for _, st := range batch {
		a, err := f.execute(st, &state)
		if err != nil {
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (f *fakeTarget) execute(st statement.Statement, state *statement.State) (statement.Answer, error) {
	if st.Kind == statement.Begin && st.ID == statement.ProxyRequestID {
		if !f.leads {
			return statement.Answer{Code: statement.ReadOnly, Position: f.logEnd, HasPosition: true}, nil
		}
		*state = statement.InTransaction
		return statement.Answer{Signature: "-", State: *state, Position: f.logEnd, HasPosition: true}, nil
	}
	if st.Kind == statement.BeginReadOnly {
		*state = statement.InTransaction
	}
	if st.Kind != statement.Rollback || st.ID != statement.ProxyRequestID {
		f.received = append(f.received, st.ID+" "+st.Text)
	}
	if f.answer != nil {
		if a, err := f.answer(st); err != nil || a.Signature != "" || a.Code != statement.OK {
			return a, err
		}
	}
	if !st.After.IsZero() && !f.logEnd.AtLeast(st.After) {
		return statement.Answer{Code: statement.Lagging, Position: f.logEnd, HasPosition: true}, nil
	}
	if st.Kind == statement.Commit || st.Kind == statement.Rollback {
		*state = statement.Idle
	}
	return statement.Answer{Signature: "sig", State: *state, Position: f.logEnd, HasPosition: true}, nil
}

func (f *fakeTarget) Alive() bool { return true }
func (f *fakeTarget) Close()      {}

func (f *fakeTarget) receivedTexts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.received...)
}

// transactionConn is a connection to a fake target with its own transaction state.
type transactionConn struct {
	*fakeTarget
	inTransaction bool
}

func (c *transactionConn) Exchange(deadline time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	answers, err := c.fakeTarget.Exchange(deadline, batch...)
	for i := range answers {
		switch batch[i].Kind {
		case statement.Begin, statement.BeginReadOnly:
			c.inTransaction = answers[i].OK()
		case statement.Commit, statement.Rollback:
			c.inTransaction = false
		}
		if c.inTransaction && answers[i].OK() {
			answers[i].State = statement.InTransaction
		}
	}
	return answers, err
}

// fakeDialer opens connections to fake targets by target ID.
type fakeDialer map[topology.TargetID]*fakeTarget

func (d fakeDialer) Dial(_ context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	f := d[t.ID]
	if f == nil {
		return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: errors.New("cut")}
	}
	return &transactionConn{fakeTarget: f}, nil
}

// fixture is a session in front of a leader and a replica.
type fixture struct {
	*session
	group           *group.Group
	leader, replica *fakeTarget
	config          *catalog.Configuration
}

func (f *fixture) Configuration() *catalog.Configuration  { return f.config }
func (f *fixture) Group(id topology.GroupID) *group.Group { return f.group }
func (f *fixture) serveStatement(st statement.Statement) statement.Answer {
	st.ID = "q"
	return f.serve(context.Background(), &st)
}

func newFixture(t *testing.T, freshness catalog.Freshness) *fixture {
	t.Helper()
	return newFixtureWith(t, freshness, func(*group.Options) {})
}

// newFixtureWith returns a fixture with changed options of its group.
func newFixtureWith(t *testing.T, freshness catalog.Freshness, change func(*group.Options)) *fixture {
	t.Helper()
	f := &fixture{
		leader:  &fakeTarget{leads: true, logEnd: topology.Position{Term: 1, Offset: 10}},
		replica: &fakeTarget{logEnd: topology.Position{Term: 1, Offset: 10}},
	}
	f.config = &catalog.Configuration{Version: 1, Routes: map[string]catalog.Route{"db": {
		Database: "db", Group: "g", Freshness: freshness, MaxAge: 2 * time.Second, StatementTimeout: time.Second, LatencyGoal: 100 * time.Millisecond,
	}}}
	options := group.Options{
		ID: "g", Dialer: fakeDialer{"p": f.leader, "r": f.replica}, Log: logr.Discard(),
		OnSuspect: func(topology.GroupID, topology.TargetID, statement.DialOutcome) {},
	}
	change(&options)
	f.group = group.New(options)
	t.Cleanup(f.group.Close)
	f.group.SetMembers([]catalog.Member{f.member("p"), f.member("r")}, func(topology.Target) int { return 2 })
	f.session = NewServer(Options{Catalog: f, Groups: f, Log: logr.Discard()}).newSession(nil)
	f.session.database = "db"
	_, _, ok := f.group.WaitLeader(context.Background(), time.Now().Add(5*time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	eventually(t, "both targets can be read", func() bool { return len(f.group.Readers(topology.Position{})) >= 2 })
	return f
}

// awaitConnections waits until both connections to each target are open and idle. Before
// that, a statement may go to another target than expected, or be refused.
func (f *fixture) awaitConnections(t *testing.T) {
	t.Helper()
	for _, id := range []topology.TargetID{"p", "r"} {
		pool := f.pool(t, id)
		eventually(t, "both connections are idle", func() bool { return pool.Load().Idle == 2 })
	}
}

// member returns the registration of a target of the fixture's group.
func (f *fixture) member(id topology.TargetID) catalog.Member {
	return catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}}
}

func read(item string) statement.Statement {
	return statement.Statement{Kind: statement.Read, Name: item, Text: "READ " + item}
}

func write(item string) statement.Statement {
	return statement.Statement{Kind: statement.Write, Name: item, Value: "x", Text: "WRITE " + item + " x"}
}

var (
	begin  = statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	commit = statement.Statement{Kind: statement.Commit, Text: "COMMIT"}
)

func TestBoundedAgeReadGoesToReplica(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	a := f.serveStatement(read("a"))
	qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
	qt.Check(t, f.replica.receivedTexts(), qt.DeepEquals, []string{"q READ a"})
}

// With the required position its message would be too long for a target.
func TestReadWithoutRoomForItsPositionGoesToLeader(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	st := read("a")
	st.WithoutAfter = true
	qt.Assert(t, f.serveStatement(st).OK(), qt.IsTrue)
	qt.Check(t, f.replica.receivedTexts(), qt.HasLen, 0)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q READ a"})
}

func TestLatestDataReadGoesToLeader(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Check(t, f.replica.receivedTexts(), qt.HasLen, 0)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q READ a"})
}

// A session that wrote reads its own write, which a replica without it can't serve.
func TestSessionReadsItsOwnWrites(t *testing.T) {
	f := newFixture(t, catalog.OwnWrites)
	f.leader.mu.Lock()
	f.leader.logEnd.Offset = 20
	f.leader.mu.Unlock()
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.floor, qt.Equals, topology.Position{Term: 1, Offset: 20})
	a := f.serveStatement(read("a"))
	qt.Assert(t, a.OK(), qt.IsTrue)
	qt.Check(t, a.Position.Offset, qt.Equals, uint64(20))
}

// The answer of a read at a target that refused to begin a transaction is discarded:
// the read ran on the log of a replaced primary.
func TestReadFromReplacedPrimaryIsDiscarded(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.leader.mu.Lock()
	f.leader.leads = false
	f.leader.mu.Unlock()
	f.replica.mu.Lock()
	f.replica.leads = true
	f.replica.mu.Unlock()
	a := f.serveStatement(read("a"))
	qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
	qt.Check(t, f.replica.receivedTexts(), qt.DeepEquals, []string{"q READ a"})
}

func TestSessionStateIsReplayed(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.serveStatement(statement.Statement{Kind: statement.Set, Name: "tz", Value: "utc", Text: "SET tz utc"})
	f.serveStatement(statement.Statement{Kind: statement.Prepare, Name: "s1", Value: "READ q2c", Text: "PREPARE s1 READ q2c"})
	execute := statement.Statement{Kind: statement.Execute, Name: "s1", Value: "a", Text: "EXECUTE s1 a"}
	qt.Assert(t, f.serveStatement(execute).OK(), qt.IsTrue)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"- SET tz utc", "- PREPARE s1 READ q2c", "q EXECUTE s1 a"})
	qt.Check(t, f.serveStatement(statement.Statement{Kind: statement.Execute, Name: "s2", Value: "a", Text: "EXECUTE s2 a"}).Code, qt.Equals, statement.UnknownPrepared)
}

// A write whose connection breaks guarantees nothing and isn't sent again.
func TestBrokenWriteIsInDoubtAndSentOnce(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
		if st.Kind == statement.Write {
			return statement.Answer{}, &statement.ConnError{Sent: true, Cause: errors.New("reset")}
		}
		return statement.Answer{}, nil
	}
	a := f.serveStatement(write("a"))
	qt.Check(t, a.Code, qt.Equals, statement.InDoubt)
	qt.Check(t, a.Code.HadNoEffect(), qt.IsFalse)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
}

// A write whose connection breaks before it is sent is repeated over another one. Until the
// pool has opened its second connection there is none, and the write is refused.
func TestUnsentWriteIsRetried(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	pool := f.pool(t, "p")
	eventually(t, "both connections are open", func() bool { return pool.Load().Open == 2 })
	broke := false
	f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
		if st.Kind == statement.Write && !broke {
			broke = true
			return statement.Answer{}, &statement.ConnError{Cause: errors.New("reset")}
		}
		return statement.Answer{}, nil
	}
	a := f.serveStatement(write("a"))
	qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	qt.Check(t, f.serveStatement(begin).State, qt.Equals, statement.InTransaction)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0) // the transaction begins with its first statement
	qt.Check(t, f.serveStatement(write("a")).State, qt.Equals, statement.InTransaction)
	firstConn := f.tx.conn
	f.serveStatement(read("b"))
	qt.Check(t, f.tx.conn, qt.Equals, firstConn)
	a := f.serveStatement(commit)
	qt.Check(t, a.OK(), qt.IsTrue)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
	qt.Check(t, f.tx, qt.IsNil)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x", "q READ b", "q COMMIT"})
}

func TestLostCommitIsInDoubtOnlyAfterWrite(t *testing.T) {
	for _, test := range []struct {
		st   statement.Statement
		want statement.Code
	}{{write("a"), statement.InDoubt}, {read("a"), statement.Aborted}} {
		f := newFixture(t, catalog.LatestData)
		f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
			if st.Kind == statement.Commit {
				return statement.Answer{}, &statement.ConnError{Sent: true, Cause: errors.New("reset")}
			}
			return statement.Answer{}, nil
		}
		f.serveStatement(begin)
		f.serveStatement(test.st)
		qt.Check(t, f.serveStatement(commit).Code, qt.Equals, test.want)
	}
}

func TestFailedTransactionAcceptsOnlyItsEnd(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
		if st.Kind == statement.Write {
			return statement.Answer{}, &statement.ConnError{Sent: true, Cause: errors.New("reset")}
		}
		return statement.Answer{}, nil
	}
	f.serveStatement(begin)
	a := f.serveStatement(write("a"))
	qt.Check(t, a.Code, qt.Equals, statement.Aborted) // the commit was never sent
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	qt.Check(t, f.serveStatement(read("b")).Code, qt.Equals, statement.Malformed)
	qt.Check(t, f.serveStatement(statement.Statement{Kind: statement.Rollback, Text: "ROLLBACK"}).State, qt.Equals, statement.Idle)
}

// A transaction that the proxy aborted is refused with a guarantee, once.
func TestAbortedTransactionIsReportedOnce(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	f.serveStatement(write("a"))
	f.abortTransaction("idle for too long")
	qt.Check(t, f.serveStatement(write("b")).Code, qt.Equals, statement.Aborted)
	qt.Check(t, f.serveStatement(commit).Code, qt.Equals, statement.Aborted)
	qt.Check(t, f.tx, qt.IsNil)
}

// A request waits for a leader only if the loss can end in time; else it is refused
// at once.
func TestMaxLeaderWait(t *testing.T) {
	r := &catalog.Route{StatementTimeout: 800 * time.Millisecond}
	ms := time.Millisecond
	qt.Check(t, maxLeaderWait(r, group.LeaderLoss{}), qt.Equals, time.Duration(0))
	qt.Check(t, maxLeaderWait(r, group.LeaderLoss{Duration: 600 * ms}), qt.Equals, 700*ms)
	qt.Check(t, maxLeaderWait(r, group.LeaderLoss{Duration: 5000 * ms}), qt.Equals, time.Duration(0))
	qt.Check(t, maxLeaderWait(r, group.LeaderLoss{Duration: 10 * ms, Demoted: true}), qt.Equals, 390*ms)
	qt.Check(t, maxLeaderWait(r, group.LeaderLoss{Duration: 400 * ms, Demoted: true}), qt.Equals, time.Duration(0))
	r.StatementTimeout = 2 * time.Second
	qt.Check(t, maxLeaderWait(r, group.LeaderLoss{}), qt.Equals, 1300*ms)
}

func TestClassifyBreak(t *testing.T) {
	for _, test := range []struct {
		broken statement.ConnError
		writes bool
		code   statement.Code
		retry  bool
	}{
		{statement.ConnError{}, true, statement.Busy, true},
		{statement.ConnError{Sent: true}, true, statement.InDoubt, false},
		{statement.ConnError{Sent: true}, false, statement.Busy, true},
		{statement.ConnError{Sent: true, Timeout: true}, true, statement.TimedOut, false},
	} {
		code, retry := classifyBreak(&test.broken, test.writes)
		qt.Check(t, code, qt.Equals, test.code)
		qt.Check(t, retry, qt.Equals, test.retry)
	}
}

// A host with an older configuration runs nothing for a host with a newer one. It
// refused a database that it didn't know yet, three seconds after the database was
// accepted (found in a run of the scenario scale-1, seed 950667505276).
func TestHostWithOlderConfigurationRefusesForwarded(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	args := RunArgs{Configuration: 2, Database: "new", Statement: read("a"), Within: time.Second}
	var reply RunReply
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.Code, qt.Equals, statement.Busy)
	args.Configuration = 1
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.Code, qt.Equals, statement.NoDatabase)
	args.Database = "db"
	reply = RunReply{}
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.OK(), qt.IsTrue, qt.Commentf("%+v", reply))
}

// A change of the configuration applies from the next transaction on.
func TestTransactionKeepsItsRoute(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	f.config = &catalog.Configuration{Version: 2}
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Check(t, f.serveStatement(commit).OK(), qt.IsTrue)
	qt.Check(t, f.serveStatement(read("a")).Code, qt.Equals, statement.NoDatabase)
}
