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
