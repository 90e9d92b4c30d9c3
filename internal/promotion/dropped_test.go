package promotion

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A silent target is dropped if others keep up with the leader, and counts again once it does, too.
func TestSilentTargetIsDroppedWhileOthersKeepUp(t *testing.T) {
	sound := func(id topology.TargetID) replicaState { return replicaState{id: id, counts: true, stays: true} }
	silent := replicaState{id: "b", counts: true, silentFor: dropAfter, caughtUpFor: time.Hour}
	change := func(s replicaState, change func(*replicaState)) replicaState { change(&s); return s }
	returned := change(sound("b"), func(s *replicaState) { s.dropped = true })
	for name, test := range map[string]struct {
		other   replicaState
		b       replicaState
		acks    int
		dropped bool
	}{
		"sound":                      {sound("a"), sound("b"), 1, false},
		"silent":                     {sound("a"), silent, 1, true},
		"silent for less":            {sound("a"), change(silent, func(s *replicaState) { s.silentFor-- }), 1, false},
		"the other one is silent":    {change(silent, func(s *replicaState) { s.id = "a" }), silent, 1, false},
		"the other one leaves":       {change(sound("a"), func(s *replicaState) { s.stays = false }), silent, 1, false},
		"the other one lags":         {change(sound("a"), func(s *replicaState) { s.caughtUpFor = caughtUpMaxAge }), silent, 1, false},
		"two acknowledge":            {sound("a"), silent, 2, false},
		"proved to have ended":       {sound("a"), change(silent, func(s *replicaState) { s.counts = false }), 1, false},
		"dropped and ended":          {sound("a"), change(returned, func(s *replicaState) { s.counts = false }), 1, false},
		"dropped and has returned":   {sound("a"), returned, 1, false},
		"dropped and lags":           {sound("a"), change(returned, func(s *replicaState) { s.caughtUpFor = caughtUpMaxAge }), 1, true},
		"dropped and isn't listed":   {sound("a"), change(returned, func(s *replicaState) { s.stays = false }), 1, true},
		"dropped, the other is lost": {change(silent, func(s *replicaState) { s.id = "a" }), change(silent, func(s *replicaState) { s.dropped = true }), 1, true},
	} {
		got := nextDropped([]replicaState{test.b, test.other}, test.acks)
		want := [confirm.MaxDropped]topology.TargetID{}
		if test.dropped {
			want[0] = "b"
		}
		qt.Check(t, got, qt.Equals, want, qt.Commentf(name))
	}
}

// A target that was dropped decides no promotion, whatever becomes of it.
func TestDroppedTargetDecidesNoPromotion(t *testing.T) {
	lost := replica("b", pos(1, 9), 0)
	lost.LostLog = true
	for name, dropped := range map[string]Member{
		"silent": {ID: "b", Reach: Unresponsive, Unregistered: true}, "refuses": {ID: "b", Reach: Dead}, "lost its log": lost,
		"has more, not proved":  {ID: "b", Reach: Answered, Status: replica("b", pos(1, 9), 2).Status},
		"its log is not proved": {ID: "b", Reach: Answered, Status: replica("b", pos(1, 5), 2).Status},
	} {
		v := unknownFloor(dropped)
		_, waits := NextStep(v).(Wait)
		qt.Check(t, waits, qt.IsTrue, qt.Commentf(name))
		v.Sealing.Dropped = []topology.TargetID{"b"}
		want := Step(Promote{Target: "a"})
		if dropped.Status.Received == pos(1, 9) { // it has more, and may be promoted
			want = Promote{Target: "b"}
		}
		qt.Check(t, NextStep(v), qt.DeepEquals, want, qt.Commentf(name))
	}
	v := unknownFloor(Member{ID: "b", Reach: Unresponsive})
	v.Sealing.Dropped = []topology.TargetID{"a"}
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("the others count"))
}

// A receipt is proved by replicas that the store lists and that weren't dropped, not by the leader.
func TestReceiptIsProvedByReplicasThatCount(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	members := []duty.Member{{ID: "p", Addr: "p", Leads: true}, {ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c", Covered: true}}
	acks := 1
	r := NewReceipts(ReceiptOptions{
		Dialer: g, Parse: parseTestStatus, Members: func(topology.GroupID) []duty.Member { return members }, AckReplicas: func(topology.GroupID) int { return acks },
	})
	epoch := uint64(0)
	received := func(p topology.Position, dropped ...topology.TargetID) bool {
		epoch++
		e := &confirm.Electorate{Epoch: epoch}
		copy(e.Dropped[:], dropped)
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		defer cancel()
		return r.Received(ctx, "g", e, p)
	}
	g.with(func(targets map[topology.TargetID]*testTarget) {
		targets["p"].received, targets["a"].received = pos(1, 9), pos(1, 8)
	})
	qt.Check(t, received(pos(1, 8)), qt.IsTrue)
	qt.Check(t, received(pos(1, 9)), qt.IsFalse, qt.Commentf("only the leader has it"))
	qt.Check(t, received(pos(1, 8), "a"), qt.IsFalse, qt.Commentf("the replica that has it is dropped"))
	qt.Check(t, received(pos(1, 7), "a"), qt.IsTrue)
	acks = 2
	qt.Check(t, received(pos(1, 8)), qt.IsFalse, qt.Commentf("two have to have it"))
	qt.Check(t, received(pos(1, 7)), qt.IsTrue)
	acks = 1
	members[0].Leads = false // the record is old
	qt.Check(t, received(pos(1, 9)), qt.IsFalse, qt.Commentf("the leader says that it leads"))
	members[1].Covered = true
	qt.Check(t, received(pos(1, 8)), qt.IsFalse, qt.Commentf("the replica that has it counts no more"))
	members = members[:1]
	qt.Check(t, received(pos(1, 7)), qt.IsFalse, qt.Commentf("the store lists no replica"))
}

// countingDialer counts dials and exchanges.
type countingDialer struct {
	*testGroup
	refuses          bool
	dials, exchanges atomic.Int64
}

func (d *countingDialer) Dial(ctx context.Context, t topology.Target, c topology.CustomerID) (statement.Conn, error) {
	d.dials.Add(1)
	if d.refuses {
		return nil, &statement.DialError{Outcome: statement.DialRefused, Cause: context.Canceled}
	}
	conn, err := d.testGroup.Dial(ctx, t, c)
	return &countingConn{conn, d}, err
}

type countingConn struct {
	statement.Conn
	dialer *countingDialer
}

func (c *countingConn) Exchange(deadline time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.dialer.exchanges.Add(1)
	return c.Conn.Exchange(deadline, batch...)
}

// A commit that isn't received takes a replica's work slots, or dials it, at intervals only. What was told
// in an epoch proves nothing in the next one: the replica may have started again since.
func TestReceiptsAreAskedForAtIntervals(t *testing.T) {
	const wait = 150 * time.Millisecond
	ask := func(d *countingDialer, r *Receipts, epoch uint64, p topology.Position) bool {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		return r.Received(ctx, "g", &confirm.Electorate{Epoch: epoch}, p)
	}
	for _, refuses := range []bool{false, true} {
		d := &countingDialer{testGroup: newTestGroup("p", "a"), refuses: refuses}
		r := NewReceipts(ReceiptOptions{
			Dialer: d, Parse: parseTestStatus, AckReplicas: func(topology.GroupID) int { return 1 },
			Members: func(topology.GroupID) []duty.Member { return []duty.Member{{ID: "a", Addr: "a"}} },
		})
		qt.Check(t, ask(d, r, 1, pos(1, 8)), qt.IsFalse)
		qt.Check(t, d.exchanges.Load() <= int64(wait/receiptInterval)+1, qt.IsTrue, qt.Commentf("%d", d.exchanges.Load()))
		qt.Check(t, d.dials.Load() <= int64(wait/receiptRetryInterval)+1, qt.IsTrue, qt.Commentf("%d", d.dials.Load()))
		if !refuses {
			qt.Check(t, ask(d, r, 1, pos(1, 7)), qt.IsTrue)
			d.with(func(targets map[topology.TargetID]*testTarget) { targets["a"].received = pos(1, 0) })
			qt.Check(t, ask(d, r, 2, pos(1, 7)), qt.IsFalse, qt.Commentf("another epoch"))
		}
	}
}

// Guards against this failure: a silent replica that still counted delayed each proof by its timeout.
func TestSilentReplicaDelaysNoReceipt(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["b"].down = true })
	r := NewReceipts(ReceiptOptions{
		Dialer: g, Parse: parseTestStatus, AckReplicas: func(topology.GroupID) int { return 1 },
		Members: func(topology.GroupID) []duty.Member { return []duty.Member{{ID: "b", Addr: "b"}, {ID: "a", Addr: "a"}} },
	})
	ctx, cancel := context.WithTimeout(context.Background(), probeDialTimeout/2)
	defer cancel()
	qt.Check(t, r.Received(ctx, "g", &confirm.Electorate{Epoch: 1}, pos(1, 7)), qt.IsTrue)
}
