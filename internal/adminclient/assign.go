package adminclient

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// AssignmentError tells which assignment can't be made, and why.
type AssignmentError struct{ Assignment, Reason string }

// Error implements error.
func (e *AssignmentError) Error() string { return strconv.Quote(e.Assignment) + ": " + e.Reason }

// Assign returns an object with fields changed. An assignment is PATH=VALUE
// with dots in PATH between an object and its member; VALUE is JSON or else
// taken as text; PATH= removes the field. A bad assignment's error is an
// *AssignmentError.
func Assign(value json.RawMessage, assignments []string) (json.RawMessage, error) {
	var object map[string]any
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, errors.Wrap(err, "present value")
	}
	for _, assignment := range assignments {
		field, text, found := strings.Cut(assignment, "=")
		if !found || field == "" {
			return nil, &AssignmentError{assignment, "want PATH=VALUE"}
		}
		if err := assign(object, strings.Split(field, "."), text); err != nil {
			return nil, &AssignmentError{assignment, err.Error()}
		}
	}
	return json.Marshal(object)
}

func assign(object map[string]any, path []string, text string) error {
	if len(path) == 1 {
		if text == "" {
			delete(object, path[0])
			return nil
		}
		object[path[0]] = parseValue(text)
		return nil
	}
	member, ok := object[path[0]].(map[string]any)
	if !ok {
		if object[path[0]] != nil {
			return errors.Newf("%s has no fields", path[0])
		}
		member = map[string]any{}
		object[path[0]] = member
	}
	return assign(member, path[1:], text)
}

func parseValue(text string) any {
	var value any
	if json.Unmarshal([]byte(text), &value) == nil {
		return value
	}
	return text
}
