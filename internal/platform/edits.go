package platform

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// EditsField is the JSON field of an object's value that holds the records of its
// latest edits. It is reserved in all objects.
const EditsField = "edits"

// DeletedField is the JSON field that marks an object as a tombstone after an
// operator deleted it. The tombstone keeps the records needed to determine the
// deletion's outcome and prevents older versions from reappearing.
const DeletedField = "deleted"

// deletedBody is the value of a tombstone without its edit records.
var deletedBody = json.RawMessage(`{"` + DeletedField + `":true}`)

// IsDeleted reports whether a value is a tombstone.
func IsDeleted(value json.RawMessage) bool {
	var marker struct {
		Deleted bool `json:"deleted"`
	}
	return json.Unmarshal(value, &marker) == nil && marker.Deleted
}

// maxEditRecords is the number of edit records that an object keeps. The outcome
// of an edit whose answer was lost can be determined until this many later edits
// have taken effect.
const maxEditRecords = 16

// EditRecord identifies an edit. An object's value holds the records of the
// latest edits that took effect.
type EditRecord struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"` // version that the edit replaced; 0 if the edit created the object
}

// EditOutcome is the outcome of an edit as determined from the current object.
type EditOutcome int

// Outcomes of an edit.
const (
	EditPending EditOutcome = iota // the object still has the edit's base version
	EditApplied
	EditRejected       // another edit replaced the base version
	EditOutcomeUnknown // the object no longer has a record of the edit
)

// ResolveEdit determines the outcome of an edit from the current object. At most
// one edit replaces each version, so the record with the edit's base version shows
// which edit took effect.
func ResolveEdit(edit EditRecord, current Object) EditOutcome {
	if current.Version == edit.Base {
		return EditPending
	}
	_, edits, err := SplitEdits(current.Value)
	if err != nil {
		return EditOutcomeUnknown
	}
	for _, recorded := range edits {
		if recorded == edit {
			return EditApplied
		}
		if recorded.Base == edit.Base {
			return EditRejected
		}
	}
	return EditOutcomeUnknown
}

// SplitEdits splits an object's value into the body and its edit records.
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

// appendEdit returns body with the new edit record appended to the earlier ones.
// The oldest records beyond maxEditRecords are dropped.
func appendEdit(body json.RawMessage, earlier []EditRecord, edit EditRecord) (json.RawMessage, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil || members == nil {
		return nil, errors.New("the value of an edited object must be a JSON object")
	}
	edits := append(append([]EditRecord(nil), earlier...), edit)
	if len(edits) > maxEditRecords {
		edits = edits[len(edits)-maxEditRecords:]
	}
	raw, err := json.Marshal(edits)
	if err != nil {
		return nil, err
	}
	members[EditsField] = raw
	return json.Marshal(members)
}
