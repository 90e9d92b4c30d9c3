package platform

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestResolveEditMatchesHistory applies concurrent edits, some with a stale base
// version, to one object and compares the outcome that ResolveEdit derives from
// the final object with what happened to each edit.
func TestResolveEditMatchesHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := Object{}
		var earlier []EditRecord
		laterEdits := map[EditRecord]int{} // number of later edits of each edit that took effect
		var allEdits []EditRecord
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			base := current.Version
			if rapid.Bool().Draw(t, "stale") && base > 0 {
				base = rapid.Uint64Range(0, base-1).Draw(t, "base")
			}
			edit := EditRecord{ID: fmt.Sprint(i), Base: base}
			allEdits = append(allEdits, edit)
			if base != current.Version {
				continue // the version condition fails
			}
			value, err := appendEdit(json.RawMessage(`{"x":1}`), earlier, edit)
			if err != nil {
				t.Fatal(err)
			}
			current = Object{Version: current.Version + 1 + rapid.Uint64Range(0, 3).Draw(t, "gap"), Value: value}
			_, earlier, _ = SplitEdits(value)
			for e := range laterEdits {
				laterEdits[e]++
			}
			laterEdits[edit] = 0
		}
		for _, edit := range allEdits {
			checkOutcome(t, edit, laterEdits, ResolveEdit(edit, current))
		}
	})
}

func checkOutcome(t *rapid.T, edit EditRecord, laterEdits map[EditRecord]int, got EditOutcome) {
	laterCount, applied := laterEdits[edit]
	switch {
	case applied && laterCount < maxEditRecords && got != EditApplied:
		t.Fatalf("edit %v took effect, followed by %d edits; outcome %v", edit, laterCount, got)
	case applied && got != EditApplied && got != EditOutcomeUnknown:
		t.Fatalf("edit %v took effect; outcome %v", edit, got)
	case !applied && got == EditApplied:
		t.Fatalf("edit %v didn't take effect; outcome %v", edit, got)
	}
}
