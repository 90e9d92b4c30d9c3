package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// newCrossingFixture returns a fixture of a host in domain "a" with the replica, while
// the leader is in domain "b".
func newCrossingFixture(t *testing.T, freshness catalog.Freshness, prices locality.Prices) *fixture {
	t.Helper()
	f := newFixtureWith(t, freshness, func(o *group.Options) { o.Domain = "a" })
	member := func(id topology.TargetID, domain topology.Domain) catalog.Member {
		return catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id), Domain: domain}}
	}
	f.group.SetMembers([]catalog.Member{member("p", "b"), member("r", "a")}, func(topology.Target) int { return 2 })
	f.server.opts.Locality = locality.NewRouter(prices, "a", logr.Discard())
	// An anchor lets replicas serve reads of a stated age.
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	return f
}

// costlyBytes makes crossings dearer than any wait, and costlyWaits makes them free.
var (
	costlyBytes = locality.Prices{Gigabyte: 1e9, Second: 1}
	costlyWaits = locality.Prices{Second: 1}
)

// pool returns the connections to a target.
func (f *fixture) pool(t *testing.T, id topology.TargetID) *share.Pool {
	t.Helper()
	for _, c := range f.group.Readers(topology.Position{}) {
		if c.ID == id {
			return c.Pool
		}
	}
	t.Fatalf("target %s has no pool", id)
	return nil
}

// takeAll takes both connections of a pool and returns functions that return one each.
func takeAll(t *testing.T, pool *share.Pool) []func() {
	t.Helper()
	var back []func()
	for deadline := time.Now().Add(5 * time.Second); len(back) < 2; {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		if conn := pool.TryAcquire(""); conn != nil {
			back = append(back, func() { pool.Release(conn, true) })
		}
	}
	return back
}

// A read must not cross domains because its domain's connections are busy for a
// moment: without prices, it takes any free connection elsewhere.
func TestReadWaitsInItsDomainIfBytesCostMore(t *testing.T) {
	f := newCrossingFixture(t, catalog.BoundedAge, costlyBytes)
	back := takeAll(t, f.pool(t, "r"))
	time.AfterFunc(20*time.Millisecond, back[0])
	before := len(f.leader.receivedTexts())
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, before)
	back[1]()
	takeAll(t, f.pool(t, "r"))
	f.server.opts.Locality = nil
	qt.Check(t, f.serveStatement(read("b")).OK(), qt.IsTrue)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, before+1)
}

// Callers that wait in their domain are served elsewhere once that costs less, also if
// nothing was measured there before.
func TestReadsLeaveAnOverloadedDomain(t *testing.T) {
	f := newCrossingFixture(t, catalog.BoundedAge, costlyWaits)
	f.replica.answer = func(statement.Statement) (statement.Answer, error) {
		time.Sleep(60 * time.Millisecond)
		return statement.Answer{Signature: "sig"}, nil
	}
	before := len(f.leader.receivedTexts())
	for deadline := time.Now().Add(10 * time.Second); f.server.opts.Locality.Share("g", locality.Reads) < 0.5; {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	}
	qt.Check(t, len(f.leader.receivedTexts()) > before+5, qt.IsTrue)
	// A statement that came from another domain isn't sent out again.
	f.foreign = true
	before = len(f.leader.receivedTexts())
	for range 5 {
		qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	}
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, before)
}

// A domain without a target sends all of its reads to others.
func TestReadsLeaveADomainWithoutTarget(t *testing.T) {
	f := newCrossingFixture(t, catalog.BoundedAge, costlyBytes)
	member := catalog.Member{Target: topology.Target{ID: "p", Group: "g", Addr: "p", Domain: "b"}}
	f.group.SetMembers([]catalog.Member{member}, func(topology.Target) int { return 2 })
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
}

// recordingPeers records which hosts are asked.
type recordingPeers struct {
	offers []placement.Offer
	answer func(topology.HostID) statement.Answer
	asked  []topology.HostID
	args   []RunArgs
}

func (p *recordingPeers) Offers(topology.GroupID) []placement.Offer { return p.offers }
func (p *recordingPeers) Call(_ context.Context, host topology.HostID, _ string, args, reply any) error {
	p.asked, p.args = append(p.asked, host), append(p.args, *args.(*RunArgs))
	reply.(*RunReply).Answer = p.answer(host)
	return nil
}

func offerIn(domain topology.Domain, host topology.HostID, idle int) placement.Offer {
	return placement.Offer{Host: host, Domain: domain, SameDomain: domain == "a", Leads: true, Load: placement.Load{Idle: idle, LeaderIdle: idle}, RequestedAt: steady.Now()}
}

// busy returns the answer of a host whose connections are all in use.
func busy(topology.HostID) statement.Answer { return statement.Answer{Code: statement.Busy} }

// A read is forwarded to a holder of its own domain, and waits there, as long as bytes
// cost more than its wait: without prices, a free holder elsewhere is asked first. Only if
// the domain refuses it, another one is asked.
func TestReadIsForwardedWithinTheDomain(t *testing.T) {
	for _, priced := range []bool{true, false} {
		f := newCrossingFixture(t, catalog.BoundedAge, costlyBytes)
		noConnections(f)
		if !priced {
			f.server.opts.Locality = nil
		}
		peers := &recordingPeers{answer: busy, offers: []placement.Offer{offerIn("a", "near-busy", 0), offerIn("b", "far-free", 3)}}
		f.server.opts.Peers = peers
		f.serveStatement(read("a"))
		qt.Assert(t, len(peers.asked) > 0, qt.IsTrue)
		if !priced {
			qt.Check(t, peers.asked[0], qt.Equals, topology.HostID("far-free"))
			qt.Check(t, peers.args[0].FromDomain, qt.Equals, topology.Domain(""))
			continue
		}
		qt.Check(t, peers.asked, qt.DeepEquals, []topology.HostID{"near-busy", "far-free"})
		qt.Check(t, peers.args[0].FromDomain, qt.Equals, topology.Domain("a"))
		qt.Check(t, peers.args[0].MustLeave, qt.IsFalse)
		qt.Check(t, peers.args[0].AtOnce, qt.IsFalse) // the last one that its cost allows
	}
}

// Of three holders that the cost allows, only the last one asked queues the statement. The
// second one did, although the third one might have had a free connection.
func TestOnlyTheLastHolderAskedQueues(t *testing.T) {
	for _, priced := range []bool{true, false} {
		f := newCrossingFixture(t, catalog.BoundedAge, costlyBytes)
		noConnections(f)
		if !priced {
			f.server.opts.Locality = nil
		}
		peers := &recordingPeers{answer: busy, offers: []placement.Offer{offerIn("a", "b", 3), offerIn("a", "c", 3), offerIn("a", "d", 3)}}
		f.server.opts.Peers = peers
		f.serveStatement(read("a"))
		qt.Assert(t, peers.asked, qt.HasLen, 3)
		for i, want := range []bool{true, true, false} {
			qt.Check(t, peers.args[i].AtOnce, qt.Equals, want, qt.Commentf("priced %v, host %d", priced, i))
		}
	}
}

// A transaction whose first statement gets no answer is recorded with the time that it
// took, and not as served. A host that couldn't be reached was recorded as if it had kept the
// caller waiting until the timeout, and a lost answer as a fast one.
func TestTransactionStartWithoutAnswerIsRecordedAsSuch(t *testing.T) {
	figures := func(peers Peers) locality.Dump {
		f := newCrossingFixture(t, catalog.BoundedAge, costlyBytes)
		noConnections(f)
		f.server.opts.Peers = peers
		start := func() {
			f.serveStatement(statement.Statement{Kind: statement.BeginReadOnly})
			f.serveStatement(read("a"))
			f.serveStatement(statement.Statement{Kind: statement.Rollback})
		}
		for range 20 { // enough to know the time of a statement without a shortage
			start()
		}
		time.Sleep(locality.UpdateInterval)
		start()
		for _, d := range f.server.opts.Locality.Dump() {
			if d.Kind == locality.Forwards.String() {
				return d
			}
		}
		t.Fatal("nothing was recorded")
		return locality.Dump{}
	}
	offers := []placement.Offer{offerIn("b", "far", 3)}
	for i := range 100 { // a host that didn't answer isn't asked again for a while
		offers = append(offers, offerIn("a", topology.HostID(fmt.Sprint("near-", i)), 3))
	}
	served := figures(&stubPeers{offers: offers, answer: statement.Answer{Signature: "sig", State: statement.Failed}})
	lost := figures(&stubPeers{offers: offers, err: errors.New("the connection broke")})
	unreachable := figures(&stubPeers{offers: offers, err: result.New(result.HostUnreachable, "b")})
	t.Logf("served %+v, lost %+v, unreachable %+v", served, lost, unreachable)
	// Without answers, the time elsewhere is an assumption that doesn't follow the domain's.
	qt.Check(t, lost.AwayMS > served.AwayMS+1, qt.IsTrue)
	qt.Check(t, unreachable.HomeMS < 500, qt.IsTrue)
}

// The wait at a holder follows from the connections that share.Plan and PlanForCustomers
// give it. With customers it was overestimated, as if holders had 3 connections.
func TestExpectedWaitFollowsTheHolderSize(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	waiting := func() float64 {
		return forwardPlaces([]placement.Offer{offerIn("a", "b", -5)}, nil, false, f.server.typicalHolderConns()).Waiting
	}
	_, size := share.Plan(40, 1000)
	qt.Check(t, waiting(), qt.Equals, 6/float64(size))
	f.withCustomers("k1", acme)
	_, size = share.PlanForCustomers(64, 1000)
	qt.Check(t, waiting(), qt.Equals, 6/float64(size))
}

// noConnections leaves a host that knows the targets but has no connections to them.
func noConnections(f *fixture) {
	f.group.SetMembers([]catalog.Member{
		{Target: topology.Target{ID: "p", Group: "g", Addr: "p", Domain: "b"}}, {Target: topology.Target{ID: "r", Group: "g", Addr: "r", Domain: "a"}},
	}, func(topology.Target) int { return 0 })
	for len(f.group.Readers(topology.Position{})) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A write for a leader in another domain crosses once, through a holder here or there.
// Through a holder in a third domain it would cross twice.
func TestWriteIsNotForwardedThroughAThirdDomain(t *testing.T) {
	f := newCrossingFixture(t, catalog.LatestData, costlyWaits)
	noConnections(f)
	peers := &recordingPeers{answer: busy, offers: []placement.Offer{offerIn("c", "third", 3), offerIn("b", "leader", 3), offerIn("d", "fourth", 3)}}
	f.server.opts.Peers = peers
	f.serveStatement(write("a"))
	qt.Assert(t, len(peers.asked) > 0, qt.IsTrue)
	qt.Check(t, peers.asked[0], qt.Equals, topology.HostID("leader"))
	qt.Check(t, peers.args[0].MustLeave, qt.IsTrue)
}

// While callers of its own domain wait, a host refuses reads of others, as not run.
func TestForeignReadIsRefusedWhileOwnCallersWait(t *testing.T) {
	f := newCrossingFixture(t, catalog.BoundedAge, costlyBytes)
	takeAll(t, f.pool(t, "r"))
	takeAll(t, f.pool(t, "p"))
	waiting := f.pool(t, "r")
	go func() { _, _ = waiting.Acquire("", time.Now().Add(time.Second), time.Second, 0) }()
	eventually(t, "a caller waits", func() bool { return waiting.Load().Waiting > 0 })
	args := RunArgs{Configuration: 1, Database: "db", Statement: read("a"), Within: 50 * time.Millisecond, AtOnce: true, FromDomain: "b"}
	var reply RunReply
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.Detail, qt.Equals, foreignRefusedDetail)
	qt.Check(t, reply.Answer.Code.NotRun(), qt.IsTrue)
	// Hosts of the own domain and hosts of earlier versions are treated as before.
	for _, from := range []topology.Domain{"a", ""} {
		args.FromDomain = from
		qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
		qt.Check(t, reply.Answer.Detail, qt.Not(qt.Equals), foreignRefusedDetail)
	}
}

// The bytes of a crossing are measured from what is sent. The test compares them to
// the bytes of an encoder that carries the same calls.
func TestForwardedBytesAreMeasured(t *testing.T) {
	var m wireMeter
	var sent bytes.Buffer
	connection := gob.NewEncoder(&sent)
	measured := 0
	for i := range 400 {
		args := &RunArgs{Configuration: 7, Database: "db", Statement: read(fmt.Sprintf("item-%d", i)), Within: time.Second, FromDomain: "a"}
		for range i % 4 {
			args.Settings = append(args.Settings, Setting{Text: "SET timezone UTC", Sequence: i})
		}
		answer := &statement.Answer{Signature: "t1", Rows: []string{fmt.Sprintf("%0*d", i, i)}}
		if i == 1 { // the first call on a connection describes the types
			sent.Reset()
			measured = 0
		}
		measured += m.measure(args, answer)
		for _, v := range []any{&rpc.Request{ServiceMethod: runMethod, Seq: uint64(i)}, args, &rpc.Response{ServiceMethod: runMethod, Seq: uint64(i)}, &RunReply{Answer: *answer}} {
			qt.Assert(t, connection.Encode(v), qt.IsNil)
		}
	}
	t.Logf("measured %d of %d bytes", measured, sent.Len())
	qt.Check(t, measured > sent.Len()*95/100 && measured < sent.Len()*105/100, qt.IsTrue)
}

// meteredConn is a connection whose exchanges all have the same number of bytes.
type meteredConn struct {
	statement.Conn
	bytes int
}

func (c meteredConn) ExchangedBytes() int { return c.bytes }

// The session state that a statement needs crosses with it, in an exchange of its own.
func TestBytesOfSessionStateCountWithTheStatement(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.Locality = locality.NewRouter(costlyBytes, "a", logr.Discard())
	st := read("a")
	r, refused := f.newRequest(&st, false, "")
	qt.Assert(t, refused, qt.IsNil)
	r.recordStateExchange(&share.Conn{Conn: meteredConn{bytes: 70}})
	r.recordExchange("r", false, &share.Conn{Conn: meteredConn{bytes: 100}})
	qt.Check(t, f.server.opts.Locality.Dump()[0].Bytes, qt.Equals, 170.0)
	qt.Check(t, r.stateBytes, qt.Equals, 0)
}

// A read that the domain's target can't serve, as it lacks the session's last commit,
// runs elsewhere whatever that costs. It was refused at first.
func TestReadLeavesIfTheDomainLacksThePosition(t *testing.T) {
	f := newCrossingFixture(t, catalog.OwnWrites, costlyBytes)
	f.replica.mu.Lock()
	f.replica.logEnd = topology.Position{Term: 1, Offset: 3}
	f.replica.mu.Unlock()
	for range 3 {
		a := f.serveStatement(read("a"))
		qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
	}
}
