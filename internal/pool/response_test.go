package pool

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

// modelTarget responds to the messages of a plan as a target would: with one
// terminal response per message, and with nothing but ReadyForQuery after an
// error.
type modelTarget struct {
	statements map[string]bool
	failAt     int // index of the message that fails, -1 for none
}

func (m *modelTarget) respond(wire []byte) ([]pgproto3.BackendMessage, error) {
	frames, err := splitFrames(wire)
	if err != nil {
		return nil, err
	}
	var out []pgproto3.BackendMessage
	for i, f := range frames {
		if f.kind == 'S' {
			return append(out, &pgproto3.ReadyForQuery{TxStatus: 'I'}), nil
		}
		if i == m.failAt {
			out = append(out, &pgproto3.ErrorResponse{Code: "22012"})
			return append(out, &pgproto3.ReadyForQuery{TxStatus: 'I'}), nil
		}
		responses, err := m.respondTo(f)
		if err != nil {
			return nil, err
		}
		out = append(out, responses...)
	}
	return out, nil
}

func (m *modelTarget) respondTo(f frame) ([]pgproto3.BackendMessage, error) {
	switch f.kind {
	case 'P':
		var p pgproto3.Parse
		if err := p.Decode(f.body); err != nil {
			return nil, err
		}
		if p.Name != "" && m.statements[p.Name] {
			return nil, fmt.Errorf("%s is prepared twice", p.Name)
		}
		m.statements[p.Name] = true
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}, nil
	case 'B':
		var b pgproto3.Bind
		if err := b.Decode(f.body); err != nil {
			return nil, err
		}
		if !m.statements[b.PreparedStatement] {
			return nil, fmt.Errorf("%s isn't prepared", b.PreparedStatement)
		}
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}, nil
	case 'D':
		return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}, nil
	case 'E':
		return []pgproto3.BackendMessage{&pgproto3.DataRow{}, &pgproto3.CommandComplete{CommandTag: []byte("X")}}, nil
	case 'C':
		var c pgproto3.Close
		if err := c.Decode(f.body); err != nil {
			return nil, err
		}
		delete(m.statements, c.Name)
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}, nil
	}
	return nil, fmt.Errorf("message %c", f.kind)
}

// drawBatch returns a random batch and the types of the messages that its
// caller must get.
func drawBatch(t *rapid.T, definitions []Statement) (messages []byte, want []string) {
	add := func(m pgproto3.FrontendMessage, answer string) {
		messages, _ = m.Encode(messages)
		want = append(want, answer)
	}
	for range rapid.IntRange(0, 8).Draw(t, "messages") {
		name := definitions[rapid.IntRange(0, len(definitions)-1).Draw(t, "statement")].Name
		switch rapid.SampledFrom([]string{"P", "B", "D", "E", "C"}).Draw(t, "kind") {
		case "P":
			add(&pgproto3.Parse{Name: name, Query: "q"}, "1")
		case "B":
			add(&pgproto3.Bind{PreparedStatement: name}, "2")
		case "D":
			add(&pgproto3.Describe{ObjectType: 'S', Name: name}, "tn")
		case "E":
			add(&pgproto3.Execute{}, "DC")
		case "C":
			add(&pgproto3.Close{ObjectType: 'S', Name: name}, "3")
		}
	}
	messages, _ = (&pgproto3.Sync{}).Encode(messages)
	return messages, want
}

// Over many batches on one connection, each message gets exactly its own
// response, in order, up to the message that fails. No statement is prepared
// twice or missing, and the cache matches the statements that the target has.
func TestEachMessageGetsItsOwnResponse(t *testing.T) {
	var definitions []Statement
	for i := range maxStatementsPerConn + 20 {
		definitions = append(definitions, Statement{Name: fmt.Sprintf("s%d", i), SQL: "q"})
	}
	rapid.Check(t, func(t *rapid.T) {
		model := &modelTarget{statements: map[string]bool{}}
		cache := newStatementCache()
		for i := range rapid.IntRange(0, maxStatementsPerConn).Draw(t, "prepared") {
			cache.touch(definitions[i].Name)
			model.statements[definitions[i].Name] = true
		}
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			messages, want := drawBatch(t, definitions)
			model.failAt = rapid.IntRange(-1, 10).Draw(t, "fails")
			got, failed := runBatchOnModel(t, model, cache, messages, definitions)
			checkResponses(t, got, want, failed)
			if cache.len() != len(model.statements) || cache.len() > maxStatementsPerConn {
				t.Fatalf("cache has %d statements, the target %d", cache.len(), len(model.statements))
			}
		}
	})
}

func runBatchOnModel(t *rapid.T, model *modelTarget, cache *statementCache, messages []byte, definitions []Statement) (got string, failed bool) {
	p, err := makePlan(messages, definitionsIn(messages, definitions), cache)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	responses, err := model.respond(p.wire)
	if err != nil {
		t.Fatalf("target: %v", err)
	}
	resp := newResponse(p, cache)
	for _, msg := range responses {
		if err := resp.consume(msg); err != nil {
			t.Fatalf("%T: %v", msg, err)
		}
	}
	if !resp.done {
		t.Fatalf("not done")
	}
	return messageTypes(resp.takeChunk()), resp.sqlState != ""
}

// definitionsIn returns the definitions of the statements that a batch names,
// as a session sends them.
func definitionsIn(messages []byte, all []Statement) []Statement {
	var named []Statement
	for _, d := range all {
		if strings.Contains(string(messages), d.Name+"\x00") {
			named = append(named, d)
		}
	}
	return named
}

func checkResponses(t *rapid.T, got string, want []string, failed bool) {
	whole := strings.Join(want, "")
	if !failed {
		if got != whole {
			t.Fatalf("got %s, want %s", got, whole)
		}
		return
	}
	before, ok := strings.CutSuffix(got, "E")
	if !ok {
		t.Fatalf("got %s, want an error last", got)
	}
	for n := range want {
		if before == strings.Join(want[:n], "") {
			return
		}
	}
	t.Fatalf("got %s, want the start of %s", got, whole)
}

func TestResponsesOutOfOrderAreRejected(t *testing.T) {
	for _, test := range []struct {
		name string
		msgs []pgproto3.BackendMessage
	}{
		{"another message's response", []pgproto3.BackendMessage{&pgproto3.BindComplete{}}},
		{"one too many", []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ParseComplete{}}},
		{"ready too early", []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{}}},
	} {
		messages, _ := (&pgproto3.Parse{Query: "q"}).Encode(nil)
		messages, _ = (&pgproto3.Sync{}).Encode(messages)
		cache := newStatementCache()
		p, err := makePlan(messages, nil, cache)
		qt.Assert(t, err, qt.IsNil)
		resp := newResponse(p, cache)
		for _, msg := range test.msgs {
			err = resp.consume(msg)
		}
		qt.Check(t, err, qt.Equals, errResponseOrder, qt.Commentf("%s", test.name))
	}
}

func TestBatchesWithoutExactlyOneSyncOrQueryAreRefused(t *testing.T) {
	sync, _ := (&pgproto3.Sync{}).Encode(nil)
	query, _ := (&pgproto3.Query{String: "q"}).Encode(nil)
	copyData, _ := (&pgproto3.CopyData{Data: []byte("x")}).Encode(nil)
	for _, batch := range [][]byte{nil, query[:3], query[:6], append(sync, sync...), append(query, sync...), append(copyData, sync...)} {
		_, err := makePlan(batch, nil, newStatementCache())
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", batch))
	}
}
