package failover

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// startMonitor runs a monitor for the fake directory's group until the test ends.
func startMonitor(t *testing.T, d *fakeDirectory, configure func(*Options)) *Monitor {
	opts := Options{
		Self:      "h0",
		Directory: d,
		Group:     d.group,
		Peers:     func(*topology.Group) []topology.HostID { return []topology.HostID{"h0"} },
		Log:       logr.Discard(),
	}
	if configure != nil {
		configure(&opts)
	}
	m := New(opts)
	m.Watch([]topology.GroupID{"g"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t)
	})
	return m
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(failoverBound)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func codeOf(err error) result.Code {
	if err == nil {
		return result.OK
	}
	return result.As(err, 0).Code
}

// Confirmations share status requests: the number of requests does not grow with
// the number of commits.
func TestStatusRequestsDoNotGrowWithCommits(t *testing.T) {
	const delay = 5 * time.Millisecond
	requestCounts := map[int]int64{}
	for _, commits := range []int{10, 1000} {
		d := newFakeDirectory(delay)
		m := New(Options{Directory: d, Group: d.group})
		started := time.Now()
		var wg sync.WaitGroup
		for range commits {
			pos := d.write(3 * time.Millisecond)
			wg.Go(func() {
				qt.Check(t, m.Confirm(context.Background(), "g", pos), qt.IsNil)
			})
		}
		wg.Wait()
		requestCounts[commits] = d.statusRequests.Load()
		perTarget := int64(time.Since(started)/delay) + 2
		qt.Check(t, d.peakInFlight.Load() <= 3*maxRequestsInFlight, qt.IsTrue)
		qt.Check(t, requestCounts[commits] <= 3*maxRequestsInFlight*perTarget, qt.IsTrue, qt.Commentf("%d", requestCounts[commits]))
	}
	t.Logf("status requests by number of commits: %v", requestCounts)
}

func TestConfirmWaitsForAMajority(t *testing.T) {
	d := newFakeDirectory(time.Millisecond)
	m := New(Options{Directory: d, Group: d.group})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	pos := d.write(time.Hour)
	qt.Assert(t, codeOf(m.Confirm(ctx, "g", pos)), qt.Equals, result.UnconfirmedCommit)
	d.replicate()
	qt.Assert(t, m.Confirm(context.Background(), "g", pos), qt.IsNil)
}

// Under both policies, the confirmation of a replaced primary's commit fails as
// soon as a majority is at a higher term.
func TestConfirmFailsWhenTheTermEnds(t *testing.T) {
	for _, policy := range []customer.AckMode{customer.AckMajority, customer.AckTerm} {
		d := newFakeDirectory(time.Millisecond)
		m := New(Options{Directory: d, Group: d.group, Policy: func(topology.GroupID) customer.AckMode { return policy }})
		pos := d.write(time.Hour)
		for _, id := range []topology.TargetID{"t1", "t2"} {
			_, err := d.Fence(context.Background(), id, 2)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, codeOf(m.Confirm(context.Background(), "g", pos)), qt.Equals, result.UnconfirmedCommit)
	}
}

func TestTermPolicyDoesNotWaitForReplication(t *testing.T) {
	d := newFakeDirectory(time.Millisecond)
	m := New(Options{Directory: d, Group: d.group, Policy: func(topology.GroupID) customer.AckMode { return customer.AckTerm }})
	qt.Assert(t, m.Confirm(context.Background(), "g", d.write(time.Hour)), qt.IsNil)
}

// Under the term policy, only answers to requests that were sent after the commit
// count. Under the majority policy, any answer that has the commit counts.
func TestAnswersRequestedBeforeTheCommitUnderEachPolicy(t *testing.T) {
	pos := topology.Position{Term: 1, Offset: 5}
	size := groupSize{targets: 3, majority: 2}
	for _, test := range []struct {
		policy     customer.AckMode
		coveredSeq uint64
		received   uint64
		want       bool
	}{
		{customer.AckTerm, 6, 5, false},
		{customer.AckTerm, 7, 4, true},
		{customer.AckMajority, 6, 5, true},
		{customer.AckMajority, 7, 4, false},
	} {
		w := &commitWaiter{seq: 7, pos: pos, policy: test.policy, latest: map[topology.TargetID]target.Status{}}
		finished := false
		for _, id := range []topology.TargetID{"t1", "t2"} {
			st := target.Status{Target: id, Term: 1, Received: topology.Position{Term: 1, Offset: test.received}}
			finished = w.addAnswer(statusAnswer{target: id, status: st, coveredSeq: test.coveredSeq}, size)
		}
		qt.Check(t, finished, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestRoundUsesRequestsSentAfterTheCall(t *testing.T) {
	d := newFakeDirectory(2 * time.Millisecond)
	m := New(Options{Directory: d, Group: d.group})
	for range 50 {
		pos := d.write(0)
		r, err := m.ReadQuorum(context.Background(), "g")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Primary, qt.Equals, topology.TargetID("t0"))
		qt.Assert(t, len(r.Statuses) >= 2, qt.IsTrue)
		for _, s := range r.Statuses {
			if s.Target == r.Primary {
				qt.Assert(t, s.Received.AtLeast(pos), qt.IsTrue)
			}
		}
	}
	d.mu.Lock()
	d.targets["t1"].down, d.targets["t2"].down = true, true
	d.mu.Unlock()
	_, err := m.ReadQuorum(context.Background(), "g")
	qt.Assert(t, codeOf(err), qt.Equals, result.NoMajority)
}

// After the primary is killed, another target becomes the primary. Writes are
// refused until then, and the change is published once the platform is available.
func TestMonitorReplacesAKilledPrimary(t *testing.T) {
	d := newFakeDirectory(time.Millisecond)
	platform := &fakePublisher{}
	m := startMonitor(t, d, func(o *Options) {
		o.Publisher = platform
	})
	waitFor(t, "the first statuses", func() bool {
		_, _, fromTarget := m.lookup("g").currentPrimary()
		return fromTarget && m.CanConfirm("g") == nil
	})
	d.mu.Lock()
	d.targets["t0"].down = true
	d.mu.Unlock()
	killed := time.Now()
	waitFor(t, "a new primary", func() bool {
		term, primary, ok := m.CurrentPrimary("g")
		return ok && term == 2 && primary != "t0" && m.CanConfirm("g") == nil
	})
	t.Logf("new primary after %v", time.Since(killed))
	qt.Assert(t, m.publisher.pending(), qt.HasLen, 1)
	platform.available.Store(true)
	waitFor(t, "the publication", func() bool { return platform.published.Load() != nil })
	qt.Assert(t, platform.published.Load().(primaryChange).Term, qt.Equals, uint64(2))

	d.mu.Lock()
	d.targets["t0"].restart()
	d.mu.Unlock()
	waitFor(t, "the old primary to follow", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.targets["t0"].term == 2 && d.targets["t0"].role == "replica"
	})
}

func TestWritesAreRefusedWithoutAMajority(t *testing.T) {
	d := newFakeDirectory(time.Millisecond)
	m := startMonitor(t, d, nil)
	waitFor(t, "the first statuses", func() bool { return m.CanConfirm("g") == nil })
	setDown := func(down bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.targets["t1"].down, d.targets["t2"].down = down, down
	}
	setDown(true)
	waitFor(t, "the refusal", func() bool { return codeOf(m.CanConfirm("g")) == result.NoMajority })
	qt.Assert(t, result.As(m.CanConfirm("g"), 0).RetryAfter > 0, qt.IsTrue)
	setDown(false)
	waitFor(t, "writes to be allowed again", func() bool { return m.CanConfirm("g") == nil })
	term, _, _ := m.CurrentPrimary("g")
	qt.Assert(t, term, qt.Equals, uint64(1))
}

// State returns a primary that was learned from elsewhere.
func TestStateReturnsTheLearnedPrimary(t *testing.T) {
	d := newFakeDirectory(time.Millisecond)
	m := New(Options{Directory: d, Group: d.group})
	m.LearnPrimary("g", 5, "t2")
	m.LearnPrimary("g", 4, "t1")
	term, primary, ok := m.CurrentPrimary("g")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, term, qt.Equals, uint64(5))
	qt.Assert(t, primary, qt.Equals, topology.TargetID("t2"))
}

// Another confirmation still asks the targets of the earlier list.
func TestAnswersOfTargetsThatLeftTheGroupDoNotConfirmCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory(time.Millisecond)
		for _, id := range []topology.TargetID{"t3", "t4"} {
			d.targets[id] = &simTarget{id: id, role: target.Replica, term: 1, primary: "t0", log: []uint64{1}}
		}
		list := fakeGroup
		m := New(Options{Directory: d, Group: func(topology.GroupID) (*topology.Group, bool) { return list, true }, Log: logr.Discard()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		d.write(time.Hour)
		commit := topology.Position{Term: 1, Offset: 2}
		d.targets["t1"].log = append(d.targets["t1"].log, 1)
		var wg sync.WaitGroup
		wg.Go(func() { _ = m.Confirm(ctx, "g", topology.Position{Term: 1, Offset: 3}) })
		synctest.Wait()
		changed := *fakeGroup
		changed.Targets = []topology.Target{fakeGroup.Targets[0], {ID: "t3", Group: "g"}, {ID: "t4", Group: "g"}}
		list = &changed
		qt.Check(t, codeOf(m.Confirm(ctx, "g", commit)), qt.Equals, result.UnconfirmedCommit, qt.Commentf("t3 and t4 haven't received it"))
		wg.Wait()
		time.Sleep(statusTimeout) // until the requests in progress end
	})
}
