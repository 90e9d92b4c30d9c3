package session

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// encode returns messages in wire format.
func encode(t testing.TB, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var wire []byte
	for _, m := range messages {
		var err error
		wire, err = m.Encode(wire)
		qt.Assert(t, err, qt.IsNil)
	}
	return wire
}

// Statements go by their text: two sessions' names for one text agree, and one
// name for two texts doesn't mix them.
func TestAssemblerRenamesStatements(t *testing.T) {
	parse := func(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }
	a, other := newAssembler(1<<20), newAssembler(1<<20)
	a.add(parse("s1", "select 1"))
	a.add(parse("s1", "select 2"))
	a.add(&pgproto3.Bind{PreparedStatement: "s1"})
	first := a.add(&pgproto3.Sync{})
	qt.Assert(t, first.statements, qt.HasLen, 2)
	a.add(&pgproto3.Bind{PreparedStatement: "s1"})
	second := a.add(&pgproto3.Sync{})
	qt.Assert(t, second.statements, qt.HasLen, 1)
	qt.Assert(t, second.statements[0].SQL, qt.Equals, "select 2")
	other.add(parse("other name", "select 2"))
	third := other.add(&pgproto3.Sync{})
	qt.Assert(t, third.statements[0].Name, qt.Equals, second.statements[0].Name)
	qt.Assert(t, define("select 2", []uint32{23}).target.Name, qt.Not(qt.Equals), third.statements[0].Name)
}

func TestPreparedStatementsAreBounded(t *testing.T) {
	a := newAssembler(maxSQLBytes)
	long := string(make([]byte, maxSQLBytes/4))
	for range 10 {
		qt.Assert(t, a.add(&pgproto3.Parse{Name: "a", Query: long}), qt.IsNil)
		qt.Assert(t, a.add(&pgproto3.Sync{}).refusal == nil, qt.IsTrue)
	}
	for _, name := range []string{"b", "c", "d"} {
		qt.Assert(t, a.add(&pgproto3.Parse{Name: name, Query: long}), qt.IsNil)
		a.add(&pgproto3.Sync{})
	}
	b := a.add(&pgproto3.Parse{Name: "e", Query: long})
	qt.Assert(t, b.refusal.Code, qt.Equals, result.MessageTooLarge)
	a.add(&pgproto3.Sync{})
	a.add(&pgproto3.Close{ObjectType: 'S', Name: "a"})
	qt.Assert(t, a.add(&pgproto3.Parse{Name: "e", Query: long}), qt.IsNil)
}

// Whatever bytes a caller sends: no panic, bounded batches, and messages that
// a target can read, all of whose statements are defined.
func FuzzMessages(f *testing.F) {
	f.Add(encode(f, query("select 1"), query("begin; commit")))
	f.Add(encode(f, &pgproto3.Parse{Name: "a", Query: "begin"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	f.Add(encode(f, &pgproto3.Parse{Query: "x"}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add([]byte("F\x00\x00\x00\x06\x00\x00"))
	f.Add([]byte("B\x00\x00\x00\x08\x00\x00\xff\xff"))
	const limit = 4096
	f.Fuzz(func(t *testing.T, wire []byte) {
		backend := pgproto3.NewBackend(bytes.NewReader(wire), nil)
		backend.SetMaxBodyLen(limit)
		a := newAssembler(limit)
		for {
			msg, err := backend.Receive()
			if err != nil {
				return
			}
			b := a.add(msg)
			if b == nil {
				continue
			}
			if len(b.messages) > limit+16 {
				t.Fatalf("a batch of %d bytes", len(b.messages))
			}
			b.facts()
			checkNamed(t, b)
		}
	})
}

func checkNamed(t *testing.T, b *batch) {
	defined := map[string]bool{}
	for _, s := range b.statements {
		defined[s.Name] = true
	}
	read := pgproto3.NewBackend(bytes.NewReader(b.messages), nil)
	for {
		msg, err := read.Receive()
		if err != nil {
			return
		}
		if bind, ok := msg.(*pgproto3.Bind); ok && !defined[bind.PreparedStatement] {
			t.Fatalf("statement %q isn't defined", bind.PreparedStatement)
		}
	}
}
