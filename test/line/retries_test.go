package line

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/testbed"
)

// dump returns the state dump of a host.
func (b *Bed) dump(host int) string {
	resp, err := http.Get("http://" + b.addr(host, internalPort) + "/dump")
	qt.Assert(b.tb, err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	qt.Assert(b.tb, err, qt.IsNil)
	return string(text)
}

// A leader that was cut off and is back starts slowly at hosts that run with --retry-budget, and
// statements are served meanwhile. Without the flag, hosts of a deployment without customers
// have no budget and no slow start.
func TestLineRetryBudgetIsEnabledByFlag(t *testing.T) {
	for _, args := range [][]string{{"--retry-budget"}, nil} {
		b := NewBedWith(t, Options{HostArgs: args})
		slowStarts := func() float64 { return b.metric(`nettlewalk_target_slow_starts_total{reason="reachable"}`) }
		qt.Check(t, strings.Contains(b.dump(0), `"retries":`), qt.Equals, args != nil)
		qt.Check(t, strings.Contains(b.dump(0), `"recovery":`), qt.Equals, args != nil)
		qt.Assert(t, b.Members[0].Link.Cut(testbed.Upstream, testbed.Downstream), qt.IsNil)
		b.Eventually("the target is unreachable", func() bool { return strings.Contains(b.dump(0), `"lost":true`) })
		qt.Assert(t, b.Members[0].Link.Heal(t.Context()), qt.IsNil)
		b.Eventually("the target is reachable", func() bool { return !strings.Contains(b.dump(0), `"lost":true`) })
		if args != nil {
			b.Eventually("a slow start begins", func() bool { return slowStarts() > 0 })
		}
		qt.Check(t, slowStarts() > 0, qt.Equals, args != nil)
		c := b.Dial(0, "db")
		b.Eventually("a leader serves", func() bool { return c.Exec("r READ item") == "COMPLETE" })
		for i := range 50 {
			qt.Check(t, c.Exec(fmt.Sprintf("r%d READ item", i)), qt.Equals, "COMPLETE")
		}
	}
}

// A host must not start with a value that it would take for another one.
func TestLineInvalidRetryBudgetIsRefused(t *testing.T) {
	b := NewBedWith(t, Options{})
	h := b.Hosts[0]
	qt.Assert(t, h.Cmd.Process.Kill(), qt.IsNil)
	<-h.Done
	b.opts.HostArgs = []string{"--retry-budget=maybe"}
	b.Start(h)
	qt.Check(t, <-h.Done, qt.ErrorMatches, "exit status 2")
}
