package session

import "strings"

// tokenKind is the kind of an SQL token.
type tokenKind int

const (
	tokenEOF        tokenKind = iota
	tokenWord                 // keyword, number, or name with dots; in lower case
	tokenQuotedName           // "name", without the quotes
	tokenLiteral              // 'text', without the quotes
	tokenSymbol               // any other character
)

// sqlToken is one token of SQL text.
type sqlToken struct {
	kind tokenKind
	text string
}

// lexer splits SQL text into tokens and skips white space and comments. It
// handles quoting but no grammar. An unterminated quote extends to the end of the
// text.
type lexer struct {
	remaining string
}

// next returns the next token, of kind tokenEOF at the end of the text.
func (l *lexer) next() sqlToken {
	l.skipSpaceAndComments()
	if l.remaining == "" {
		return sqlToken{}
	}
	c := l.remaining[0]
	switch {
	case c == '\'':
		return sqlToken{tokenLiteral, l.readQuoted('\'', false)}
	case c == '"':
		return sqlToken{tokenQuotedName, l.readQuoted('"', false)}
	case (c == 'e' || c == 'E') && strings.HasPrefix(l.remaining[1:], "'"):
		l.remaining = l.remaining[1:]
		return sqlToken{tokenLiteral, l.readQuoted('\'', true)}
	case c == '$':
		if text, ok := l.readDollarQuoted(); ok {
			return sqlToken{tokenLiteral, text}
		}
	case isWordByte(c):
		return sqlToken{tokenWord, l.readWord()}
	}
	text := l.remaining[:1]
	l.remaining = l.remaining[1:]
	return sqlToken{tokenSymbol, text}
}

func (l *lexer) skipSpaceAndComments() {
	for {
		l.skipSpace()
		switch {
		case strings.HasPrefix(l.remaining, "--"):
			l.skipLine()
		case strings.HasPrefix(l.remaining, "/*"):
			l.skipComment()
		default:
			return
		}
	}
}

func (l *lexer) skipSpace() {
	i := 0
	for i < len(l.remaining) && (l.remaining[i] == ' ' || (l.remaining[i] >= '\t' && l.remaining[i] <= '\r')) {
		i++
	}
	l.remaining = l.remaining[i:]
}

func (l *lexer) skipLine() {
	end := strings.IndexAny(l.remaining, "\r\n")
	if end < 0 {
		end = len(l.remaining)
	}
	l.remaining = l.remaining[end:]
}

// skipComment skips a block comment, including nested comments.
func (l *lexer) skipComment() {
	depth := 0
	for i := 0; i < len(l.remaining); i++ {
		switch {
		case strings.HasPrefix(l.remaining[i:], "/*"):
			depth++
			i++
		case strings.HasPrefix(l.remaining[i:], "*/"):
			depth--
			i++
		}
		if depth == 0 {
			l.remaining = l.remaining[i+1:]
			return
		}
	}
	l.remaining = ""
}

// readQuoted reads text between quotes, in which a doubled quote stands for one
// quote. With backslashEscapes, a backslash escapes the next byte.
func (l *lexer) readQuoted(quote byte, backslashEscapes bool) string {
	end := strings.IndexByte(l.remaining[1:], quote) + 1
	if end == 0 {
		text := l.remaining[1:]
		l.remaining = ""
		return text
	}
	plain := !backslashEscapes && (end+1 == len(l.remaining) || l.remaining[end+1] != quote)
	if !plain {
		return l.readEscaped(quote, backslashEscapes)
	}
	text := l.remaining[1:end]
	l.remaining = l.remaining[end+1:]
	return text
}

// readEscaped reads quoted text that may contain escaped quotes.
func (l *lexer) readEscaped(quote byte, backslashEscapes bool) string {
	var text strings.Builder
	for i := 1; i < len(l.remaining); i++ {
		c := l.remaining[i]
		switch {
		case backslashEscapes && c == '\\' && i+1 < len(l.remaining):
			i++
			text.WriteByte(l.remaining[i])
		case c != quote:
			text.WriteByte(c)
		case i+1 < len(l.remaining) && l.remaining[i+1] == quote:
			i++
			text.WriteByte(quote)
		default:
			l.remaining = l.remaining[i+1:]
			return text.String()
		}
	}
	l.remaining = ""
	return text.String()
}

// readDollarQuoted reads $tag$text$tag$. It returns false for other text, such as
// the parameter $1.
func (l *lexer) readDollarQuoted() (string, bool) {
	end := strings.IndexByte(l.remaining[1:], '$')
	if end < 0 {
		return "", false
	}
	tag := l.remaining[:end+2]
	for i := 1; i < len(tag)-1; i++ {
		if !isWordByte(tag[i]) || tag[i] == '.' || (i == 1 && isDigit(tag[i])) {
			return "", false
		}
	}
	body := l.remaining[len(tag):]
	closing := strings.Index(body, tag)
	if closing < 0 {
		l.remaining = ""
		return body, true
	}
	l.remaining = body[closing+len(tag):]
	return body[:closing], true
}

func (l *lexer) readWord() string {
	end := 1
	for end < len(l.remaining) && (isWordByte(l.remaining[end]) || l.remaining[end] == '$') {
		end++
	}
	text := strings.ToLower(l.remaining[:end])
	l.remaining = l.remaining[end:]
	return text
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool { return wordByteTable[c] }

// wordByteTable marks the bytes of names and numbers, including dots.
var wordByteTable = func() (set [256]bool) {
	for i := range set {
		c := byte(i)
		set[i] = c == '_' || c == '.' || c >= 0x80 || isDigit(c) ||
			(c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
	}
	return set
}()
