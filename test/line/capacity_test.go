package line

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overloadWithCustomers lets 48 callers of 8 customers send without pause for the given
// time.
func overloadWithCustomers(t *testing.T, b *Bed, d time.Duration) (served int64) {
	t.Helper()
	keys := map[string][]string{}
	for i := range 8 {
		name := fmt.Sprintf("customer%02d", i)
		keys[name] = []string{"key-" + name}
	}
	b.ConfigureKeys(2, keys)
	for host := range b.Hosts {
		b.Eventually("customers are in effect", func() bool {
			c, _ := b.DialKey(host, "db", "key-customer00")
			return c.Exec("x READ nothing") == "COMPLETE"
		})
	}
	stop := &atomic.Bool{}
	var total atomic.Int64
	var callers sync.WaitGroup
	for i := range 48 {
		callers.Go(func() {
			c, _ := b.DialKey(i%hostCount, "db", fmt.Sprintf("key-customer%02d", i%8))
			for n := 0; !stop.Load() && c != nil; n++ {
				switch c.Exec(fmt.Sprintf("customer%02d.%d.%d WRITE w x", i%8, i, n)) {
				case "COMPLETE":
					total.Add(1)
				case "":
					return
				}
			}
		})
	}
	time.Sleep(d)
	stop.Store(true)
	callers.Wait()
	return total.Load()
}

// dumps returns the state dumps of all hosts.
func (b *Bed) dumps() string {
	var all strings.Builder
	for i := range b.Hosts {
		resp, err := http.Get("http://" + b.addr(i, internalPort) + "/dump")
		qt.Assert(b.tb, err, qt.IsNil)
		_, err = io.Copy(&all, resp.Body)
		resp.Body.Close()
		qt.Assert(b.tb, err, qt.IsNil)
	}
	return all.String()
}

// Where the configuration has customers, hosts divide the capacity of a target while
// statements wait, and stop once none do. No host fails to answer.
func TestLineHoldersShareCapacity(t *testing.T) {
	b := NewBed(t)
	served := overloadWithCustomers(t, b, 3*time.Second)
	polls, allocations := b.metric("nettlewalk_capacity_polls_total"), b.metric("nettlewalk_capacity_allocations_total")
	t.Logf("%d served, %g polls, %g failed, %g allocations", served, polls, b.metric("nettlewalk_capacity_polls_failed_total"), allocations)
	qt.Check(t, served > 0, qt.IsTrue)
	qt.Check(t, polls >= 20, qt.IsTrue)
	qt.Check(t, allocations >= polls, qt.IsTrue)
	qt.Check(t, b.metric("nettlewalk_capacity_polls_failed_total"), qt.Equals, 0.0)
	b.Eventually("nobody coordinates", func() bool { return b.metric("nettlewalk_capacity_coordinated") == 0 })
	polls = b.metric("nettlewalk_capacity_polls_total")
	time.Sleep(time.Second)
	qt.Check(t, b.metric("nettlewalk_capacity_polls_total"), qt.Equals, polls)
	qt.Check(t, strings.Contains(b.dumps(), `"shared":`), qt.IsTrue)
	checkOwnConnections(t, b)
}

// With the flag off, hosts send no messages about capacity and limit nothing by it.
func TestLineSharedCapacityIsOff(t *testing.T) {
	b := NewBedWith(t, Options{HostArgs: []string{"--shared-capacity=off"}})
	served := overloadWithCustomers(t, b, 2*time.Second)
	t.Logf("%d served", served)
	for _, name := range []string{"wakes", "polls", "rounds", "allocations"} {
		qt.Check(t, b.metric("nettlewalk_capacity_"+name+"_total"), qt.Equals, 0.0, qt.Commentf("%s", name))
	}
	qt.Check(t, strings.Contains(b.dumps(), `"shared":`), qt.IsFalse)
}
