package platform

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// Other writers may leave objects that encoding/json rejects, and with them the whole
// answer that contains them: values nested too deeply, or numbers that don't fit. The
// functions below decode such an answer element by element, so that the others are used.

// ErrUnreadable reports an object whose name or version can't be read. Without them it
// can't be told from others or ordered.
var ErrUnreadable = errors.New("object without a readable name or version")

// DecodePage decodes the answer to a list or a watch into page. If encoding/json rejects it,
// DecodePage decodes page without the array of that name, and returns the array's
// elements.
func DecodePage(body []byte, array string, page any) (elements []json.RawMessage, err error) {
	err = json.Unmarshal(body, page)
	if err == nil {
		return nil, nil
	}
	found := gjson.GetBytes(body, array)
	if !found.IsArray() || found.Index == 0 {
		return nil, err
	}
	// What is left must be a document of its own: it isn't if the answer is cut off.
	rest := bytes.Join([][]byte{body[:found.Index], []byte("[]"), body[found.Index+len(found.Raw):]}, nil)
	if err := json.Unmarshal(rest, page); err != nil {
		return nil, err
	}
	elements = []json.RawMessage{}
	found.ForEach(func(_, element gjson.Result) bool {
		elements = append(elements, json.RawMessage(element.Raw))
		return true
	})
	return elements, nil
}

// Member returns the value of a member of a JSON object, or nil if there is none. The value
// may be one that encoding/json rejects.
func Member(object []byte, path string) json.RawMessage {
	if value := gjson.GetBytes(object, path); value.Exists() {
		return json.RawMessage(value.Raw)
	}
	return nil
}

// DecodeMembers decodes members of a JSON object, given by path, and leaves out absent ones.
func DecodeMembers(object []byte, members map[string]any) error {
	for path, value := range members {
		if raw := Member(object, path); raw != nil {
			if err := json.Unmarshal(raw, value); err != nil {
				return errors.Wrap(err, path)
			}
		}
	}
	return nil
}
