package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Clients pipeline transactions while routing refuses some of their batches.
// Whichever batches are refused, an insert must run only in its own transaction and
// never outside it. A transaction must be committed as a whole or not at all, and
// the client must be told which.
func TestPipelinedTransactionsStayAtomic(t *testing.T) {
	router := &fakeRouter{}
	_, addr := startServer(t, router, nil)
	scriptNumber := 0
	rapid.Check(t, func(rt *rapid.T) {
		scriptNumber++
		script := drawScript(rt, scriptNumber)
		refused := rapid.SliceOfN(rapid.IntRange(0, 7), len(script), len(script)).Draw(rt, "refused batches: 0")
		router.mu.Lock()
		router.refuse = func(string) *result.Error {
			if len(refused) == 0 || refused[0] != 0 {
				refused = refused[min(1, len(refused)):]
				return nil
			}
			refused = refused[1:]
			return result.New(result.TransactionLost, "the target connection was lost")
		}
		router.mu.Unlock()
		responses := sendPipelined(t, addr, script)
		if err := checkScript(router, script, responses); err != nil {
			rt.Fatalf("%v\n%v: %v", script, responses, err)
		}
	})
}

// drawScript returns random statements that end with ROLLBACK. All inserts of a
// script differ.
func drawScript(t *rapid.T, scriptNumber int) []string {
	kinds := strings.Fields("begin begin begin insert insert insert insert commit commit commit rollback listen listen broken")
	var script []string
	for i := range rapid.IntRange(1, 24).Draw(t, "length") {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		if kind == "insert" {
			kind = fmt.Sprintf("insert %d-%d", scriptNumber, i)
		}
		script = append(script, kind)
	}
	return append(script, "rollback")
}

// sendPipelined sends all statements at once and returns the response to each.
func sendPipelined(t *testing.T, addr string, script []string) []string {
	client := login(t, addr, "crew")
	defer client.conn.Close()
	var all []pgproto3.FrontendMessage
	for _, sql := range script {
		all = append(all, simpleQuery(sql))
	}
	client.send(all...)
	var responses []string
	for range script {
		responses = append(responses, client.until("Z"))
	}
	return responses
}

// checkScript compares the statements that the target ran with those that the
// client sent and with the responses to them.
func checkScript(router *fakeRouter, script, responses []string) error {
	router.mu.Lock()
	defer router.mu.Unlock()
	executedInTx := map[string]int{}
	for i, sql := range router.executed {
		if _, twice := executedInTx[sql]; twice && strings.HasPrefix(sql, "insert") {
			return fmt.Errorf("%s was executed twice", sql)
		}
		executedInTx[sql] = router.executedInTx[i]
	}
	tx := newClientTx()
	for i, sql := range script {
		txNumber, executed := executedInTx[sql]
		switch {
		case sql == "begin" && !tx.open:
			tx = newClientTx()
			tx.open = true
		case sql == "commit" || sql == "rollback":
			if err := tx.end(router.committed, strings.HasPrefix(responses[i], "COMMIT")); err != nil {
				return err
			}
			tx = newClientTx()
		case !strings.HasPrefix(sql, "insert"):
			tx.complete = tx.complete && sql == "begin"
		case executed && tx.open != (txNumber != 0):
			return fmt.Errorf("%s: sent within a transaction: %v, executed in transaction number %d", sql, tx.open, txNumber)
		case tx.open:
			tx.add(txNumber, executed)
		}
	}
	return nil
}

// clientTx is a transaction as the client sees it.
type clientTx struct {
	open      bool
	complete  bool         // all statements of the transaction were executed
	targetTxs map[int]bool // numbers of the target's transactions that ran its inserts
}

func newClientTx() *clientTx { return &clientTx{complete: true, targetTxs: map[int]bool{}} }

func (tx *clientTx) add(txNumber int, executed bool) {
	tx.complete = tx.complete && executed
	if executed {
		tx.targetTxs[txNumber] = true
	}
}

func (tx *clientTx) end(committed map[int]bool, reportedCommit bool) error {
	if len(tx.targetTxs) > 1 {
		return fmt.Errorf("the statements of one transaction were executed in %v", tx.targetTxs)
	}
	for txNumber := range tx.targetTxs {
		if committed[txNumber] != reportedCommit {
			return fmt.Errorf("reported as committed: %v, committed: %v", reportedCommit, committed[txNumber])
		}
		if committed[txNumber] && !tx.complete {
			return fmt.Errorf("only a part of a transaction was committed")
		}
	}
	return nil
}
