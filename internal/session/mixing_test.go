package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Callers pipeline transactions while routing refuses some of their batches.
// Whatever is refused, no insert runs in another transaction than its own, none
// of a transaction runs alone, and a transaction is kept whole or not at all,
// as its caller was told.
func TestTransactionsNeverMix(t *testing.T) {
	router := &fakeRouter{}
	_, addr := start(t, router, nil)
	example := 0
	rapid.Check(t, func(rt *rapid.T) {
		example++
		script := drawScript(rt, example)
		refused := rapid.SliceOfN(rapid.IntRange(0, 7), len(script), len(script)).Draw(rt, "refused batches: 0")
		router.mu.Lock()
		router.refuse = func(string) *result.Error {
			if len(refused) == 0 || refused[0] != 0 {
				refused = refused[min(1, len(refused)):]
				return nil
			}
			refused = refused[1:]
			return result.New(result.TransactionLost, "the holder died")
		}
		router.mu.Unlock()
		answers := pipeline(t, addr, script)
		if err := checkScript(router, script, answers); err != nil {
			rt.Fatalf("%v\n%v: %v", script, answers, err)
		}
	})
}

// drawScript returns statements that all differ, apart from COMMIT and ROLLBACK.
func drawScript(t *rapid.T, example int) []string {
	kinds := strings.Fields("begin begin begin insert insert insert insert commit commit commit rollback listen listen broken")
	var script []string
	for i := range rapid.IntRange(1, 24).Draw(t, "length") {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		if kind == "insert" {
			kind = fmt.Sprintf("insert %d-%d", example, i)
		}
		script = append(script, kind)
	}
	return append(script, "rollback")
}

// pipeline sends all statements at once and returns the answer to each.
func pipeline(t *testing.T, addr string, script []string) []string {
	r := login(t, addr, "crew")
	defer r.conn.Close()
	var all []pgproto3.FrontendMessage
	for _, sql := range script {
		all = append(all, query(sql))
	}
	r.send(all...)
	var answers []string
	for range script {
		answers = append(answers, r.until("Z"))
	}
	return answers
}

// checkScript compares what the target did with what the caller sent and was
// told.
func checkScript(router *fakeRouter, script, answers []string) error {
	router.mu.Lock()
	defer router.mu.Unlock()
	ranIn := map[string]int{}
	for i, sql := range router.ran {
		if _, twice := ranIn[sql]; twice && strings.HasPrefix(sql, "insert") {
			return fmt.Errorf("%s ran twice", sql)
		}
		ranIn[sql] = router.inside[i]
	}
	block := newBlock()
	for i, sql := range script {
		number, ran := ranIn[sql]
		switch {
		case sql == "begin" && !block.open:
			block = newBlock()
			block.open = true
		case sql == "commit" || sql == "rollback":
			if err := block.end(router.kept, strings.HasPrefix(answers[i], "COMMIT")); err != nil {
				return err
			}
			block = newBlock()
		case !strings.HasPrefix(sql, "insert"):
			block.whole = block.whole && sql == "begin"
		case ran && block.open != (number != 0):
			return fmt.Errorf("%s: within a transaction %v, ran in number %d", sql, block.open, number)
		case block.open:
			block.add(number, ran)
		}
	}
	return nil
}

// block is one transaction as its caller sees it.
type block struct {
	open    bool
	whole   bool // everything in it ran
	numbers map[int]bool
}

func newBlock() *block { return &block{whole: true, numbers: map[int]bool{}} }

func (b *block) add(number int, ran bool) {
	b.whole = b.whole && ran
	if ran {
		b.numbers[number] = true
	}
}

func (b *block) end(kept map[int]bool, told bool) error {
	if len(b.numbers) > 1 {
		return fmt.Errorf("one transaction ran in %v", b.numbers)
	}
	for number := range b.numbers {
		if kept[number] != told {
			return fmt.Errorf("told commit: %v, kept: %v", told, kept[number])
		}
		if kept[number] && !b.whole {
			return fmt.Errorf("a part of a transaction was kept")
		}
	}
	return nil
}
