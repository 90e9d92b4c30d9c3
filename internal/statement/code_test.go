package statement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/result"
)

// What the codes promise agrees with the groups of the numbered codes: a code
// that promises that nothing is kept is of the group that means "not run".
func TestCodesAgreeWithTheNumberedOnes(t *testing.T) {
	for c := OK; c <= Unrecognized; c++ {
		group := c.Result().Group()
		if c.Promise() {
			qt.Check(t, group, qt.Equals, result.GroupNotRun, qt.Commentf("%s", c))
		}
		if group == result.GroupUnknown {
			qt.Check(t, c.Promise() || c.NotRun(), qt.IsFalse, qt.Commentf("%s", c))
		}
		qt.Check(t, c.String() != "", qt.IsTrue)
	}
}
