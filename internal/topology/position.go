package topology

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position identifies an entry in a group's replication log by the term in which
// the entry was written and its offset. Positions are ordered by term, then by
// offset.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare returns -1 if p is before q, 0 if they are equal and 1 if p is after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// AtLeast reports whether p is equal to or after q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the zero position, which precedes every entry.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the position as TERM/OFFSET.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the format that String returns.
func ParsePosition(s string) (Position, error) {
	term, offset, _ := strings.Cut(s, "/")
	p := Position{}
	var termErr, offsetErr error
	p.Term, termErr = strconv.ParseUint(term, 10, 64)
	p.Offset, offsetErr = strconv.ParseUint(offset, 10, 64)
	if termErr != nil || offsetErr != nil || p.String() != s {
		return Position{}, fmt.Errorf("position %q: want TERM/OFFSET", s)
	}
	return p, nil
}

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.AtLeast(q) {
		return p
	}
	return q
}
