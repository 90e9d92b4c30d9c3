package line

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leaving primary that can't be replaced, since its replicas have crashed, was used until
// it stopped. After its notice no host may send it a new statement, and an open transaction
// goes on.
func TestLineLeavingPrimaryIsNotUsedAfterItsNotice(t *testing.T) {
	const notice = 3 * time.Second
	b := newSettledBed(t, Options{DrainTimeoutMS: int(notice.Milliseconds())})
	open := b.Dial(0, "db2")
	open.Exec("b BEGIN")
	qt.Assert(t, open.Exec("o1 READ nothing"), qt.Equals, "COMPLETE")
	b.Crash(1)
	b.Crash(2)
	b.Register(b.Members[0], "draining")
	accepted := time.Now()
	var mu sync.Mutex
	sentAt, served := map[string]time.Duration{}, map[string]bool{}
	var wg sync.WaitGroup
	for host := range b.Hosts {
		wg.Go(func() {
			for i := 0; time.Since(accepted) < notice+time.Second; i++ {
				id := fmt.Sprintf("r%d-%d", host, i)
				c := b.Dial(host, "db2")
				if c == nil {
					continue
				}
				sent := time.Since(accepted)
				result := c.Exec(id + " READ nothing")
				c.Close()
				mu.Lock()
				sentAt[id], served[id] = sent, result == "COMPLETE"
				mu.Unlock()
				<-time.After(10 * time.Millisecond)
			}
		})
	}
	var kept sync.WaitGroup
	kept.Go(func() { // keeps the transaction from its idle timeout
		for i := 0; time.Since(accepted) < notice; i++ {
			open.Exec(fmt.Sprint("k", i, " READ nothing"))
			<-time.After(200 * time.Millisecond)
		}
	})
	wg.Wait()
	kept.Wait()
	runs, early, late := b.Members[0].Line.Runs(), 0, 0
	for id, sent := range sentAt {
		switch {
		case sent > notice:
			late++
			qt.Check(t, runs[id], qt.Equals, 0, qt.Commentf("%s, sent %s after the store had the report", id, sent))
			qt.Check(t, served[id], qt.IsFalse)
		case sent < notice/4 && served[id]:
			early++
		}
	}
	qt.Check(t, late > 0, qt.IsTrue)
	qt.Check(t, early > 0, qt.IsTrue, qt.Commentf("the primary was given up before its notice ended"))
	qt.Check(t, open.Exec("o2 READ nothing"), qt.Equals, "COMPLETE")
	qt.Check(t, open.Exec("o3 COMMIT"), qt.Equals, "COMPLETE")
}
