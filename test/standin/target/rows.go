package target

import "github.com/jackc/pgx/v5/pgproto3"

const flushAfter = 64 << 10 // bytes of rows kept before they are sent

// rowWriter sends an answer's rows, or keeps them for a portal that is read
// in parts.
type rowWriter struct {
	s        *session
	formats  []int16 // as in Bind; none: text
	announce bool    // send a RowDescription first
	keep     bool
	kept     []*pgproto3.DataRow
	pending  int // bytes since the last flush
}

// describe sends the RowDescription unless it was sent or isn't wanted.
func (w *rowWriter) describe(columns []column) error {
	if w.announce && columns != nil {
		w.s.be.Send(rowDescription(columns, w.formats))
	}
	w.announce = false
	return nil
}

func (w *rowWriter) row(columns []column, values []any) error {
	if err := w.describe(columns); err != nil {
		return err
	}
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		raw, err := encode(v, columns[i].oid, formatOf(w.formats, i))
		if err != nil {
			return err
		}
		row.Values[i] = raw
		w.pending += len(raw)
	}
	if w.keep {
		w.kept = append(w.kept, row)
		return nil
	}
	w.s.be.Send(row)
	if w.pending < flushAfter {
		return nil
	}
	w.pending = 0
	return w.s.be.Flush()
}

func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return textFormat
	}
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	msg := &pgproto3.RowDescription{}
	for i, c := range columns {
		msg.Fields = append(msg.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return msg
}
