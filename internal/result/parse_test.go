package result

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Error{
			Code:       Code(rapid.IntRange(100, 599).Draw(t, "code")),
			Detail:     rapid.String().Draw(t, "detail"),
			RetryAfter: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "after")),
		}
		got, ok := Parse(e.Error())
		if !ok || *got != e {
			t.Fatalf("Parse(%q) = %+v, %v", e.Error(), got, ok)
		}
	})
}

func TestParseWrappedError(t *testing.T) {
	e := New(QueueFull, "12 wait").WithRetryAfter(30 * time.Millisecond)
	got, ok := Parse(errors.Wrap(e, "exec").Error())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, *got, qt.Equals, *e)
	_, ok = Parse("unexpected EOF")
	qt.Assert(t, ok, qt.IsFalse)
}
