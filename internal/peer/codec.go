package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"
)

// outgoing marks a call's arguments from the moment on that bytes may leave.
type outgoing struct {
	args    any
	started atomic.Bool
}

// clientCodec is net/rpc's own gob codec, but for the mark in outgoing.
// net/rpc calls its write side under a lock and its read side from one goroutine.
type clientCodec struct {
	conn io.ReadWriteCloser
	dec  *gob.Decoder
	enc  *gob.Encoder
	buf  *bufio.Writer
}

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	buf := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	out.started.Store(true)
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(out.args); err != nil {
		return err
	}
	return c.buf.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
