package session

import "strings"

// tokenKind is the kind of a piece of SQL text.
type tokenKind int

const (
	endOfText  tokenKind = iota
	word                 // keyword, name with its dots, or number; in lower case
	quotedName           // "name", without the quotes
	literal              // 'text', without the quotes
	symbol               // any other character
)

// sqlToken is one piece of SQL text.
type sqlToken struct {
	kind tokenKind
	text string
}

// lexer cuts SQL text into pieces and drops white space and comments. It knows
// quoting and nothing of the grammar; unfinished quotes end with the text.
type lexer struct {
	rest string
}

// next returns the following piece.
func (l *lexer) next() sqlToken {
	l.skipBlank()
	if l.rest == "" {
		return sqlToken{}
	}
	c := l.rest[0]
	switch {
	case c == '\'':
		return sqlToken{literal, l.quoted('\'', false)}
	case c == '"':
		return sqlToken{quotedName, l.quoted('"', false)}
	case (c == 'e' || c == 'E') && strings.HasPrefix(l.rest[1:], "'"):
		l.rest = l.rest[1:]
		return sqlToken{literal, l.quoted('\'', true)}
	case c == '$':
		if text, ok := l.dollarQuoted(); ok {
			return sqlToken{literal, text}
		}
	case isWordByte(c):
		return sqlToken{word, l.word()}
	}
	text := l.rest[:1]
	l.rest = l.rest[1:]
	return sqlToken{symbol, text}
}

func (l *lexer) skipBlank() {
	for {
		l.skipSpace()
		switch {
		case strings.HasPrefix(l.rest, "--"):
			l.skipLine()
		case strings.HasPrefix(l.rest, "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

func (l *lexer) skipSpace() {
	i := 0
	for i < len(l.rest) && (l.rest[i] == ' ' || (l.rest[i] >= '\t' && l.rest[i] <= '\r')) {
		i++
	}
	l.rest = l.rest[i:]
}

func (l *lexer) skipLine() {
	end := strings.IndexAny(l.rest, "\r\n")
	if end < 0 {
		end = len(l.rest)
	}
	l.rest = l.rest[end:]
}

// skipComment drops a comment with the comments nested in it.
func (l *lexer) skipComment() {
	depth := 0
	for i := 0; i < len(l.rest); i++ {
		switch {
		case strings.HasPrefix(l.rest[i:], "/*"):
			depth++
			i++
		case strings.HasPrefix(l.rest[i:], "*/"):
			depth--
			i++
		}
		if depth == 0 {
			l.rest = l.rest[i+1:]
			return
		}
	}
	l.rest = ""
}

// quoted reads text between quotes; a doubled quote stands for one.
func (l *lexer) quoted(quote byte, backslash bool) string {
	end := strings.IndexByte(l.rest[1:], quote) + 1
	if end == 0 {
		text := l.rest[1:]
		l.rest = ""
		return text
	}
	plain := !backslash && (end+1 == len(l.rest) || l.rest[end+1] != quote)
	if !plain {
		return l.escaped(quote, backslash)
	}
	text := l.rest[1:end]
	l.rest = l.rest[end+1:]
	return text
}

// escaped reads quoted text that may hold its own quote.
func (l *lexer) escaped(quote byte, backslash bool) string {
	var text strings.Builder
	for i := 1; i < len(l.rest); i++ {
		c := l.rest[i]
		switch {
		case backslash && c == '\\' && i+1 < len(l.rest):
			i++
			text.WriteByte(l.rest[i])
		case c != quote:
			text.WriteByte(c)
		case i+1 < len(l.rest) && l.rest[i+1] == quote:
			i++
			text.WriteByte(quote)
		default:
			l.rest = l.rest[i+1:]
			return text.String()
		}
	}
	l.rest = ""
	return text.String()
}

// dollarQuoted reads $tag$text$tag$. A parameter such as $1 is none.
func (l *lexer) dollarQuoted() (string, bool) {
	end := strings.IndexByte(l.rest[1:], '$')
	if end < 0 {
		return "", false
	}
	tag := l.rest[:end+2]
	for i := 1; i < len(tag)-1; i++ {
		if !isWordByte(tag[i]) || tag[i] == '.' || (i == 1 && isDigit(tag[i])) {
			return "", false
		}
	}
	body := l.rest[len(tag):]
	stop := strings.Index(body, tag)
	if stop < 0 {
		l.rest = ""
		return body, true
	}
	l.rest = body[stop+len(tag):]
	return body[:stop], true
}

func (l *lexer) word() string {
	end := 1
	for end < len(l.rest) && (isWordByte(l.rest[end]) || l.rest[end] == '$') {
		end++
	}
	text := strings.ToLower(l.rest[:end])
	l.rest = l.rest[end:]
	return text
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool { return wordBytes[c] }

// wordBytes are the bytes of names, numbers and their dots.
var wordBytes = func() (set [256]bool) {
	for i := range set {
		c := byte(i)
		set[i] = c == '_' || c == '.' || c >= 0x80 || isDigit(c) ||
			(c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
	}
	return set
}()
