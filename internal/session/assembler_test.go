package session

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// encodeMessages returns messages in wire format.
func encodeMessages(t testing.TB, msgs ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var wire []byte
	for _, m := range msgs {
		var err error
		wire, err = m.Encode(wire)
		qt.Assert(t, err, qt.IsNil)
	}
	return wire
}

// The target name of a prepared statement depends on its text. Two sessions get
// the same name for the same text, and reusing a client name for another text
// doesn't mix the two statements up.
func TestAssemblerNamesStatementsByTheirText(t *testing.T) {
	parse := func(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }
	asm, otherAsm := newAssembler(1<<20), newAssembler(1<<20)
	asm.add(parse("s1", "select 1"))
	asm.add(parse("s1", "select 2"))
	asm.add(&pgproto3.Bind{PreparedStatement: "s1"})
	first := asm.add(&pgproto3.Sync{})
	qt.Assert(t, first.statements, qt.HasLen, 2)
	asm.add(&pgproto3.Bind{PreparedStatement: "s1"})
	second := asm.add(&pgproto3.Sync{})
	qt.Assert(t, second.statements, qt.HasLen, 1)
	qt.Assert(t, second.statements[0].SQL, qt.Equals, "select 2")
	otherAsm.add(parse("other name", "select 2"))
	third := otherAsm.add(&pgproto3.Sync{})
	qt.Assert(t, third.statements[0].Name, qt.Equals, second.statements[0].Name)
	qt.Assert(t, prepareSQL("select 2", []uint32{23}).targetStatement.Name, qt.Not(qt.Equals), third.statements[0].Name)
}

func TestPreparedStatementTextIsBounded(t *testing.T) {
	asm := newAssembler(maxPreparedSQLBytes)
	longSQL := string(make([]byte, maxPreparedSQLBytes/4))
	for range 10 {
		qt.Assert(t, asm.add(&pgproto3.Parse{Name: "a", Query: longSQL}), qt.IsNil)
		qt.Assert(t, asm.add(&pgproto3.Sync{}).refusal == nil, qt.IsTrue)
	}
	for _, name := range []string{"b", "c", "d"} {
		qt.Assert(t, asm.add(&pgproto3.Parse{Name: name, Query: longSQL}), qt.IsNil)
		asm.add(&pgproto3.Sync{})
	}
	b := asm.add(&pgproto3.Parse{Name: "e", Query: longSQL})
	qt.Assert(t, b.refusal.Code, qt.Equals, result.MessageTooLarge)
	asm.add(&pgproto3.Sync{})
	asm.add(&pgproto3.Close{ObjectType: 'S', Name: "a"})
	qt.Assert(t, asm.add(&pgproto3.Parse{Name: "e", Query: longSQL}), qt.IsNil)
}

// Arbitrary input must not cause a panic. Batches must stay within their limit, and
// every prepared statement that a batch refers to must be defined in it.
func FuzzMessages(f *testing.F) {
	f.Add(encodeMessages(f, simpleQuery("select 1"), simpleQuery("begin; commit")))
	f.Add(encodeMessages(f, &pgproto3.Parse{Name: "a", Query: "begin"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	f.Add(encodeMessages(f, &pgproto3.Parse{Query: "x"}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add([]byte("F\x00\x00\x00\x06\x00\x00"))
	f.Add([]byte("B\x00\x00\x00\x08\x00\x00\xff\xff"))
	const maxBatchBytes = 4096
	f.Fuzz(func(t *testing.T, wire []byte) {
		backend := pgproto3.NewBackend(bytes.NewReader(wire), nil)
		backend.SetMaxBodyLen(maxBatchBytes)
		asm := newAssembler(maxBatchBytes)
		for {
			msg, err := backend.Receive()
			if err != nil {
				return
			}
			b := asm.add(msg)
			if b == nil {
				continue
			}
			if len(b.messages) > maxBatchBytes+16 {
				t.Fatalf("batch has %d bytes", len(b.messages))
			}
			b.summarize()
			checkStatementsDefined(t, b)
		}
	})
}

// checkStatementsDefined fails the test if a Bind refers to a prepared statement
// that the batch doesn't define.
func checkStatementsDefined(t *testing.T, b *batch) {
	defined := map[string]bool{}
	for _, s := range b.statements {
		defined[s.Name] = true
	}
	reader := pgproto3.NewBackend(bytes.NewReader(b.messages), nil)
	for {
		msg, err := reader.Receive()
		if err != nil {
			return
		}
		if bind, ok := msg.(*pgproto3.Bind); ok && !defined[bind.PreparedStatement] {
			t.Fatalf("statement %q isn't defined", bind.PreparedStatement)
		}
	}
}
