package customer

import (
	"encoding/json"
	"fmt"
	"sort"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Spec is a customer object: its template, databases, users and own
// parameters.
type Spec struct {
	Description string
	Template    string
	Databases   map[string]topology.GroupID
	Users       []User
	Parameters  Parameters
}

// ParseSpec parses a customer object. The error is a Faults with one entry for
// each invalid field.
func ParseSpec(data json.RawMessage) (*Spec, error) {
	var faults Faults
	f := newFieldReader("", data, &faults)
	s := &Spec{Description: readDescription(f)}
	f.reportIfMissing("template", "the name of a template")
	if name := optionalField(f, "template", allowedNames, ValidName); name != nil {
		s.Template = *name
	}
	f.reportIfMissing("databases", "an object that maps database names to groups")
	if raw, ok := f.take("databases"); ok {
		s.Databases = parseDatabases(raw, &faults)
	}
	if raw, ok := f.take("users"); ok {
		s.Users = parseUsers(raw, &faults)
	}
	s.Parameters = readParameters(f)
	f.reportUnknown()
	return s, faults.err()
}

// parseDatabases parses the mapping from database names to groups.
func parseDatabases(data json.RawMessage, faults *Faults) map[string]topology.GroupID {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil || len(raw) == 0 {
		faults.add("databases", string(data), "an object that maps at least one database name to its group")
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
			faults.add("databases", name, "names of "+allowedNames)
		case json.Unmarshal(raw[name], &group) != nil || !ValidName(group):
			faults.add("databases."+name, string(raw[name]), "a group name: "+allowedNames)
		default:
			databases[name] = topology.GroupID(group)
		}
	}
	return databases
}

// parseUsers parses the list of users and reports duplicate names.
func parseUsers(data json.RawMessage, faults *Faults) []User {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		faults.add("users", string(data), "a list of users")
		return nil
	}
	users := make([]User, 0, len(raw))
	seen := map[string]bool{}
	for i, rawUser := range raw {
		path := fmt.Sprintf("users[%d].", i)
		user := parseUser(path, rawUser, faults)
		if user.Name != "" && seen[user.Name] {
			faults.add(path+"name", user.Name, "a name that is unique among the users of the customer")
		}
		seen[user.Name] = true
		users = append(users, user)
	}
	return users
}

// parseUser parses one user. Faults never contain the verifier.
func parseUser(path string, data json.RawMessage, faults *Faults) User {
	var user User
	f := newFieldReader(path, data, faults)
	f.reportIfMissing("name", allowedNames)
	if name := optionalField(f, "name", allowedNames, ValidName); name != nil {
		user.Name = *name
	}
	if readOnly := optionalField(f, "read_only", "true or false", anyValue[bool]); readOnly != nil {
		user.ReadOnly = *readOnly
	}
	if raw, ok := f.take("verifier"); ok {
		malformed := json.Unmarshal(raw, &user.Verifier) != nil
		if malformed || user.Verifier != "" && !ValidVerifier(user.Verifier) {
			faults.add(path+"verifier", "(hidden)", allowedVerifier)
		}
	}
	f.reportUnknown()
	return user
}
