package target

import "time"

// Value is one argument of a logged statement. At most one field is set; none
// means NULL.
type Value struct {
	Int   *int64   `json:"i,omitempty"`
	Float *float64 `json:"f,omitempty"`
	Text  *string  `json:"s,omitempty"`
	Bytes *[]byte  `json:"b,omitempty"`
}

func valueOf(v any) Value {
	switch v := v.(type) {
	case int64:
		return Value{Int: &v}
	case bool:
		n := int64(0)
		if v {
			n = 1
		}
		return Value{Int: &n}
	case float64:
		return Value{Float: &v}
	case string:
		return Value{Text: &v}
	case []byte:
		return Value{Bytes: &v}
	case time.Time:
		s := v.UTC().Format(timestampFormat)
		return Value{Text: &s}
	default:
		return Value{}
	}
}

// sqliteValue returns the value in the form that the SQLite driver binds.
func (v Value) sqliteValue() any {
	switch {
	case v.Int != nil:
		return *v.Int
	case v.Float != nil:
		return *v.Float
	case v.Text != nil:
		return *v.Text
	case v.Bytes != nil:
		return *v.Bytes
	default:
		return nil
	}
}

// Statement is one SQL statement of a committed transaction.
type Statement struct {
	SQL  string  `json:"sql"`
	Args []Value `json:"args,omitempty"`
}

// Entry is one log entry: a committed transaction, or the empty first entry of
// a new primary's term.
type Entry struct {
	Term       uint64      `json:"term"`
	Offset     uint64      `json:"offset"`
	Time       time.Time   `json:"time"` // commit time on the primary's clock; also now() in the entry's statements
	Statements []Statement `json:"statements,omitempty"`
}

func textValue(s string) Value { return Value{Text: &s} }
