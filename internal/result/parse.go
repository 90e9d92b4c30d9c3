package result

import (
	"regexp"
	"strconv"
	"time"
)

var errorText = regexp.MustCompile(`(?s)nettlewalk (\d+) \([a-z ]+(?:, retry after ([0-9a-zµ.]+))?\): (.*)$`)

// Parse reads the text of an Error, also behind the prefixes of wrapping
// errors. It lets an Error cross a transport that carries only texts.
func Parse(text string) (*Error, bool) {
	m := errorText.FindStringSubmatch(text)
	if m == nil {
		return nil, false
	}
	code, err := strconv.Atoi(m[1])
	if err != nil {
		return nil, false
	}
	e := &Error{Code: Code(code), Detail: m[3]}
	if m[2] == "" {
		return e, true
	}
	e.RetryAfter, err = time.ParseDuration(m[2])
	return e, err == nil
}
