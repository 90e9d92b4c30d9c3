package line

import (
	"fmt"
	"strings"

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

// OddRegistrations returns entries of another writer that name no target: nested ones, with
// a number too large, a port out of range and a missing field.
func OddRegistrations() []string {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return []string{
		nested, registration("Slots", nested), registration("Labels", nested), registration("Slots", "1e999"),
		registration("Slots", "9223372036854775807"), registration("Address", `"127.0.0.1:70000"`),
		registration("DatabaseRole", "null"),
	}
}

// PutRegistration writes an entry of another writer under an ID.
func (b *Bed) PutRegistration(id, entry string) {
	qt.Assert(b.tb, b.Store.PutRaw("servers", id, entry), qt.IsNil)
}

// DeleteRegistration removes the entry of another writer.
func (b *Bed) DeleteRegistration(id string) { b.Store.Delete("servers", id) }
