package line

import (
	"fmt"
	"testing"
	"time"
)

// Entries that another writer left kept hosts from following the registry: hosts that
// watched it, and those that started meanwhile. A port out of range kept them from
// promoting.
func TestLineOddRegistrationsDoNotKeepHostsFromFollowing(t *testing.T) {
	all := OddRegistrations()
	for name, odd := range map[string][]string{"nested": all[:1], "number": all[3:4], "port": all[5:6], "field missing": all[6:], "all": all} {
		t.Run(name, func(t *testing.T) { playOddRegistrations(t, odd) })
	}
}

func playOddRegistrations(t *testing.T, odd []string) {
	b := newSettledBed(t, Options{})
	for i, value := range odd {
		b.PutRegistration(fmt.Sprint("i-odd", i), value)
	}
	b.PutRegistration("t3", odd[0]) // sound before
	<-time.After(time.Second)
	b.Register(b.Members[2], "ready")
	_ = b.Hosts[2].Cmd.Process.Kill()
	<-b.Hosts[2].Done
	b.Start(b.Hosts[2])
	b.Eventually("a host that starts beside the entries is ready", b.Hosts[2].IsReady)
	b.Register(b.Members[0], "draining")
	b.Eventually("the leaving primary is replaced", b.PrimaryReplaced)
	b.Eventually("writes succeed again", func() bool { return b.Dial(1, "db").Exec("w WRITE item x") == "COMPLETE" })
	for _, h := range b.Hosts {
		select {
		case err := <-h.Done:
			t.Errorf("%s ended by itself: %v", h.Name, err)
		default:
		}
	}
}
