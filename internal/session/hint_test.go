package session

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// errorFor returns the server's response to a statement that its router refuses.
func errorFor(t *testing.T, refusal *result.Error, retryTimes bool) *pgproto3.ErrorResponse {
	t.Helper()
	router := &fakeRouter{refuse: func(string) *result.Error { return refusal }}
	_, addr := startServer(t, router, func(o *Options) { o.RetryTimes = retryTimes })
	client := login(t, addr, "crew")
	client.send(simpleQuery("select 1"))
	msg, err := client.Receive()
	qt.Assert(t, err, qt.IsNil)
	response, ok := msg.(*pgproto3.ErrorResponse)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", msg))
	return response
}

// Refusals must stay the same where the hints aren't enabled, and those that have a hint, or
// for which waiting doesn't help, everywhere.
func TestHintIsAddedOnlyWhereEnabledAndUseful(t *testing.T) {
	full := result.New(result.QueueFull, "full")
	qt.Check(t, errorFor(t, full, false).Hint, qt.Equals, "")
	qt.Check(t, errorFor(t, full, true).Hint, qt.Matches, `retry after \d+ ms`)
	qt.Check(t, errorFor(t, full.WithRetryAfter(30*time.Millisecond), true).Hint, qt.Equals, "retry after 30 ms")
	qt.Check(t, errorFor(t, result.New(result.UnknownOutcome, "lost"), true).Hint, qt.Equals, "")
	qt.Check(t, errorFor(t, result.New(result.BadSetting, "bad"), true).Hint, qt.Equals, "")
	qt.Check(t, errorFor(t, result.New(result.Draining, "leaving"), true).Hint, qt.Equals, "retry after 0 ms")
	qt.Check(t, errorFor(t, result.New(result.Draining, "leaving"), false).Hint, qt.Equals, "")
}

// Callers refused together that get the same hint are refused again.
func TestHintsAreSpreadAndBounded(t *testing.T) {
	var p hintPacer
	now := time.Unix(1_000_000, 0)
	told, last := 0, time.Duration(0)
	for range 1000 {
		wait, ok := p.next(now, 500*time.Millisecond)
		if !ok {
			continue
		}
		qt.Check(t, wait > last && wait <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s after %s", wait, last))
		told, last = told+1, wait
	}
	qt.Check(t, told, qt.Equals, 200) // 0.8 of 500 a second, for half a second
	_, ok := p.next(now.Add(10*time.Millisecond), 500*time.Millisecond)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("the rest of the crowd must not take the times of later callers"))
}
