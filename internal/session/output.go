package session

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	writeTimeout      = 20 * time.Second // a client that reads nothing for longer is disconnected
	maxRetainedBuffer = 16 << 10         // bytes; a larger write buffer is released after a flush
)

// output writes to a client. It buffers the last chunk, so that a short response
// and its ReadyForQuery leave in one write. It is not safe for concurrent use.
type output struct {
	conn    net.Conn
	pending []byte
	err     error // first error, after which the connection is unusable
}

// writeChunk buffers messages in wire format, after flushing what was buffered
// before. It doesn't retain messages.
func (o *output) writeChunk(messages []byte) error {
	if len(o.pending) > 0 {
		if err := o.flush(); err != nil {
			return err
		}
	}
	o.pending = append(o.pending, messages...)
	return o.err
}

// send buffers one message until the next flush. Errors are kept in o.err.
func (o *output) send(msg pgproto3.BackendMessage) {
	pending, err := msg.Encode(o.pending)
	if err != nil && o.err == nil {
		o.err = err
		return
	}
	o.pending = pending
}

// containsError reports whether messages in wire format contain an ErrorResponse.
func containsError(messages []byte) bool {
	const (
		headerSize    = 5 // type byte and length, which includes itself but not the type
		errorResponse = 'E'
	)
	for len(messages) >= headerSize {
		if messages[0] == errorResponse {
			return true
		}
		size := 1 + int(binary.BigEndian.Uint32(messages[1:headerSize]))
		if size < headerSize || size > len(messages) {
			return false
		}
		messages = messages[size:]
	}
	return false
}

// flush writes the buffered messages.
func (o *output) flush() error {
	if o.err != nil {
		return o.err
	}
	if len(o.pending) == 0 {
		return nil
	}
	if err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		o.err = err
		return err
	}
	n, err := o.conn.Write(o.pending)
	bytesToClients.Add(n)
	o.err = err
	o.pending = o.pending[:0]
	if cap(o.pending) > maxRetainedBuffer {
		o.pending = nil
	}
	return err
}
