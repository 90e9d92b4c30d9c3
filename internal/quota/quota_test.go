package quota

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// A host that wakes after a freeze must not spend the tokens that it held before.
func TestTokensExpire(t *testing.T) {
	w := NewWallet(0)
	w.SetLimit(Limit{Rate: 100}, 1, at(0))
	w.Add("s", Grant{Tokens: 2, Keep: 2}, Limit{Rate: 100}, 1, at(0), at(time.Millisecond))
	qt.Check(t, w.Admit(at(time.Second)), qt.Equals, Admitted)
	qt.Check(t, w.Admit(at(TokenLifetime)), qt.Equals, Wait)
}

// An answer that a frozen host reads late is discarded: its tokens count as spent when
// they were sold.
func TestLateAnswerIsDiscarded(t *testing.T) {
	w := NewWallet(0)
	w.Add("s", Grant{Tokens: 2, Keep: 2}, Limit{Rate: 100}, 1, at(0), at(maxAnswerTime))
	qt.Check(t, w.Spend(at(maxAnswerTime)), qt.IsFalse)
}

// Tokens bought under a limit that was lowered since aren't spent.
func TestTokensOfAHigherLimitAreDiscarded(t *testing.T) {
	w := NewWallet(0)
	w.SetLimit(Limit{Rate: 100}, 1, at(0))
	w.Add("s", Grant{Tokens: 9, Keep: 9}, Limit{Rate: 100}, 1, at(0), at(1))
	w.SetLimit(Limit{Rate: 1}, 2, at(2))
	qt.Check(t, w.Spend(at(3)), qt.IsFalse)
	w.Add("s", Grant{Tokens: 9, Keep: 9}, Limit{Rate: 100}, 1, at(4), at(5))
	qt.Check(t, w.Spend(at(6)), qt.IsFalse, qt.Commentf("a seller with the older configuration"))
}

// Tokens of operations that gave up waiting aren't kept: the seller counts them as spent.
func TestTokensOfOperationsThatGaveUpAreDiscarded(t *testing.T) {
	w := NewWallet(0)
	w.Add("s", Grant{Tokens: 5, Keep: 1}, Limit{Rate: 100}, 1, at(0), at(1))
	w.Trim()
	qt.Check(t, w.Spend(at(2)), qt.IsTrue)
	qt.Check(t, w.Spend(at(3)), qt.IsFalse)
}

// The tokens of a ledger and those unspent at hosts are at most the depth. Without the
// sum, hosts that hold tokens spend them beside a full burst.
func TestUnspentTokensReduceTheBurst(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 100}
	g := NewLedger(testBounds, limit, 1, 1, at(0))
	depth := int(testBounds.depth(limit))
	sold := 0
	for i := range 10 { // hosts that hold what they bought
		sold += g.Buy(topology.HostID(rune('a'+i)), Request{Seq: 1, Demand: 50}, at(20*time.Second)).Tokens
	}
	qt.Check(t, sold > 20, qt.IsTrue)
	qt.Check(t, g.Buy("z", Request{Seq: 1, Need: 1000}, at(20*time.Second+1900*time.Millisecond)).Tokens <= depth-sold, qt.IsTrue)
}

// A request that was overtaken by a later one gets nothing: the host no longer waits for
// it, and what it says about held tokens is outdated.
func TestOvertakenRequestGetsNothing(t *testing.T) {
	g := NewLedger(testBounds, Limit{Rate: 10, Burst: 10}, 1, 1, at(0))
	qt.Check(t, g.Buy("a", Request{Seq: 2, Need: 1}, at(0)).Tokens, qt.Equals, 1)
	qt.Check(t, g.Buy("a", Request{Seq: 1, Need: 1}, at(1)).Tokens, qt.Equals, 0)
}

// A host that restarted numbers its requests anew. Its clock may have been set back, but
// the ledger forgets hosts that don't ask.
func TestRestartedHostIsSoldTokens(t *testing.T) {
	g := NewLedger(testBounds, Limit{Rate: 10, Burst: 10}, 1, 1, at(0))
	qt.Check(t, g.Buy("a", Request{Seq: 9, Need: 1}, at(0)).Tokens, qt.Equals, 1)
	qt.Check(t, g.Buy("a", Request{Seq: 1, Need: 1}, at(activePeriod+sweepInterval)).Tokens, qt.Equals, 1)
}

// A new seller begins without a burst, since the one before may have sold it.
func TestNewLedgerBeginsWithoutABurst(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	g := NewLedger(testBounds, limit, 1, 1, at(0))
	n := g.Buy("a", Request{Seq: 1, Need: 2000}, at(0)).Tokens
	qt.Check(t, float64(n) <= testBounds.start(limit), qt.IsTrue, qt.Commentf("%d", n))
	full := NewLedger(testBounds, limit, 1, 1, at(0))
	full.Restart(at(time.Minute))
	n = full.Buy("a", Request{Seq: 1, Need: 2000}, at(time.Minute)).Tokens
	qt.Check(t, float64(n) <= testBounds.start(limit), qt.IsTrue, qt.Commentf("%d after another host sold", n))
	paused := NewLedger(testBounds, limit, 1, 1, at(0))
	paused.HandOver(at(0))
	n = paused.Buy("a", Request{Seq: 1, Need: 2000}, at(time.Minute)).Tokens
	qt.Check(t, n, qt.Equals, 0, qt.Commentf("another host sold in the meantime"))
}

// The token of an operation that certainly didn't run is sold again.
func TestCreditIsSoldAgain(t *testing.T) {
	limit := Limit{Rate: 0.1, Burst: 1}
	g := NewLedger(testBounds, limit, 1, 1, at(0))
	n := g.Buy("a", Request{Seq: 1, Need: 100}, at(0)).Tokens
	qt.Check(t, g.Buy("a", Request{Seq: 2, Need: n, Credit: n}, at(1)).Tokens, qt.Equals, n)
}

// A host that lost contact sells with fewer votes at once, and with more only after
// reachRaiseDelay, since others may still sell with them.
func TestVotesRiseLate(t *testing.T) {
	var v votes
	part := 1.0
	reach := func() gossip.Reach {
		return gossip.Reach{Domains: map[topology.Domain]float64{"a": part / 2, "b": part / 2}, Own: "a", Self: 0.1}
	}
	share := func(d time.Duration) float64 {
		v.update(reach, at(d))
		return v.of(coordinator, nil, at(d))
	}
	qt.Check(t, share(0), qt.Equals, 1.0)
	part = 0.5
	qt.Check(t, share(reachMaxAge), qt.Equals, 0.5)
	part = 1
	qt.Check(t, share(2*reachMaxAge), qt.Equals, 0.5)
	qt.Check(t, share(2*reachMaxAge+reachRaiseDelay/2), qt.Equals, 0.5)
	qt.Check(t, share(2*reachMaxAge+reachRaiseDelay), qt.Equals, 1.0)
	ceded := map[topology.HostID]cession{"x": {domain: "b", votes: 0.5, until: at(time.Hour)}}
	qt.Check(t, v.of(coordinator, ceded, at(2*time.Second)), qt.Equals, 0.5, qt.Commentf("a deputy of b sells with its votes"))
}

// While a host is cut off alone, all hosts together keep to the limit, and it sells to
// itself only with its own part. Without that part it would admit everything.
func TestHostAloneKeepsToItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 300, Burst: 30}
		s := newSim(5, 30, 3, 1, limit)
		s.demand = func(host int, _ time.Duration) float64 { return 100 }
		s.run(5, 16*time.Second, map[time.Duration]func(){6 * time.Second: func() {
			for i, h := range s.hosts { // one that sells to no other host
				sellers := chooseSellers(fleet.NewIndex(h.list), s.customers[0], domainName(h.domain))
				if h.id != sellers.coordinator && !slices.Contains(sellers.deputies, h.id) {
					s.isolated[i] = true
					return
				}
			}
		}})
		s.checkWindows(t, limit)
	})
}

// The coordinator dies: deputies take over at once, and the usual demand is served. Without
// them nothing is until all hosts have noticed.
func TestCoordinatorDies(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			limit := Limit{Rate: 16, Burst: 16} // less than a host alone may admit
			s := newSim(5, 30, 3, 1, limit)
			s.demand = evenly(s, limit.Rate/1.6)
			s.run(5, 20*time.Second, map[time.Duration]func(){6 * time.Second: func() {
				list := s.hosts[0].list
				h := s.hosts[s.coordinatorIndex(list)]
				h.dead, h.silent = true, silent
			}})
			s.checkWindows(t, limit)
			part := float64(s.admitted) / float64(s.offered)
			qt.Check(t, part > 0.98, qt.IsTrue, qt.Commentf("%.4f admitted", part))
		})
	}
}

// All hosts that hold tokens freeze, while others use the whole limit. When they wake,
// their tokens have expired.
func TestFreezeWithTokensHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 300, Burst: 300}
		s := newSim(5, 30, 3, 1, limit)
		s.demand = func(host int, at time.Duration) float64 {
			if host < 12 && at > 6*time.Second && at < 9*time.Second {
				return 0
			}
			return 40
		}
		s.run(5, 20*time.Second, map[time.Duration]func(){6 * time.Second: func() {
			for _, h := range s.hosts[:12] {
				h.thawAt = time.Now().Add(3 * time.Second)
			}
		}})
		s.checkWindows(t, limit)
	})
}

// A host whose list doesn't show yet that another one is the customer's coordinator passes
// requests on to it, once told to stop. Otherwise both sell with the same votes.
func TestStoppedHostPassesRequestsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 10, Burst: 10}
		s := newSim(1, 4, 2, 1, limit)
		id := s.customers[0]
		a := s.hosts[s.coordinatorIndex(s.hosts[0].list)]
		x := s.hosts[(a.index+1)%4]
		x.list, x.version = []topology.Host{{ID: x.id, Domain: domainName(x.domain), State: topology.HostLive}}, x.version+1
		buy := func() topology.HostID {
			var reply BuyReply
			args := BuyArgs{From: "h3", Domain: domainName(x.domain), Customer: id, Request: Request{Need: 1}, Limit: limit, Version: 1}
			qt.Assert(t, x.quota.Service().Buy(&args, &reply), qt.IsNil)
			return reply.Seller
		}
		qt.Check(t, buy(), qt.Equals, x.id)
		qt.Assert(t, x.quota.Service().Stop(&StopArgs{From: a.id, Customer: id}, &StopReply{}), qt.IsNil)
		qt.Check(t, buy(), qt.Equals, a.id)
		time.Sleep(yieldPeriod)
		qt.Check(t, buy(), qt.Equals, x.id)
	})
}

// Only the first operation waits for a coordinator that doesn't answer; the others go to a
// deputy until it answers a check.
func TestOperationsDoNotWaitForASilentCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(1, 6, 2, 1, Limit{Rate: 100, Burst: 100})
		a := s.hosts[s.coordinatorIndex(s.hosts[0].list)]
		a.dead, a.silent = true, true
		x := s.hosts[(a.index+1)%6]
		slow := 0
		for range 10 {
			begun := time.Now()
			_, _, ok := x.quota.Admit(s.customers[0], begun.Add(time.Second))
			qt.Check(t, ok, qt.IsTrue)
			if time.Since(begun) > buyTimeout/2 {
				slow++
			}
			time.Sleep(400 * time.Millisecond)
		}
		qt.Check(t, slow, qt.Equals, 1)
		s.mu.Lock()
		a.boot()
		s.mu.Unlock()
		seller := topology.HostID("")
		for attempts := 0; (seller != a.id || len(x.quota.Dump().Avoided) > 0) && attempts < 10; attempts++ { // until a check is due and tokens are spent
			s.round() // a host without votes sells nothing
			_, _, _ = x.quota.Admit(s.customers[0], time.Now().Add(time.Second))
			time.Sleep(probeInterval)
			seller = x.quota.Dump().Wallets[0].Seller
		}
		qt.Check(t, seller, qt.Equals, a.id)
		qt.Check(t, x.quota.Dump().Avoided, qt.HasLen, 0)
		time.Sleep(time.Second)
	})
}

// A host that didn't answer during a partition, and that nobody has wanted since, must be
// asked again as soon as it is wanted.
func TestOldSilenceIsForgotten(t *testing.T) {
	q := New(Options{Self: "a", Now: time.Now})
	now := time.Now()
	q.avoided["b"] = &avoidance{probing: true, probeAt: now}
	q.avoided["c"] = &avoidance{probeAt: now}
	qt.Check(t, q.avoids("c", now.Add(-time.Millisecond)), qt.IsTrue)
	qt.Check(t, q.avoids("c", now.Add(avoidanceMaxAge+time.Millisecond)), qt.IsFalse)
	qt.Check(t, q.avoids("b", now.Add(avoidanceMaxAge+time.Millisecond)), qt.IsTrue, qt.Commentf("it is being checked"))
}

// What is sold in advance after a pause depends on the sales of the last moments, not on
// those before the pause. Hosts got few tokens with the first request after one, and asked
// again soon.
func TestAdvanceAfterAPauseIgnoresEarlierSales(t *testing.T) {
	advance := func(needed int) int {
		g := NewLedger(testBounds, Limit{Rate: 500}, 1, 1, at(0))
		for i := range 20 {
			g.Buy("a", Request{Seq: uint64(i + 1), Need: needed}, at(time.Duration(i)*100*time.Millisecond))
		}
		return g.Buy("b", Request{Seq: 1, Demand: 20}, at(20*time.Second)).Tokens
	}
	qt.Check(t, advance(50), qt.Equals, advance(0))
}
