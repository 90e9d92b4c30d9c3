package session

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

// definition is a prepared statement of the session.
type definition struct {
	target     pool.Statement // under the name that targets know
	statements []statement
}

// define returns the definition of SQL text with parameter types. Its name at
// targets depends on both only, so that sessions share it.
func define(sql string, oids []uint32) *definition {
	return &definition{
		target:     pool.Statement{Name: targetName(sql, oids), SQL: sql, ParamOIDs: oids},
		statements: parseStatements(sql),
	}
}

func targetName(sql string, oids []uint32) string {
	h := xxhash.New()
	_, _ = h.WriteString(sql) // a hash never fails
	_, _ = h.Write([]byte{0})
	for _, oid := range oids {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return "nw_" + hex.EncodeToString(h.Sum(nil))
}

// opKind is the type byte of a frontend message.
type opKind byte

// Frontend messages that a batch may hold.
const (
	opQuery    opKind = 'Q'
	opParse    opKind = 'P'
	opBind     opKind = 'B'
	opDescribe opKind = 'D'
	opExecute  opKind = 'E'
	opClose    opKind = 'C'
)

// op is one message of a batch, as far as the session needs it.
type op struct {
	kind       opKind
	portal     bool        // Describe, Close: of a portal
	definition *definition // nil when it isn't known
	end        int         // of its message in the batch's messages
}

// batch is what a caller sent up to a Query, Sync or Flush.
type batch struct {
	ops        []op
	messages   []byte           // for the target, with its statement names
	statements []pool.Statement // that messages name, each once
	ready      bool             // answered with ReadyForQuery
	refusal    *result.Error    // refused before its end was read
	fatal      bool             // the connection ends with the refusal
}

// use adds a definition to those that the batch names.
func (b *batch) use(d *definition) {
	for _, s := range b.statements {
		if s.Name == d.target.Name {
			return
		}
	}
	b.statements = append(b.statements, d.target)
}

// splitBegin cuts a batch of the extended protocol after a BEGIN that is its
// first statement, so that the BEGIN can be answered by the session. It returns
// nil and the batch itself when there is no such BEGIN or nothing follows it.
func (b *batch) splitBegin() (begin, rest *batch) {
	for i, o := range b.ops {
		if o.definition == nil || !o.definition.is(kindBegin) {
			return nil, b
		}
		if o.kind != opExecute {
			continue
		}
		if i+1 == len(b.ops) {
			return nil, b
		}
		rest = &batch{ops: b.ops[i+1:], messages: b.messages[o.end:], statements: b.statements, ready: b.ready}
		return &batch{ops: b.ops[:i+1]}, rest
	}
	return nil, b
}

// is tells whether the definition is one statement of that kind.
func (d *definition) is(k kind) bool {
	return len(d.statements) == 1 && d.statements[0].kind == k
}
