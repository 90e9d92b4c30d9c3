package platform

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// EditsField is the member of an object's value in which its last edits are
// kept. No object may use it for anything else.
const EditsField = "edits"

// DeletedField marks an object as deleted by an operator. The object stays, so
// that a deletion's outcome can be told and nothing older comes back.
const DeletedField = "deleted"

// deletedBody is the value of a deleted object, before its edits.
var deletedBody = json.RawMessage(`{"` + DeletedField + `":true}`)

// IsDeleted tells whether a value marks its object as deleted.
func IsDeleted(value json.RawMessage) bool {
	var mark struct {
		Deleted bool `json:"deleted"`
	}
	return json.Unmarshal(value, &mark) == nil && mark.Deleted
}

// editsKept is how many edits an object remembers. An edit whose answer is
// lost is resolved unless this many later ones came first.
const editsKept = 16

// EditRecord is one edit that took effect.
type EditRecord struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"` // version that the edit replaced, 0: it created the object
}

// Verdict is what an object tells about an edit.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // the object still has the edit's base version
	TookEffect
	Lost      // another edit replaced the base version
	Forgotten // too many edits came since
)

// Judge tells what became of an edit from the object as it is now. At most one
// edit replaces each version, so the record with the edit's base decides.
func Judge(edit EditRecord, current Object) Verdict {
	if current.Version == edit.Base {
		return Undecided
	}
	_, edits, err := SplitEdits(current.Value)
	if err != nil {
		return Forgotten
	}
	for _, other := range edits {
		if other == edit {
			return TookEffect
		}
		if other.Base == edit.Base {
			return Lost
		}
	}
	return Forgotten
}

// SplitEdits separates an object's value from the edits that it remembers.
func SplitEdits(value json.RawMessage) (body json.RawMessage, edits []EditRecord, err error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(value, &members); err != nil {
		return nil, nil, errors.Wrap(err, "object value")
	}
	raw, ok := members[EditsField]
	if !ok {
		return value, nil, nil
	}
	if err := json.Unmarshal(raw, &edits); err != nil {
		return nil, nil, errors.Wrap(err, "object edits")
	}
	delete(members, EditsField)
	body, err = json.Marshal(members)
	return body, edits, err
}

// withEdit returns body with the new edit and the latest of the earlier ones.
func withEdit(body json.RawMessage, earlier []EditRecord, edit EditRecord) (json.RawMessage, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil || members == nil {
		return nil, errors.New("the value of an edited object is a JSON object")
	}
	edits := append(append([]EditRecord(nil), earlier...), edit)
	if len(edits) > editsKept {
		edits = edits[len(edits)-editsKept:]
	}
	raw, err := json.Marshal(edits)
	if err != nil {
		return nil, err
	}
	members[EditsField] = raw
	return json.Marshal(members)
}
