package line

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/promotion"
)

// delayedPromotions returns what the hosts tell of promotions that they can't request.
func (b *Bed) delayedPromotions() (list []promotion.Delay) {
	for i := range b.Hosts {
		resp, err := http.Get("http://" + b.addr(i, internalPort) + "/dump")
		qt.Assert(b.tb, err, qt.IsNil)
		var dump struct {
			Delayed []promotion.Delay `json:"delayed_promotions"`
		}
		err = json.NewDecoder(resp.Body).Decode(&dump)
		resp.Body.Close()
		qt.Assert(b.tb, err, qt.IsNil)
		list = append(list, dump.Delayed...)
	}
	return list
}

// Guards against this failure: a replica that only the primary reached was taken for ended, and
// once the primary and the voters had ended another one was promoted without its commits.
func TestLineReplicaThatOnlyThePrimaryReachesLosesNoCommit(t *testing.T) {
	b := newSettledBed(t, Options{Relays: true, SpreadTargets: true})
	primary, hidden, deaf := b.Members[0], b.Members[1], b.Members[2]
	hidden.relay.close()
	b.Unregister(hidden)
	b.Eventually("no host reaches the replica", func() bool {
		return b.metric(`nettlewalk_target_end_checks_total{outcome="ended"}`) > 0
	})
	<-time.After(3 * time.Second) // the primary tells its position again, and the store has the list of members
	deaf.Server.SetLag(receivesNothing, 0)
	w, stop := &writer{}, &atomic.Bool{}
	var wg sync.WaitGroup
	for i := range b.Hosts {
		wg.Go(func() { w.run(b, i, stop) })
	}
	b.Eventually("writes are acknowledged that only the hidden replica has", func() bool { return w.count() > 50 })
	b.killAll(t)
	primary.relay.close()
	stop.Store(true)
	wg.Wait()
	b.startAll()
	var delayed []promotion.Delay
	b.Eventually("the promotion waits", func() bool {
		delayed = b.delayedPromotions()
		return len(delayed) > 0 && len(delayed[0].WaitsFor) > 0 || len(b.Promotions()) > 0
	})
	checkNotPromoted(t, b, string(deaf.ID), 3*time.Second)
	qt.Assert(t, delayed, qt.HasLen, 1)
	qt.Check(t, delayed[0].VotersEnded, qt.Equals, hostCount)
	qt.Assert(t, delayed[0].WaitsFor, qt.HasLen, 1, qt.Commentf("%+v", delayed))
	qt.Check(t, delayed[0].WaitsFor[0].Addr, qt.Equals, hidden.addr)

	qt.Assert(t, hidden.relay.open(), qt.IsNil)
	b.Register(hidden, "ready")
	returned := time.Now()
	b.Eventually("the hidden replica is promoted", func() bool { return len(b.Promotions()) > 0 })
	t.Logf("%d writes acknowledged; promoted %s after the replica's return", w.count(), time.Since(returned).Round(10*time.Millisecond))
	qt.Check(t, b.Promotions()[0], qt.Equals, string(hidden.ID))
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db2").Exec("x READ nothing") == "COMPLETE" })
	w.checkAckedWrites(t, b)
	checkNoRepeatedWrites(t, b)
}

// Guards against this failure: after one replica was gone for good, and later the primary together with
// all hosts, a promotion waited for the replica for good, though the other one had everything.
func TestLineReplicaThatIsGoneIsNotWaitedForOnceDropped(t *testing.T) {
	b := newSettledBed(t, Options{SpreadTargets: true})
	b.Crash(1)
	b.Unregister(b.Members[1])
	w := &writer{}
	b.Eventually("commits need the other replica's receipt", func() bool {
		w.write(t, b, 0, "w", 1)
		return b.metric(`nettlewalk_receipts_total{outcome="proved"}`) > 3
	})
	w.write(t, b, 1, "dropped", 20)
	b.killAll(t)
	b.Crash(0)
	b.startAll()
	b.Eventually("the other replica is promoted", func() bool { return len(b.Promotions()) > 0 })
	qt.Check(t, b.Promotions()[0], qt.Equals, string(b.Members[2].ID))
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db2").Exec("x READ nothing") == "COMPLETE" })
	w.checkAckedWrites(t, b)
}
