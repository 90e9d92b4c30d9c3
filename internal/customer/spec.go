package customer

import (
	"encoding/json"
	"fmt"
	"sort"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Spec is a customer's own object: its template and what it sets itself.
type Spec struct {
	Description string
	Template    string
	Databases   map[string]topology.GroupID
	Users       []User
	Parameters  Parameters
}

// ParseSpec reads a customer's JSON. The error is Faults with one entry for
// each bad field.
func ParseSpec(data json.RawMessage) (*Spec, error) {
	var faults Faults
	f := readFields("", data, &faults)
	s := &Spec{Description: description(f)}
	f.required("template", "the name of a template")
	if name := field(f, "template", allowedName, ValidName); name != nil {
		s.Template = *name
	}
	f.required("databases", "an object of database names to groups")
	if raw, ok := f.take("databases"); ok {
		s.Databases = parseDatabases(raw, &faults)
	}
	if raw, ok := f.take("users"); ok {
		s.Users = parseUsers(raw, &faults)
	}
	s.Parameters = optionalParameters(f)
	f.finish()
	return s, faults.err()
}

func parseDatabases(data json.RawMessage, faults *Faults) map[string]topology.GroupID {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil || len(raw) == 0 {
		faults.add("databases", string(data), "an object of at least one database name to its group")
		return nil
	}
	names := make([]string, 0, len(raw))
	for name := range raw {
		names = append(names, name)
	}
	sort.Strings(names)
	databases := make(map[string]topology.GroupID, len(names))
	for _, name := range names {
		var group string
		switch {
		case !ValidName(name):
			faults.add("databases", name, "names of "+allowedName)
		case json.Unmarshal(raw[name], &group) != nil || !ValidName(group):
			faults.add("databases."+name, string(raw[name]), "a group: "+allowedName)
		default:
			databases[name] = topology.GroupID(group)
		}
	}
	return databases
}

func parseUsers(data json.RawMessage, faults *Faults) []User {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		faults.add("users", string(data), "a list of users")
		return nil
	}
	users := make([]User, 0, len(raw))
	seen := map[string]bool{}
	for i, one := range raw {
		path := fmt.Sprintf("users[%d].", i)
		user := parseUser(path, one, faults)
		if user.Name != "" && seen[user.Name] {
			faults.add(path+"name", user.Name, "a name that no other user of the customer has")
		}
		seen[user.Name] = true
		users = append(users, user)
	}
	return users
}

func parseUser(path string, data json.RawMessage, faults *Faults) User {
	var user User
	f := readFields(path, data, faults)
	f.required("name", allowedName)
	if name := field(f, "name", allowedName, ValidName); name != nil {
		user.Name = *name
	}
	if readOnly := field(f, "read_only", "true or false", anyValue[bool]); readOnly != nil {
		user.ReadOnly = *readOnly
	}
	if raw, ok := f.take("verifier"); ok {
		bad := json.Unmarshal(raw, &user.Verifier) != nil
		if bad || user.Verifier != "" && !ValidVerifier(user.Verifier) {
			faults.add(path+"verifier", "(hidden)", allowedVerifier)
		}
	}
	f.finish()
	return user
}
