package statement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/result"
)

// A code that guarantees that nothing is kept maps to a result code of the group
// "not run", and no code of the group "outcome unknown" guarantees anything.
func TestCodesMatchTheirResultGroups(t *testing.T) {
	for c := OK; c < codeCount; c++ {
		group := c.Result().Group()
		if c.HadNoEffect() {
			qt.Check(t, group, qt.Equals, result.GroupNotRun, qt.Commentf("%s", c))
		}
		if group == result.GroupUnknown {
			qt.Check(t, c.HadNoEffect() || c.NotRun(), qt.IsFalse, qt.Commentf("%s", c))
		}
		qt.Check(t, c.String() != "", qt.IsTrue)
	}
}

// Hosts of different versions send each other codes as numbers. If a new code took the
// number of another one, an outcome that guarantees nothing could be read as not run.
func TestCodesKeepTheirNumbers(t *testing.T) {
	qt.Check(t, InDoubt, qt.Equals, Code(12))
	qt.Check(t, Unrecognized, qt.Equals, Code(13))
	qt.Check(t, NoAuth, qt.Equals, Code(14))
}
