package line

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// registration is an entry of another writer that looks like a replica's but for one field.
func registration(field, value string) string {
	fields := map[string]string{
		"Service": `"svc"`, "Address": `"127.0.0.1:9"`, "Zone": `"north"`, "Version": `"v1"`, "Slots": "2", "State": `"ready"`,
		"ColdRemainingMs": "0", "DatabaseRole": `"replica"`, "Sequence": "1",
	}
	fields[field] = value
	var members []string
	for name, v := range fields {
		members = append(members, fmt.Sprintf("%q:%s", name, v))
	}
	return "{" + strings.Join(members, ",") + "}"
}

// Entries that another writer left kept hosts from following the registry: hosts that
// watched it, and those that started meanwhile. A port out of range kept them from
// promoting.
func TestLineOddRegistrationsDoNotKeepHostsFromFollowing(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	all := []string{
		nested, registration("Slots", nested), registration("Labels", nested), registration("Slots", "1e999"),
		registration("Slots", "9223372036854775807"), registration("Address", `"127.0.0.1:70000"`),
		registration("DatabaseRole", "null"),
	}
	for name, odd := range map[string][]string{"nested": all[:1], "number": all[3:4], "port": all[5:6], "field missing": all[6:], "all": all} {
		t.Run(name, func(t *testing.T) { playOddRegistrations(t, odd) })
	}
}

func playOddRegistrations(t *testing.T, odd []string) {
	b := newSettledBed(t, Options{})
	for i, value := range odd {
		qt.Assert(t, b.Store.PutRaw("servers", fmt.Sprint("i-odd", i), value), qt.IsNil)
	}
	qt.Assert(t, b.Store.PutRaw("servers", "t3", odd[0]), qt.IsNil) // sound before
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
