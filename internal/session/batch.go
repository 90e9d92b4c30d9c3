package session

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

// parsedSQL is the SQL text of a Query or of a prepared statement, split into
// statements.
type parsedSQL struct {
	targetStatement pool.Statement // prepared statement under its target name; zero for a Query
	statements      []statement
}

// prepareSQL returns the prepared statement for SQL text and parameter types. Its
// name on targets depends only on these two, so that sessions share it.
func prepareSQL(sql string, oids []uint32) *parsedSQL {
	return &parsedSQL{
		targetStatement: pool.Statement{Name: targetStatementName(sql, oids), SQL: sql, ParamOIDs: oids},
		statements:      parseStatements(sql),
	}
}

// targetStatementName returns the name of a prepared statement on targets.
func targetStatementName(sql string, oids []uint32) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(sql) // writing to a hash never fails
	_, _ = hash.Write([]byte{0})
	for _, oid := range oids {
		_, _ = hash.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return "nw_" + hex.EncodeToString(hash.Sum(nil))
}

// opKind is the type byte of a frontend message in the PostgreSQL protocol.
type opKind byte

// Frontend messages that a batch may contain.
const (
	opQuery    opKind = 'Q'
	opParse    opKind = 'P'
	opBind     opKind = 'B'
	opDescribe opKind = 'D'
	opExecute  opKind = 'E'
	opClose    opKind = 'C'
)

// op describes one message of a batch.
type op struct {
	kind       opKind
	portal     bool       // the message is an Execute, or a Describe or Close of a portal
	sql        *parsedSQL // SQL text that the message refers to, nil if unknown
	messageEnd int        // offset of the end of the message in batch.messages
}

// batch holds a client's messages up to a Query, Sync or Flush.
type batch struct {
	ops        []op
	messages   []byte           // wire format for the target, with target statement names
	statements []pool.Statement // prepared statements that messages refer to, without duplicates
	wantsReady bool             // the response ends with ReadyForQuery
	refusal    *result.Error    // the assembler refused the batch
	fatal      bool             // the refusal ends the connection
}

// addStatement adds a prepared statement to those that the batch refers to.
func (b *batch) addStatement(prepared *parsedSQL) {
	for _, s := range b.statements {
		if s.Name == prepared.targetStatement.Name {
			return
		}
	}
	b.statements = append(b.statements, prepared.targetStatement)
}

// splitBegin splits a batch of the extended protocol after a BEGIN that is its
// first statement, so that the session can answer the BEGIN itself. It returns
// nil and the whole batch if there is no such BEGIN or nothing follows it.
func (b *batch) splitBegin() (beginBatch, rest *batch) {
	for i, o := range b.ops {
		if o.sql == nil || !o.sql.isSingle(kindBegin) {
			return nil, b
		}
		if o.kind != opExecute {
			continue
		}
		if i+1 == len(b.ops) {
			return nil, b
		}
		rest = &batch{ops: b.ops[i+1:], messages: b.messages[o.messageEnd:], statements: b.statements, wantsReady: b.wantsReady}
		return &batch{ops: b.ops[:i+1]}, rest
	}
	return nil, b
}

// isSingle reports whether the SQL text is a single statement of that kind.
func (p *parsedSQL) isSingle(want kind) bool {
	return len(p.statements) == 1 && p.statements[0].kind == want
}
