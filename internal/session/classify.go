package session

import "strings"

// classify looks at the first words of a statement and at what its whole shows.
func classify(head []sqlToken, seen traits) statement {
	if len(head) == 0 {
		return statement{}
	}
	if seen.bound != "" {
		return statement{kind: kindRefused, name: seen.bound}
	}
	first := skipParens(head)
	if first.kind != word {
		return statement{}
	}
	switch first.text {
	case "begin", "start":
		return classifyBegin(head)
	case "commit", "end":
		return statement{kind: kindCommit, chained: hasWords(head, "and", "chain")}.preparedToo(head)
	case "rollback", "abort":
		return classifyRollback(head)
	case "set":
		return classifySet(head)
	case "reset":
		return statement{kind: kindReset, name: textAt(head, 1), unset: true}
	case "show":
		return classifyShow(head)
	case "create":
		return classifyCreate(head)
	case "declare":
		if seen.withHold {
			return statement{kind: kindRefused, name: "DECLARE WITH HOLD"}
		}
		return statement{}
	case "deallocate":
		if textAt(head, 1) == "all" || (textAt(head, 1) == "prepare" && textAt(head, 2) == "all") {
			return statement{kind: kindForget}
		}
	}
	if boundWords[first.text] {
		return statement{kind: kindRefused, name: strings.ToUpper(first.text)}
	}
	if readWords[first.text] && !seen.writes && !seen.intoOrLocks {
		return statement{kind: kindRead, repeatable: !seen.calls}
	}
	return statement{writes: writingWords[first.text] || seen.writes}
}

// skipParens returns the first piece that isn't an opening parenthesis.
func skipParens(head []sqlToken) sqlToken {
	for _, t := range head {
		if t != (sqlToken{symbol, "("}) {
			return t
		}
	}
	return sqlToken{}
}

func classifyBegin(head []sqlToken) statement {
	if textAt(head, 0) == "start" && textAt(head, 1) != "transaction" {
		return statement{}
	}
	return statement{
		kind:      kindBegin,
		readOnly:  hasWords(head, "read", "only"),
		readWrite: hasWords(head, "read", "write"),
	}
}

func classifyRollback(head []sqlToken) statement {
	if hasWord(head, "to") {
		return statement{}
	}
	return statement{kind: kindRollback, chained: hasWords(head, "and", "chain")}.preparedToo(head)
}

// preparedToo marks COMMIT PREPARED and ROLLBACK PREPARED, which end another
// transaction than the connection's.
func (s statement) preparedToo(head []sqlToken) statement {
	if textAt(head, 1) == "prepared" {
		return statement{kind: kindRefused, name: "two-phase commit"}
	}
	return s
}

// classifySet reads SET [SESSION] name {TO | =} value. SET LOCAL, SET
// TRANSACTION and SET CONSTRAINTS end with their transaction and pass.
func classifySet(head []sqlToken) statement {
	rest := head[1:]
	if textAt(rest, 0) == "session" && textAt(rest, 1) != "characteristics" && textAt(rest, 1) != "authorization" {
		rest = rest[1:]
	}
	switch textAt(rest, 0) {
	case "local", "transaction", "constraints":
		return statement{}
	case "session":
		return statement{kind: kindRefused, name: "SET SESSION " + strings.ToUpper(textAt(rest, 1))}
	case "time":
		if textAt(rest, 1) == "zone" {
			return setStatement("timezone", rest[2:])
		}
	case "names":
		return setStatement("client_encoding", rest[1:])
	}
	if len(rest) < 2 || (textAt(rest, 1) != "=" && textAt(rest, 1) != "to") {
		return statement{kind: kindSet, name: textAt(rest, 0)}
	}
	return setStatement(textAt(rest, 0), rest[2:])
}

func setStatement(name string, value []sqlToken) statement {
	if textAt(value, 0) == "default" && value[0].kind == word {
		return statement{kind: kindSet, name: name, unset: true}
	}
	var text strings.Builder
	for _, t := range value {
		text.WriteString(t.text)
	}
	return statement{kind: kindSet, name: name, value: text.String()}
}

func classifyShow(head []sqlToken) statement {
	name := textAt(head, 1)
	if keptBySession(name) {
		return statement{kind: kindShow, name: name}
	}
	return statement{kind: kindRead, repeatable: true}
}

func classifyCreate(head []sqlToken) statement {
	for _, t := range head[1:] {
		switch t.text {
		case "or", "replace", "global", "local":
			continue
		case "temp", "temporary":
			return statement{kind: kindRefused, name: "CREATE TEMPORARY"}
		}
		break
	}
	return statement{writes: true}
}

func textAt(tokens []sqlToken, i int) string {
	if i >= len(tokens) {
		return ""
	}
	return strings.ToLower(tokens[i].text)
}

func hasWord(tokens []sqlToken, text string) bool {
	for _, t := range tokens {
		if t.kind == word && t.text == text {
			return true
		}
	}
	return false
}

// hasWords tells whether two words follow each other.
func hasWords(tokens []sqlToken, first, second string) bool {
	for i := 1; i < len(tokens); i++ {
		if tokens[i-1] == (sqlToken{word, first}) && tokens[i] == (sqlToken{word, second}) {
			return true
		}
	}
	return false
}
