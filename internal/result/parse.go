package result

import (
	"regexp"
	"strconv"
	"time"
)

var errorPattern = regexp.MustCompile(`(?s)nettlewalk (\d+) \([a-z ]+(?:, retry after ([0-9a-zµ.]+))?\): (.*)$`)

// Parse parses the text of an Error, also if it follows the prefixes of wrapping
// errors. It restores an Error after a transport that carries errors only as text.
func Parse(text string) (*Error, bool) {
	match := errorPattern.FindStringSubmatch(text)
	if match == nil {
		return nil, false
	}
	code, err := strconv.Atoi(match[1])
	if err != nil {
		return nil, false
	}
	e := &Error{Code: Code(code), Detail: match[3]}
	if match[2] == "" {
		return e, true
	}
	e.RetryAfter, err = time.ParseDuration(match[2])
	return e, err == nil
}
