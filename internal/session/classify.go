package session

import "strings"

// classify determines the kind of a statement from its leading tokens and from
// the features of its whole text.
func classify(leading []sqlToken, features statementFeatures) statement {
	if len(leading) == 0 {
		return statement{}
	}
	if features.sessionBound != "" {
		return statement{kind: kindUnsupported, name: features.sessionBound}
	}
	first := firstAfterParens(leading)
	if first.kind != tokenWord {
		return statement{}
	}
	switch first.text {
	case "begin", "start":
		return classifyBegin(leading)
	case "commit", "end":
		return statement{kind: kindCommit, chained: hasConsecutiveWords(leading, "and", "chain")}.refuseTwoPhase(leading)
	case "rollback", "abort":
		return classifyRollback(leading)
	case "set":
		return classifySet(leading)
	case "reset":
		return statement{kind: kindReset, name: lowerTextAt(leading, 1), toDefault: true}
	case "show":
		return classifyShow(leading)
	case "create":
		return classifyCreate(leading)
	case "declare":
		if features.withHold {
			return statement{kind: kindUnsupported, name: "DECLARE WITH HOLD"}
		}
		return statement{}
	case "deallocate":
		if lowerTextAt(leading, 1) == "all" || (lowerTextAt(leading, 1) == "prepare" && lowerTextAt(leading, 2) == "all") {
			return statement{kind: kindDeallocateAll}
		}
	}
	if sessionBoundKeywords[first.text] {
		return statement{kind: kindUnsupported, name: strings.ToUpper(first.text)}
	}
	if readKeywords[first.text] && !features.modifiesData && !features.selectIntoOrLocking {
		return statement{kind: kindRead, sideEffectFree: !features.callsUnknownFunction}
	}
	return statement{writes: writeStatementKeywords[first.text] || features.modifiesData}
}

// firstAfterParens returns the first token that isn't an opening parenthesis.
func firstAfterParens(leading []sqlToken) sqlToken {
	for _, t := range leading {
		if t != (sqlToken{tokenSymbol, "("}) {
			return t
		}
	}
	return sqlToken{}
}

func classifyBegin(leading []sqlToken) statement {
	if lowerTextAt(leading, 0) == "start" && lowerTextAt(leading, 1) != "transaction" {
		return statement{}
	}
	return statement{
		kind:      kindBegin,
		readOnly:  hasConsecutiveWords(leading, "read", "only"),
		readWrite: hasConsecutiveWords(leading, "read", "write"),
	}
}

func classifyRollback(leading []sqlToken) statement {
	if hasWord(leading, "to") {
		return statement{}
	}
	return statement{kind: kindRollback, chained: hasConsecutiveWords(leading, "and", "chain")}.refuseTwoPhase(leading)
}

// refuseTwoPhase marks COMMIT PREPARED and ROLLBACK PREPARED as unsupported: they
// end a transaction that isn't the connection's own.
func (s statement) refuseTwoPhase(leading []sqlToken) statement {
	if lowerTextAt(leading, 1) == "prepared" {
		return statement{kind: kindUnsupported, name: "two-phase commit"}
	}
	return s
}

// classifySet parses SET [SESSION] name {TO | =} value. SET LOCAL, SET TRANSACTION
// and SET CONSTRAINTS last only for their transaction and are sent to the target.
func classifySet(leading []sqlToken) statement {
	rest := leading[1:]
	if lowerTextAt(rest, 0) == "session" && lowerTextAt(rest, 1) != "characteristics" && lowerTextAt(rest, 1) != "authorization" {
		rest = rest[1:]
	}
	switch lowerTextAt(rest, 0) {
	case "local", "transaction", "constraints":
		return statement{}
	case "session":
		return statement{kind: kindUnsupported, name: "SET SESSION " + strings.ToUpper(lowerTextAt(rest, 1))}
	case "time":
		if lowerTextAt(rest, 1) == "zone" {
			return newSetStatement("timezone", rest[2:])
		}
	case "names":
		return newSetStatement("client_encoding", rest[1:])
	}
	if len(rest) < 2 || (lowerTextAt(rest, 1) != "=" && lowerTextAt(rest, 1) != "to") {
		return statement{kind: kindSet, name: lowerTextAt(rest, 0)}
	}
	return newSetStatement(lowerTextAt(rest, 0), rest[2:])
}

// newSetStatement returns the SET of a setting to the text of the value tokens.
func newSetStatement(name string, value []sqlToken) statement {
	if lowerTextAt(value, 0) == "default" && value[0].kind == tokenWord {
		return statement{kind: kindSet, name: name, toDefault: true}
	}
	var text strings.Builder
	for _, t := range value {
		text.WriteString(t.text)
	}
	return statement{kind: kindSet, name: name, value: text.String()}
}

func classifyShow(leading []sqlToken) statement {
	name := lowerTextAt(leading, 1)
	if isSessionSetting(name) {
		return statement{kind: kindShow, name: name}
	}
	return statement{kind: kindRead, sideEffectFree: true}
}

func classifyCreate(leading []sqlToken) statement {
	for _, t := range leading[1:] {
		switch t.text {
		case "or", "replace", "global", "local":
			continue
		case "temp", "temporary":
			return statement{kind: kindUnsupported, name: "CREATE TEMPORARY"}
		}
		break
	}
	return statement{writes: true}
}

// lowerTextAt returns the lower-case text of token i, or "" if there is none.
func lowerTextAt(tokens []sqlToken, i int) string {
	if i >= len(tokens) {
		return ""
	}
	return strings.ToLower(tokens[i].text)
}

func hasWord(tokens []sqlToken, text string) bool {
	for _, t := range tokens {
		if t.kind == tokenWord && t.text == text {
			return true
		}
	}
	return false
}

// hasConsecutiveWords reports whether the second word directly follows the first.
func hasConsecutiveWords(tokens []sqlToken, first, second string) bool {
	for i := 1; i < len(tokens); i++ {
		if tokens[i-1] == (sqlToken{tokenWord, first}) && tokens[i] == (sqlToken{tokenWord, second}) {
			return true
		}
	}
	return false
}
