package line

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	control "nettlewalk.example/nettlewalk/internal/target"
)

// nonHolder returns the index of a host that doesn't hold the group's duty.
func (b *Bed) nonHolder() int {
	for i, h := range b.Hosts {
		if !strings.Contains(logWithoutStatements(h.logPath), `"mine":true`) {
			return i
		}
	}
	b.tb.Fatal("every host has held the duty")
	return 0
}

// newPrimaryLeads reports whether another target than the first one leads.
func (b *Bed) newPrimaryLeads() bool {
	for _, m := range b.Members[1:] {
		if m.Server.Status().Role == control.Primary {
			return true
		}
	}
	return false
}

// A host that was frozen while the primary was replaced reads nothing at the old
// primary, which leads on: its caller gets the newest acknowledged write, or is told
// that the read has not run.
func TestLineFrozenHostDoesNotReadAtReplacedPrimary(t *testing.T) {
	b := NewBedWith(t, Options{Unfenced: true, IgnoreDemote: true})
	b.Configure(2, "db", "db2") // reads of db2 need the latest data
	b.Eventually("second route is in effect", func() bool { return b.Dial(0, "db2") != nil })
	b.Eventually("a host holds the duty", b.DutyIsHeld)
	frozen := b.nonHolder()
	other := (frozen + 1) % hostCount
	var reader *Client // the other hosts learn of the second route a moment later
	b.Eventually("second route is in effect there", func() bool { reader = b.Dial(frozen, "db2"); return reader != nil })
	qt.Assert(t, reader.Exec("w0 WRITE item old"), qt.Equals, "COMPLETE")
	process := b.Hosts[frozen].Cmd.Process
	qt.Assert(t, process.Signal(syscall.SIGSTOP), qt.IsNil)
	b.Register(b.Members[0], "draining")
	b.Eventually("another target leads", b.newPrimaryLeads)
	acked := 0
	b.Eventually("a write is acknowledged by the new primary", func() bool {
		acked++
		return b.Dial(other, "db").Exec(fmt.Sprintf("w%d WRITE item v%d", acked, acked)) == "COMPLETE"
	})
	qt.Assert(t, b.Members[0].Server.Status().Role, qt.Equals, control.Primary, qt.Commentf("the old primary leads on"))
	_, err := fmt.Fprint(reader.conn, "QUERY r READ item\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, process.Signal(syscall.SIGCONT), qt.IsNil)
	for {
		line, err := reader.readLine()
		qt.Assert(t, err, qt.IsNil)
		keyword, rest, _ := strings.Cut(line, " ")
		switch keyword {
		case "ROW":
			qt.Check(t, rest, qt.Equals, fmt.Sprintf("v%d", acked))
		case "ERROR":
			qt.Check(t, strings.HasPrefix(rest, "BUSY"), qt.IsTrue, qt.Commentf("%s", rest))
		case "READY":
			return
		}
	}
}

// A planned change of primary waits for no lease: every lessee gives it back.
func TestLinePlannedChangeWaitsForNoLease(t *testing.T) {
	b := NewBedWith(t, Options{Unfenced: true})
	b.Eventually("a host holds the duty", b.DutyIsHeld)
	leaving := time.Now()
	b.Register(b.Members[0], "draining")
	b.Eventually("another target is promoted", func() bool { return len(b.Promotions()) > 0 })
	qt.Check(t, time.Since(leaving) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(leaving)))
	b.Eventually("writes succeed again", func() bool { return b.Dial(1, "db").Exec("w WRITE item x") == "COMPLETE" })
	qt.Check(t, b.metric(`nettlewalk_leases_total{event="revoked"}`) >= hostCount-1, qt.IsTrue)
	b.Eventually("the old primary is demoted", b.PrimaryReplaced)
}

// A request whose answer is lost is repeated for the same target, so that it doesn't
// matter when the lost one is carried out. No token is lower than an earlier one.
func TestLineLostPromotionAnswerIsRepeatedForTheSameTarget(t *testing.T) {
	b := NewBedWith(t, Options{Unfenced: true})
	b.Eventually("a host holds the duty", b.DutyIsHeld)
	b.Eventually("the second host has a lease and writes", func() bool { return b.Dial(1, "db").Exec("w0 WRITE item before") == "COMPLETE" })
	b.LoseAnswers(1, 2*time.Second)
	b.Register(b.Members[0], "draining")
	b.Eventually("a promotion is accepted", func() bool { return len(b.Promotions()) > 0 })
	b.Eventually("writes succeed again", func() bool { return b.Dial(1, "db").Exec("w1 WRITE item after") == "COMPLETE" })
	promoted := b.Promotions()
	<-time.After(2500 * time.Millisecond) // the lost request has been carried out
	qt.Check(t, b.Promotions(), qt.DeepEquals, promoted)
	rows, result, _ := b.Dial(1, "db").Query("r READ item")
	qt.Check(t, result, qt.Equals, "COMPLETE")
	qt.Check(t, rows, qt.DeepEquals, []string{"after"})
	tokens := b.Tokens()
	for i := 1; i < len(tokens); i++ {
		qt.Check(t, tokens[i] >= tokens[i-1], qt.IsTrue, qt.Commentf("tokens %v", tokens))
	}
}

// A crash of the primary is over for callers within the stated time, though replaced
// primaries aren't fenced.
func TestLineUnfencedCrashIsOverSoon(t *testing.T) {
	b := NewBedWith(t, Options{Unfenced: true})
	b.Eventually("a host holds the duty", b.DutyIsHeld)
	crashed := time.Now()
	b.Crash(0)
	b.Eventually("writes succeed again", func() bool { return b.Dial(1, "db").Exec("w WRITE item x") == "COMPLETE" })
	qt.Check(t, time.Since(crashed) < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(crashed)))
}
