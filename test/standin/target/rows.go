package target

import "github.com/jackc/pgx/v5/pgproto3"

const flushThresholdBytes = 64 << 10 // row data sent between flushes

// rowWriter sends result rows, or buffers them for a portal that is fetched in
// parts.
type rowWriter struct {
	s               *session
	formats         []int16 // result formats as in Bind; empty means text
	sendDescription bool    // send a RowDescription before the first row
	buffer          bool
	buffered        []*pgproto3.DataRow
	pendingBytes    int // bytes since the last flush
}

// writeDescription sends the RowDescription unless it was already sent or is
// not requested.
func (w *rowWriter) writeDescription(columns []column) error {
	if w.sendDescription && columns != nil {
		w.s.backend.Send(rowDescription(columns, w.formats))
	}
	w.sendDescription = false
	return nil
}

func (w *rowWriter) writeRow(columns []column, values []any) error {
	if err := w.writeDescription(columns); err != nil {
		return err
	}
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		raw, err := encode(v, columns[i].oid, formatCode(w.formats, i))
		if err != nil {
			return err
		}
		row.Values[i] = raw
		w.pendingBytes += len(raw)
	}
	if w.buffer {
		w.buffered = append(w.buffered, row)
		return nil
	}
	w.s.backend.Send(row)
	if w.pendingBytes < flushThresholdBytes {
		return nil
	}
	w.pendingBytes = 0
	return w.s.backend.Flush()
}

// formatCode returns the format of column i as the Bind message defines it.
func formatCode(formats []int16, i int) int16 {
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
			Format:       formatCode(formats, i),
		})
	}
	return msg
}
