package statement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/result"
)

// A code that guarantees that nothing is kept maps to a result code of the group
// "not run", and no code of the group "outcome unknown" guarantees anything.
func TestCodesMatchTheirResultGroups(t *testing.T) {
	for c := OK; c <= Unrecognized; c++ {
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
