package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/standin/target"
)

func TestPositionIsReportedAndReplicated(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	conn := g.connectPgx(0)
	_, err := conn.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	pos, err := topology.ParsePosition(conn.PgConn().ParameterStatus(ctl.PositionParameter))
	c.Assert(err, qt.IsNil)
	c.Assert(pos, qt.Equals, topology.Position{Term: 1, Offset: 2})
	replica := g.dialControl(1)
	waitFor(c, "the replica to apply the write", func() bool {
		st, err := replica.Status(ctx)
		c.Assert(err, qt.IsNil)
		return st.Applied == pos
	})
	var crew string
	c.Assert(g.connectPgx(1).QueryRow(ctx, "SELECT crew FROM booking").Scan(&crew), qt.IsNil)
	_, err = g.connectPgx(1).Exec(ctx, "DELETE FROM booking")
	c.Assert(sqlstate(err), qt.Equals, ctl.StateNotPrimary)
}

func TestReceivedPositionPrecedesApplied(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, func(cfg *target.Config) { cfg.ApplyLag = time.Hour })
	_, err := g.connectPgx(0).Exec(context.Background(), "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	waitFor(c, "the replica to receive the write", func() bool { return g.servers[1].Status().Received.Offset == 2 })
	c.Assert(g.servers[1].Status().Applied, qt.Equals, topology.Position{})
	g.servers[1].SetLag(0, 0)
	waitFor(c, "the replica to apply the write", func() bool { return g.servers[1].Status().Applied.Offset == 2 })
}

// waitForReplicas waits until both replicas have received the first entry.
func (g *group) waitForReplicas() {
	waitFor(g.c, "the replicas to receive the first entry", func() bool {
		return g.servers[1].Status().Received.Offset == 1 && g.servers[2].Status().Received.Offset == 1
	})
}

// stopReceiving keeps both replicas from receiving further entries.
func (g *group) stopReceiving() {
	for _, i := range []int{1, 2} {
		g.servers[i].SetLag(time.Hour, 0)
	}
}

func TestPromotionAndRejoinOfOldPrimary(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	g.waitForReplicas()
	// The first write is committed only on the old primary; the second is in an
	// open transaction when the primary is fenced.
	g.stopReceiving()
	oldPrimary := g.connectPgx(0)
	_, err := oldPrimary.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'lost')")
	c.Assert(err, qt.IsNil)
	tx, err := oldPrimary.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (2, 'open')")
	c.Assert(err, qt.IsNil)

	control1, control2 := g.dialControl(1), g.dialControl(2)
	for _, conn := range []*ctl.Conn{control1, control2} {
		_, err := conn.Fence(ctx, 2)
		c.Assert(err, qt.IsNil)
		_, err = conn.Fence(ctx, 2)
		c.Assert(err, qt.ErrorAs, new(*ctl.ErrStaleTerm))
	}
	st, err := control1.Promote(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(st.Received, qt.Equals, topology.Position{Term: 2, Offset: 2})
	_, err = control2.Follow(ctx, 2, id(1))
	c.Assert(err, qt.IsNil)
	_, err = g.dialControl(0).Fence(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(sqlstate(tx.Commit(ctx)), qt.Equals, ctl.StateNotPrimary)
	_, err = g.dialControl(0).Follow(ctx, 2, id(1))
	c.Assert(err, qt.IsNil)
	for _, s := range g.servers {
		s.SetLag(0, 0)
	}
	_, err = g.connectPgx(1).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (3, 'kept')")
	c.Assert(err, qt.IsNil)
	for i, s := range g.servers {
		waitFor(c, "the server to apply the new primary's log", func() bool { return s.Status().Applied == topology.Position{Term: 2, Offset: 3} })
		var crews string
		c.Assert(g.connectPgx(i).QueryRow(ctx, "SELECT group_concat(crew) AS crews FROM booking").Scan(&crews), qt.IsNil)
		c.Assert(crews, qt.Equals, "kept")
	}
}

func TestFencedPrimaryStreamsRemainingEntries(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, func(cfg *target.Config) { cfg.ReceiveLag = 50 * time.Millisecond })
	ctx := context.Background()
	_, err := g.connectPgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'last')")
	c.Assert(err, qt.IsNil)
	st, err := g.dialControl(0).Fence(ctx, 2)
	c.Assert(err, qt.IsNil)
	waitFor(c, "the replica to receive the last entry", func() bool { return g.servers[1].Status().Received == st.Received })
}

func TestRestartedPrimaryKeepsLogAndIsFenced(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	_, err := g.connectPgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	g.servers[0].Close()
	g.restart(0)
	st := g.servers[0].Status()
	c.Assert(st.Role, qt.Equals, ctl.Fenced)
	c.Assert(st.Applied, qt.Equals, topology.Position{Term: 1, Offset: 2})
	conn := g.connectPgx(0)
	var n int
	c.Assert(conn.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	_, err = conn.Exec(ctx, "DELETE FROM booking")
	c.Assert(sqlstate(err), qt.Equals, ctl.StateNotPrimary)
}

// A primary that stops responding without closing its connections must not
// delay its replica from following the next primary.
func TestReplicaLeavesSilentPrimaryImmediately(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := silent.Accept()
		accepted <- conn
	}()
	g.servers[2].SetPeer("mute", silent.Addr().String())
	control2 := g.dialControl(2)
	_, err = control2.Follow(ctx, 2, "mute")
	c.Assert(err, qt.IsNil)
	conn := <-accepted
	defer conn.Close()
	control1 := g.dialControl(1)
	_, err = control1.Fence(ctx, 3)
	c.Assert(err, qt.IsNil)
	_, err = control1.Promote(ctx, 3)
	c.Assert(err, qt.IsNil)
	began := time.Now()
	_, err = control2.Follow(ctx, 3, id(1))
	c.Assert(err, qt.IsNil)
	waitFor(c, "the new primary's entry", func() bool { return g.servers[2].Status().Received.Term == 3 })
	c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// A replica that follows a new primary must not confirm entries of the former
// one, even while its own log still contains entries that the new primary
// lacks.
func TestReplicaConfirmsOnlyEntriesOfCurrentPrimary(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	g.waitForReplicas()
	g.servers[1].SetLag(time.Hour, 0)
	_, err := g.connectPgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'lost')")
	c.Assert(err, qt.IsNil)
	lost := topology.Position{Term: 1, Offset: 2}
	waitFor(c, "the other replica to receive the entry", func() bool { return g.servers[2].ConfirmsPosition(lost) })
	c.Check(g.servers[1].ConfirmsPosition(lost), qt.IsFalse)
	c.Assert(target.Promote(ctx, g.servers[1], []*target.Server{g.servers[0], g.servers[2]}), qt.IsNil)
	c.Check(g.servers[2].ConfirmsPosition(lost), qt.IsFalse)
}

// A line protocol session must end when its database is replaced. Otherwise it
// would read data that the new primary never had (found by the soak test with
// seed 3).
func TestLineSessionClosesOnDatabaseRebuild(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	g.waitForReplicas()
	g.stopReceiving()
	l, err := g.servers[0].ServeLine(target.LineConfig{Group: "g"})
	c.Assert(err, qt.IsNil)
	c.Cleanup(l.Close)
	conn, err := net.Dial("tcp", l.Addr())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	in := bufio.NewReader(conn)
	_, err = fmt.Fprintf(conn, "START g test %s\r\n", id(0))
	c.Assert(err, qt.IsNil)
	ready, err := in.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(ready, qt.Equals, "READY I 1.1\r\n")
	_, err = g.connectPgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'lost')")
	c.Assert(err, qt.IsNil)
	c.Assert(target.Promote(ctx, g.servers[1], []*target.Server{g.servers[0], g.servers[2]}), qt.IsNil)
	waitFor(c, "the old primary to receive the new primary's log", func() bool { return g.servers[0].Status().Received.Term == 2 })
	_, err = fmt.Fprint(conn, "QUERY a READ x\r\n")
	c.Assert(err, qt.IsNil)
	_, err = in.ReadString('\n')
	c.Check(err, qt.Equals, io.EOF)
}
