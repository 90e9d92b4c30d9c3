package topology

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestPositionTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Position{Term: rapid.Uint64().Draw(t, "term"), Offset: rapid.Uint64().Draw(t, "offset")}
		got, err := ParsePosition(p.String())
		if err != nil || got != p {
			t.Fatalf("ParsePosition(String(%v)) = %v, %v", p, got, err)
		}
	})
}

func TestParsePositionRejectsInvalidText(t *testing.T) {
	for _, s := range []string{"", "1", "1/", "/1", "1/2/3", "01/2", "-1/2", "1/2 "} {
		_, err := ParsePosition(s)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", s))
	}
}
