package adminclient

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// AssignmentError reports an invalid assignment and the reason.
type AssignmentError struct{ Assignment, Reason string }

// Error implements error.
func (e *AssignmentError) Error() string { return strconv.Quote(e.Assignment) + ": " + e.Reason }

// Assign returns a JSON object with the assignments applied. An assignment is
// PATH=VALUE. Dots in PATH separate the members of nested objects. VALUE is
// parsed as JSON, or taken as a string if it isn't valid JSON. PATH= removes the
// field. The error for an invalid assignment is an *AssignmentError.
func Assign(value json.RawMessage, assignments []string) (json.RawMessage, error) {
	var object map[string]any
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, errors.Wrap(err, "parse current value")
	}
	for _, assignment := range assignments {
		field, text, found := strings.Cut(assignment, "=")
		if !found || field == "" {
			return nil, &AssignmentError{assignment, "must be PATH=VALUE"}
		}
		if err := setField(object, strings.Split(field, "."), text); err != nil {
			return nil, &AssignmentError{assignment, err.Error()}
		}
	}
	return json.Marshal(object)
}

func setField(object map[string]any, path []string, text string) error {
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
	return setField(member, path[1:], text)
}

func parseValue(text string) any {
	var value any
	if json.Unmarshal([]byte(text), &value) == nil {
		return value
	}
	return text
}
