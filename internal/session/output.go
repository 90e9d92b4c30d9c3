package session

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	writeTimeout = 20 * time.Second // a caller that reads nothing for longer loses its connection
	keepBuffer   = 16 << 10         // bytes of the write buffer kept between batches
)

// output writes to a caller. It holds back the last chunk, so that a short
// answer and its ReadyForQuery leave in one write. Not safe for concurrent use.
type output struct {
	conn    net.Conn
	pending []byte
	err     error // first failure; the connection is of no more use
}

// chunk takes messages in wire format and keeps nothing of their memory.
func (o *output) chunk(messages []byte) error {
	if len(o.pending) > 0 {
		if err := o.flush(); err != nil {
			return err
		}
	}
	o.pending = append(o.pending, messages...)
	return o.err
}

// send adds one message.
func (o *output) send(msg pgproto3.BackendMessage) {
	pending, err := msg.Encode(o.pending)
	if err != nil && o.err == nil {
		o.err = err
		return
	}
	o.pending = pending
}

// holdsError tells whether an ErrorResponse is among messages in wire format.
func holdsError(messages []byte) bool {
	const (
		headerSize    = 5 // type, then a length that counts itself
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

// flush writes what is held back.
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
	bytesToCallers.Add(n)
	o.err = err
	o.pending = o.pending[:0]
	if cap(o.pending) > keepBuffer {
		o.pending = nil
	}
	return err
}
