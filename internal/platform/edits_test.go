package platform

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestJudgeTellsTheTruth lets edits race on one object and compares the
// verdict on each with what really happened, some edits later.
func TestJudgeTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := Object{}
		var earlier []EditRecord
		won := map[EditRecord]int{} // how many edits came after
		var all []EditRecord
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			base := current.Version
			if rapid.Bool().Draw(t, "stale") && base > 0 {
				base = rapid.Uint64Range(0, base-1).Draw(t, "base")
			}
			edit := EditRecord{ID: fmt.Sprint(i), Base: base}
			all = append(all, edit)
			if base != current.Version {
				continue // the condition fails
			}
			value, err := withEdit(json.RawMessage(`{"x":1}`), earlier, edit)
			if err != nil {
				t.Fatal(err)
			}
			current = Object{Version: current.Version + 1 + rapid.Uint64Range(0, 3).Draw(t, "gap"), Value: value}
			_, earlier, _ = SplitEdits(value)
			for e := range won {
				won[e]++
			}
			won[edit] = 0
		}
		for _, edit := range all {
			checkVerdict(t, edit, won, Judge(edit, current))
		}
	})
}

func checkVerdict(t *rapid.T, edit EditRecord, won map[EditRecord]int, got Verdict) {
	later, took := won[edit]
	switch {
	case took && later < editsKept && got != TookEffect:
		t.Fatalf("edit %v took effect, %d came later, verdict %v", edit, later, got)
	case took && got != TookEffect && got != Forgotten:
		t.Fatalf("edit %v took effect, verdict %v", edit, got)
	case !took && got == TookEffect:
		t.Fatalf("edit %v didn't take effect, verdict %v", edit, got)
	}
}
