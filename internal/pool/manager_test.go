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

func TestWriteIsConfirmedBeforeItsResponse(t *testing.T) {
	f := newFixture(t)
	reply, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, messageTypes(reply.Messages), qt.Equals, "C")
	qt.Assert(t, reply.TxStatus, qt.Equals, byte('I'))
	qt.Assert(t, reply.Position, qt.Equals, topology.Position{Term: 1, Offset: 1})
	qt.Assert(t, f.confirm.requested, qt.DeepEquals, []topology.Position{reply.Position})

	f.confirm.set(nil, result.New(result.UnconfirmedCommit, "no majority"))
	_, err = f.exec(f.query(Write, "INSERT b"))
	assertCode(t, err, result.UnconfirmedCommit)

	f.confirm.set(result.New(result.NoMajority, "cut off"), nil)
	_, err = f.exec(f.query(Write, "INSERT c"))
	assertCode(t, err, result.NoMajority)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.ran["INSERT c"] }), qt.Equals, 0)
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
	assertCode(t, err, result.TransactionLost)
}

func TestReleaseRollsBack(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.mgr.Release(context.Background(), begin.Stream), qt.IsNil)
	eventually(t, "only the control connection is left", func() bool {
		return f.fake.readInt(func() int { return len(f.fake.conns) }) == 1
	})
}

func TestLargeResponseArrivesInBoundedChunks(t *testing.T) {
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
		reply, err = f.mgr.Next(context.Background(), req.Stream)
		chunks++
	}
	qt.Assert(t, total > rows*size, qt.IsTrue)
	qt.Assert(t, chunks > 10, qt.IsTrue)
	qt.Assert(t, reply.Usage.Rows, qt.Equals, uint64(rows))
}

func TestReplicaRefusesAWriteAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.fake.withLock(func() { f.fake.role = target.Fenced })
	_, err := f.exec(f.query(Write, "INSERT a"))
	assertCode(t, err, result.NotPrimary)
	_, err = f.exec(f.query(Read, "INSERT b"))
	assertCode(t, err, result.ReadOnlyTarget)
}

func TestReadBelowItsFloorIsRefused(t *testing.T) {
	f := newFixture(t)
	read := f.query(Read, "ROWS 1 1")
	read.Floor = topology.Position{Term: 1, Offset: 1}
	reply, err := f.exec(read)
	assertCode(t, err, result.BehindFloor)
	qt.Assert(t, reply.Hint.Primary, qt.Equals, topology.TargetID("t1"))
	f.fake.withLock(func() { f.fake.position.Offset = 1 })
	read = f.query(Read, "ROWS 1 1")
	read.Floor = topology.Position{Term: 1, Offset: 1}
	_, err = f.exec(read)
	qt.Assert(t, err, qt.IsNil)
}

func TestCopyIsRefusedAndItsConnectionClosed(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "COPY t FROM STDIN"))
	assertCode(t, err, result.UnsupportedFeature)
	_, err = f.exec(f.query(Write, "INSERT after"))
	qt.Assert(t, err, qt.IsNil)
}

func TestSlotQueuesRequestsBeyondItsShare(t *testing.T) {
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
		state := f.mgr.Dump().(State).Slots[0]
		return state.Queue+state.Streams == requests && state.Streams == slotShare(f.fake.topology())-1
	})
	close(f.fake.unblock)
	for range requests {
		qt.Assert(t, <-errs, qt.IsNil)
	}
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.peakConns }) <= slotShare(f.fake.topology()), qt.IsTrue)
}

func TestFullTargetRefusesAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.fake.withLock(func() { f.fake.connLimit = 1 }) // only the control connection fits
	reply, err := f.exec(f.query(Write, "INSERT a"))
	assertCode(t, err, result.TooManyConnections)
	qt.Assert(t, reply.Hint.Primary, qt.Equals, topology.TargetID("t1"))
	qt.Assert(t, err.(*result.Error).RetryAfter > 0, qt.IsTrue)
	f.fake.withLock(func() { f.fake.connLimit = 2 })
	eventually(t, "the single data connection serves requests", func() bool {
		_, err := f.exec(f.query(Write, "INSERT b"))
		return err == nil
	})
}

func TestDeadTargetRefusesAsNotRun(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	f.fake.stop()
	_, err = f.exec(f.query(Write, "INSERT b"))
	assertCode(t, err, result.TargetDown)
}

func TestStatementsArePreparedOncePerConnection(t *testing.T) {
	f := newFixture(t)
	batch := func() *Request {
		req := f.request(Write, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		req.Statements = []Statement{{Name: "s1", SQL: "INSERT p"}}
		return req
	}
	for range 3 {
		reply, err := f.exec(batch())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, messageTypes(reply.Messages), qt.Equals, "2C")
	}
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.parsed }), qt.Equals, 1)
}

// A target that has lost data since its last status, for example because its
// log was truncated, has closed its connections. The old status says nothing
// about data read on a new connection.
func TestStatusOlderThanTheConnectionIsRefreshed(t *testing.T) {
	f := newFixture(t)
	floor := topology.Position{Term: 1, Offset: 10}
	f.fake.withLock(func() { f.fake.position.Offset = floor.Offset })
	read := f.query(Read, "ROWS 1 1")
	read.Floor = floor
	_, err := f.exec(read)
	qt.Assert(t, err, qt.IsNil)

	f.fake.withLock(func() {
		f.fake.position.Offset = 3
		for c := range f.fake.conns {
			if c != f.fake.locks[0] {
				_ = c.Close()
			}
		}
	})
	eventually(t, "the connection is closed", func() bool { return f.fake.readInt(func() int { return len(f.fake.conns) }) == 1 })
	read = f.query(Read, "ROWS 1 1")
	read.Floor = floor
	_, err = f.exec(read)
	assertCode(t, err, result.BehindFloor)
}

// As above, but the status that shows the loss arrives after the first check of
// the read, while the read waits for its connection.
func TestFloorIsCheckedAgainOnceConnected(t *testing.T) {
	f := newFixture(t)
	floor := topology.Position{Term: 1, Offset: 10}
	f.fake.withLock(func() { f.fake.position.Offset = floor.Offset })
	transactions := make([]*Request, slotShare(f.fake.topology())-1)
	for i := range transactions {
		transactions[i] = f.query(Write, "BEGIN")
		_, err := f.exec(transactions[i])
		qt.Assert(t, err, qt.IsNil)
	}
	answered := make(chan error, 1)
	go func() {
		read := f.query(Read, "ROWS 1 1")
		read.Floor = floor
		_, err := f.exec(read)
		answered <- err
	}()
	eventually(t, "the read waits", func() bool { return f.mgr.Dump().(State).Slots[0].Queue == 1 })
	f.fake.withLock(func() { f.fake.position.Offset = 3 })
	_, err := f.mgr.Status(context.Background(), "t1")
	qt.Assert(t, err, qt.IsNil)
	commit := f.query(Write, "COMMIT")
	commit.Stream, commit.Batch = transactions[0].Stream, 2
	_, err = f.exec(commit)
	qt.Assert(t, err, qt.IsNil)
	assertCode(t, <-answered, result.BehindFloor)
}

// Data that a request with a session ID reads in the Write class is returned
// only after a majority has confirmed, since the read, that the primary has not
// been replaced. A connection that knows its floor needs no such confirmation.
func TestReadInWriteClassNeedsACurrentPrimary(t *testing.T) {
	f := newFixture(t)
	f.confirm.set(nil, result.New(result.NoMajority, "cut off"))
	identified := f.query(Write, "ROWS 1 1")
	identified.Session = "supervisor"
	_, err := f.exec(identified)
	assertCode(t, err, result.NotPrimary)
	unknown := f.query(Write, "ROWS 1 1")
	_, err = f.exec(unknown)
	assertCode(t, err, result.NotPrimary)
	f.fake.withLock(func() { f.fake.position.Offset = 1 })
	known := f.query(Write, "ROWS 1 1")
	known.Floor = topology.Position{Term: 1, Offset: 1}
	_, err = f.exec(known)
	qt.Assert(t, err, qt.IsNil)
}
