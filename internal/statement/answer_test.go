package statement

import (
	"bytes"
	"encoding/gob"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A large answer, which holds memory, must reach the host that forwarded its statement.
func TestAnswerThatHoldsMemoryCanBeSent(t *testing.T) {
	var stream bytes.Buffer
	qt.Assert(t, gob.NewEncoder(&stream).Encode(&Answer{Rows: []string{"a"}, Release: func() {}}), qt.IsNil)
	var got Answer
	qt.Assert(t, gob.NewDecoder(&stream).Decode(&got), qt.IsNil)
	qt.Check(t, got.Rows, qt.DeepEquals, []string{"a"})
	qt.Check(t, got.Release, qt.IsNil)
}
