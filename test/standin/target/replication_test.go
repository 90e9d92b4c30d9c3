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
	conn := g.pgx(0)
	_, err := conn.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	pos, err := topology.ParsePosition(conn.PgConn().ParameterStatus(ctl.PositionParameter))
	c.Assert(err, qt.IsNil)
	c.Assert(pos, qt.Equals, topology.Position{Term: 1, Offset: 2})
	replica := g.control(1)
	waitFor(c, "replica", func() bool {
		st, err := replica.Status(ctx)
		c.Assert(err, qt.IsNil)
		return st.Applied == pos
	})
	var crew string
	c.Assert(g.pgx(1).QueryRow(ctx, "SELECT crew FROM booking").Scan(&crew), qt.IsNil)
	_, err = g.pgx(1).Exec(ctx, "DELETE FROM booking")
	c.Assert(state(err), qt.Equals, ctl.StateNotPrimary)
}

func TestReceivedRunsAheadOfApplied(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, func(cfg *target.Config) { cfg.ApplyLag = time.Hour })
	_, err := g.pgx(0).Exec(context.Background(), "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	waitFor(c, "receipt", func() bool { return g.servers[1].Status().Received.Offset == 2 })
	c.Assert(g.servers[1].Status().Applied, qt.Equals, topology.Position{})
	g.servers[1].SetLag(0, 0)
	waitFor(c, "application", func() bool { return g.servers[1].Status().Applied.Offset == 2 })
}

// awaitReplicas waits until both have the first entry.
func (g *group) awaitReplicas() {
	waitFor(g.c, "replicas", func() bool {
		return g.servers[1].Status().Received.Offset == 1 && g.servers[2].Status().Received.Offset == 1
	})
}

// deafen keeps both replicas from receiving anything more.
func (g *group) deafen() {
	for _, i := range []int{1, 2} {
		g.servers[i].SetLag(time.Hour, 0)
	}
}

func TestPromotionAndReturnOfTheOldPrimary(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	g.awaitReplicas()
	// A write that only the old primary has, and one that is open at the fence.
	g.deafen()
	old := g.pgx(0)
	_, err := old.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'lost')")
	c.Assert(err, qt.IsNil)
	tx, err := old.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (2, 'open')")
	c.Assert(err, qt.IsNil)

	one, two := g.control(1), g.control(2)
	for _, conn := range []*ctl.Conn{one, two} {
		_, err := conn.Fence(ctx, 2)
		c.Assert(err, qt.IsNil)
		_, err = conn.Fence(ctx, 2)
		c.Assert(err, qt.ErrorAs, new(*ctl.ErrStaleTerm))
	}
	st, err := one.Promote(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(st.Received, qt.Equals, topology.Position{Term: 2, Offset: 2})
	_, err = two.Follow(ctx, 2, id(1))
	c.Assert(err, qt.IsNil)
	_, err = g.control(0).Fence(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(state(tx.Commit(ctx)), qt.Equals, ctl.StateNotPrimary)
	_, err = g.control(0).Follow(ctx, 2, id(1))
	c.Assert(err, qt.IsNil)
	for _, s := range g.servers {
		s.SetLag(0, 0)
	}
	_, err = g.pgx(1).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (3, 'kept')")
	c.Assert(err, qt.IsNil)
	for i, s := range g.servers {
		waitFor(c, "log", func() bool { return s.Status().Applied == topology.Position{Term: 2, Offset: 3} })
		var crews string
		c.Assert(g.pgx(i).QueryRow(ctx, "SELECT group_concat(crew) AS crews FROM booking").Scan(&crews), qt.IsNil)
		c.Assert(crews, qt.Equals, "kept")
	}
}

func TestFencedPrimaryStillGivesItsLastEntries(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, func(cfg *target.Config) { cfg.ReceiveLag = 50 * time.Millisecond })
	ctx := context.Background()
	_, err := g.pgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'last')")
	c.Assert(err, qt.IsNil)
	st, err := g.control(0).Fence(ctx, 2)
	c.Assert(err, qt.IsNil)
	waitFor(c, "last entry", func() bool { return g.servers[1].Status().Received == st.Received })
}

func TestRestartKeepsTheLogAndComesBackUnwritable(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	_, err := g.pgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	g.servers[0].Close()
	g.restart(0)
	st := g.servers[0].Status()
	c.Assert(st.Role, qt.Equals, ctl.Fenced)
	c.Assert(st.Applied, qt.Equals, topology.Position{Term: 1, Offset: 2})
	conn := g.pgx(0)
	var n int
	c.Assert(conn.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	_, err = conn.Exec(ctx, "DELETE FROM booking")
	c.Assert(state(err), qt.Equals, ctl.StateNotPrimary)
}

// A primary that is silent, not closed, doesn't keep its replica from following
// the next one at once.
func TestReplicaLeavesASilentPrimaryAtOnce(t *testing.T) {
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
	two := g.control(2)
	_, err = two.Follow(ctx, 2, "mute")
	c.Assert(err, qt.IsNil)
	conn := <-accepted
	defer conn.Close()
	one := g.control(1)
	_, err = one.Fence(ctx, 3)
	c.Assert(err, qt.IsNil)
	_, err = one.Promote(ctx, 3)
	c.Assert(err, qt.IsNil)
	began := time.Now()
	_, err = two.Follow(ctx, 3, id(1))
	c.Assert(err, qt.IsNil)
	waitFor(c, "the new primary's entry", func() bool { return g.servers[2].Status().Received.Term == 3 })
	c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// A replica that follows the next primary confirms nothing of the former one,
// also while its log still has what the next one lacks.
func TestAReplicaConfirmsOnlyWhatItsPrimaryHas(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	g.awaitReplicas()
	g.servers[1].SetLag(time.Hour, 0)
	_, err := g.pgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'lost')")
	c.Assert(err, qt.IsNil)
	lost := topology.Position{Term: 1, Offset: 2}
	waitFor(c, "the other replica has it", func() bool { return g.servers[2].Has(lost) })
	c.Check(g.servers[1].Has(lost), qt.IsFalse)
	c.Assert(target.Promote(ctx, g.servers[1], []*target.Server{g.servers[0], g.servers[2]}), qt.IsNil)
	c.Check(g.servers[2].Has(lost), qt.IsFalse)
}

// A session of the line protocol ends when the database that it has open is
// replaced: it would read what the next primary never had (soak, seed 3).
func TestALineSessionEndsWithItsDatabase(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	g.awaitReplicas()
	g.deafen()
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
	_, err = g.pgx(0).Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'lost')")
	c.Assert(err, qt.IsNil)
	c.Assert(target.Promote(ctx, g.servers[1], []*target.Server{g.servers[0], g.servers[2]}), qt.IsNil)
	waitFor(c, "the old primary has the next one's log", func() bool { return g.servers[0].Status().Received.Term == 2 })
	_, err = fmt.Fprint(conn, "QUERY a READ x\r\n")
	c.Assert(err, qt.IsNil)
	_, err = in.ReadString('\n')
	c.Check(err, qt.Equals, io.EOF)
}
