package line

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// customerCaller sends statements for one customer, through one host after another.
type customerCaller struct {
	bed    *Bed
	name   string
	served atomic.Int64
}

// run writes and reads, also in transactions, until stop is set. The IDs of its
// statements begin with the customer's name.
func (c *customerCaller) run(stop *atomic.Bool) {
	var client *Client
	for n := 0; !stop.Load(); n++ {
		if client == nil {
			if client, _ = c.bed.DialKey(n%hostCount, "db", "key-"+c.name); client == nil {
				<-time.After(20 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s.%d", c.name, n)
		statements := []string{id + " WRITE " + c.name + " x", id + "r READ " + c.name}
		if n%5 == 0 {
			statements = []string{id + "b BEGIN", id + "w WRITE " + c.name + " y", id + "r READ " + c.name, id + "c COMMIT"}
		}
		for _, st := range statements {
			switch client.Exec(st) {
			case "COMPLETE":
				c.served.Add(1)
			case "":
				client = nil
			}
			if client == nil {
				break
			}
		}
		if n%20 == 19 && client != nil { // goes to another host
			client.Close()
			client = nil
		}
		<-time.After(15 * time.Millisecond)
	}
}

// checkOwnConnections fails the test if a statement ran on a connection of a customer other
// than the caller's, or a target had to refuse a connection.
func checkOwnConnections(t *testing.T, b *Bed) {
	t.Helper()
	checked := 0
	for _, m := range b.Members {
		for id := range m.Line.Runs() {
			name, _, ok := strings.Cut(id, ".")
			if !ok {
				continue // not of a customerCaller
			}
			checked++
			qt.Check(t, m.Line.CustomersOf(id), qt.DeepEquals, []string{name}, qt.Commentf("%s at %s", id, m.ID))
		}
		qt.Check(t, m.Line.Violations(), qt.HasLen, 0)
		qt.Check(t, m.Line.RefusedAboveLimit(), qt.Equals, 0, qt.Commentf("%s refused connections", m.ID))
	}
	qt.Check(t, checked > 0, qt.IsTrue)
}

// More customers than connections are served through every host, each on its own
// connections only and within the targets' limits, also while a host dies. The connections
// of a customer that is removed are closed.
func TestLineCustomersHaveConnectionsOfTheirOwn(t *testing.T) {
	b := NewBed(t)
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprintf("customer%02d", i))
	}
	keys := map[string][]string{}
	for _, name := range names {
		keys[name] = []string{"key-" + name}
	}
	b.ConfigureKeys(2, keys)
	for host := range b.Hosts {
		b.Eventually("customers are in effect", func() bool {
			c, _ := b.DialKey(host, "db", "key-"+names[0])
			return c.Exec("x READ nothing") == "COMPLETE"
		})
	}
	began := time.Now()
	var callers []*customerCaller
	var wg sync.WaitGroup
	stop := &atomic.Bool{}
	defer stop.Store(true)
	for _, name := range names {
		c := &customerCaller{bed: b, name: name}
		callers = append(callers, c)
		wg.Go(func() { c.run(stop) })
	}
	allServed := func() bool {
		for _, c := range callers {
			if c.served.Load() < 10 {
				return false
			}
		}
		return true
	}
	b.Eventually("all customers are served", allServed)
	t.Logf("all customers served after %s", time.Since(began).Round(time.Millisecond))
	checkOwnConnections(t, b)
	killed := time.Now()
	qt.Assert(t, b.Hosts[2].Cmd.Process.Signal(syscall.SIGKILL), qt.IsNil)
	for _, c := range callers {
		c.served.Store(0)
	}
	b.Eventually("all customers are served without the host", allServed)
	t.Logf("all customers served without the host after %s", time.Since(killed).Round(time.Millisecond))
	stop.Store(true)
	wg.Wait()
	checkOwnConnections(t, b)
	delete(keys, names[0])
	b.ConfigureKeys(3, keys)
	b.Eventually("connections of the removed customer are closed", func() bool {
		for _, m := range b.Members {
			if m.Line.OpenOf(names[0]) > 0 {
				return false
			}
		}
		return true
	})
}
