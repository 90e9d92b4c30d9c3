package pool

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func TestWriteIsConfirmedBeforeItsAnswer(t *testing.T) {
	f := newFixture(t)
	reply, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, kinds(reply.Messages), qt.Equals, "C")
	qt.Assert(t, reply.TxStatus, qt.Equals, byte('I'))
	qt.Assert(t, reply.Position, qt.Equals, topology.Position{Term: 1, Offset: 1})
	qt.Assert(t, f.confirm.asked, qt.DeepEquals, []topology.Position{reply.Position})

	f.confirm.set(nil, result.New(result.UnconfirmedCommit, "no majority"))
	_, err = f.exec(f.query(Write, "INSERT b"))
	wantCode(t, err, result.UnconfirmedCommit)

	f.confirm.set(result.New(result.NoMajority, "cut off"), nil)
	_, err = f.exec(f.query(Write, "INSERT c"))
	wantCode(t, err, result.NoMajority)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["INSERT c"] }), qt.Equals, 0)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	reply, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.TxStatus, qt.Equals, byte('T'))
	for i, sql := range []string{"INSERT x", "COMMIT"} {
		next := f.query(Write, sql)
		next.Stream, next.Batch = begin.Stream, uint32(i+2)
		reply, err = f.exec(next)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, reply.Position.Offset, qt.Equals, uint64(1))
	after := f.query(Write, "INSERT y")
	after.Stream, after.Batch = begin.Stream, 4
	_, err = f.exec(after)
	wantCode(t, err, result.TransactionLost)
}

func TestReleaseRollsBack(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.m.Release(context.Background(), begin.Stream), qt.IsNil)
	eventually(t, "only the control connection is left", func() bool {
		return f.fake.get(func() int { return len(f.fake.conns) }) == 1
	})
}

func TestLargeAnswerComesInBoundedChunks(t *testing.T) {
	f := newFixture(t)
	const rows, size = 3000, 1000
	req := f.query(Read, fmt.Sprintf("ROWS %d %d", rows, size))
	reply, err := f.exec(req)
	total, chunks := 0, 1
	for {
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(reply.Messages) < chunkSize+2*size, qt.IsTrue)
		total += len(reply.Messages)
		if !reply.More {
			break
		}
		reply, err = f.m.Next(context.Background(), req.Stream)
		chunks++
	}
	qt.Assert(t, total > rows*size, qt.IsTrue)
	qt.Assert(t, chunks > 10, qt.IsTrue)
	qt.Assert(t, reply.Usage.Rows, qt.Equals, uint64(rows))
}

func TestReplicaRefusesAWriteAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.fake.set(func() { f.fake.role = target.Fenced })
	_, err := f.exec(f.query(Write, "INSERT a"))
	wantCode(t, err, result.NotPrimary)
	_, err = f.exec(f.query(Read, "INSERT b"))
	wantCode(t, err, result.ReadOnlyTarget)
}

func TestReadWaitsForNothingButItsFloor(t *testing.T) {
	f := newFixture(t)
	read := f.query(Read, "ROWS 1 1")
	read.Floor = topology.Position{Term: 1, Offset: 1}
	reply, err := f.exec(read)
	wantCode(t, err, result.BehindFloor)
	qt.Assert(t, reply.Hint.Primary, qt.Equals, topology.TargetID("t1"))
	f.fake.set(func() { f.fake.position.Offset = 1 })
	read = f.query(Read, "ROWS 1 1")
	read.Floor = topology.Position{Term: 1, Offset: 1}
	_, err = f.exec(read)
	qt.Assert(t, err, qt.IsNil)
}

func TestCopyIsRefusedAndItsConnectionClosed(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "COPY t FROM STDIN"))
	wantCode(t, err, result.UnsupportedFeature)
	_, err = f.exec(f.query(Write, "INSERT after"))
	qt.Assert(t, err, qt.IsNil)
}

func TestSlotKeepsWithinItsShareAndQueues(t *testing.T) {
	f := newFixture(t)
	const requests = 40
	errs := make(chan error, requests)
	for range requests {
		req := f.query(Read, "HOLD")
		req.Stream.Host = "self"
		go func() {
			_, err := f.exec(req)
			errs <- err
		}()
	}
	eventually(t, "the rest waits", func() bool {
		state := f.m.Dump().(State).Slots[0]
		return state.Queue+state.Streams == requests && state.Streams == slotShare(f.fake.topology())-1
	})
	close(f.fake.hold)
	for range requests {
		qt.Assert(t, <-errs, qt.IsNil)
	}
	qt.Assert(t, f.fake.get(func() int { return f.fake.most }) <= slotShare(f.fake.topology()), qt.IsTrue)
}

func TestFullTargetIsATrueNotRun(t *testing.T) {
	f := newFixture(t)
	f.fake.set(func() { f.fake.limit = 1 }) // the control connection
	reply, err := f.exec(f.query(Write, "INSERT a"))
	wantCode(t, err, result.TooManyConnections)
	qt.Assert(t, reply.Hint.Primary, qt.Equals, topology.TargetID("t1"))
	qt.Assert(t, err.(*result.Error).RetryAfter > 0, qt.IsTrue)
	f.fake.set(func() { f.fake.limit = 2 })
	eventually(t, "one connection serves", func() bool {
		_, err := f.exec(f.query(Write, "INSERT b"))
		return err == nil
	})
}

func TestDeadTargetIsATrueNotRun(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	f.fake.stop()
	_, err = f.exec(f.query(Write, "INSERT b"))
	wantCode(t, err, result.TargetDown)
}

func TestPreparedStatementsFollowTheBatch(t *testing.T) {
	f := newFixture(t)
	batch := func() *Request {
		req := f.request(Write, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		req.Statements = []Statement{{Name: "s1", SQL: "INSERT p"}}
		return req
	}
	for range 3 {
		reply, err := f.exec(batch())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, kinds(reply.Messages), qt.Equals, "2C")
	}
	qt.Assert(t, f.fake.get(func() int { return f.fake.parsed }), qt.Equals, 1)
}

// A target that lost its data since its last status, as one does whose log was
// cut back, has closed its connections. The old status vouches for no new one.
func TestStatusFromBeforeAConnectionVouchesForNothing(t *testing.T) {
	f := newFixture(t)
	floor := topology.Position{Term: 1, Offset: 10}
	f.fake.set(func() { f.fake.position.Offset = floor.Offset })
	read := f.query(Read, "ROWS 1 1")
	read.Floor = floor
	_, err := f.exec(read)
	qt.Assert(t, err, qt.IsNil)

	f.fake.set(func() {
		f.fake.position.Offset = 3
		for c := range f.fake.conns {
			if c != f.fake.locks[0] {
				_ = c.Close()
			}
		}
	})
	eventually(t, "the connection is closed", func() bool { return f.fake.get(func() int { return len(f.fake.conns) }) == 1 })
	read = f.query(Read, "ROWS 1 1")
	read.Floor = floor
	_, err = f.exec(read)
	wantCode(t, err, result.BehindFloor)
}

// As above, but the status that tells of the loss arrives after the read was
// first checked, while it waits for its connection.
func TestStatusThatArrivesBeforeTheConnectionCounts(t *testing.T) {
	f := newFixture(t)
	floor := topology.Position{Term: 1, Offset: 10}
	f.fake.set(func() { f.fake.position.Offset = floor.Offset })
	held := make([]*Request, slotShare(f.fake.topology())-1)
	for i := range held {
		held[i] = f.query(Write, "BEGIN")
		_, err := f.exec(held[i])
		qt.Assert(t, err, qt.IsNil)
	}
	answered := make(chan error, 1)
	go func() {
		read := f.query(Read, "ROWS 1 1")
		read.Floor = floor
		_, err := f.exec(read)
		answered <- err
	}()
	eventually(t, "the read waits", func() bool { return f.m.Dump().(State).Slots[0].Queue == 1 })
	f.fake.set(func() { f.fake.position.Offset = 3 })
	_, err := f.m.Status(context.Background(), "t1")
	qt.Assert(t, err, qt.IsNil)
	commit := f.query(Write, "COMMIT")
	commit.Stream, commit.Batch = held[0].Stream, 2
	_, err = f.exec(commit)
	qt.Assert(t, err, qt.IsNil)
	wantCode(t, <-answered, result.BehindFloor)
}

// What an identified session reads as a write is answered only once a majority
// knew, after the read, that its primary isn't replaced. A connection that knows
// its floor needs no such word.
func TestReadAsAWriteNeedsACurrentPrimary(t *testing.T) {
	f := newFixture(t)
	f.confirm.set(nil, result.New(result.NoMajority, "cut off"))
	identified := f.query(Write, "ROWS 1 1")
	identified.Session = "supervisor"
	_, err := f.exec(identified)
	wantCode(t, err, result.NotPrimary)
	unknown := f.query(Write, "ROWS 1 1")
	_, err = f.exec(unknown)
	wantCode(t, err, result.NotPrimary)
	f.fake.set(func() { f.fake.position.Offset = 1 })
	known := f.query(Write, "ROWS 1 1")
	known.Floor = topology.Position{Term: 1, Offset: 1}
	_, err = f.exec(known)
	qt.Assert(t, err, qt.IsNil)
}
