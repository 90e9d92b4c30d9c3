package customer

import (
	"encoding/json"
	"fmt"
	"net"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const maxConnectionsPerTarget = 10_000

// ParseGroup parses a group object of the platform. Unknown fields are
// accepted, because the platform owns the schema of the object.
func ParseGroup(name string, data json.RawMessage) (*topology.Group, error) {
	var faults Faults
	var g topology.Group
	if err := json.Unmarshal(data, &g); err != nil {
		faults.add("value", err.Error(), "a group object")
		return nil, faults.err()
	}
	if string(g.ID) != name {
		faults.add("id", string(g.ID), "the name of the object, "+name)
	}
	if len(g.Targets) == 0 {
		faults.add("targets", "[]", "at least one target")
	}
	seen := map[topology.TargetID]bool{}
	for i := range g.Targets {
		checkTarget(fmt.Sprintf("targets[%d].", i), &g, &g.Targets[i], seen, &faults)
	}
	if _, ok := g.Target(g.Primary); g.Primary != "" && !ok {
		faults.add("primary", string(g.Primary), "one of the group's targets, or empty")
	}
	return &g, faults.err()
}

// checkTarget validates one target and sets its group if the platform left the
// group empty.
func checkTarget(path string, g *topology.Group, t *topology.Target, seen map[topology.TargetID]bool, faults *Faults) {
	if t.Group == "" {
		t.Group = g.ID
	}
	if t.Group != g.ID {
		faults.add(path+"group", string(t.Group), "the ID of the group that lists the target")
	}
	if t.ID == "" || seen[t.ID] {
		faults.add(path+"id", string(t.ID), "a name that is unique in the group")
	}
	seen[t.ID] = true
	if t.Domain == "" {
		faults.add(path+"domain", "", "a failure domain")
	}
	if _, _, err := net.SplitHostPort(t.Addr); err != nil {
		faults.add(path+"addr", t.Addr, "host:port")
	}
	if t.Connections < 1 || t.Connections > maxConnectionsPerTarget {
		faults.add(path+"connections", fmt.Sprint(t.Connections), "1 to 10000")
	}
	if t.Slots < 1 || t.Slots > t.Connections {
		faults.add(path+"slots", fmt.Sprint(t.Slots), "1 to the number of connections")
	}
}
