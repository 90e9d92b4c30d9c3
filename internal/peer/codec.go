package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"
)

// trackedArgs holds the arguments of a call and records whether writing of the
// request has started, after which part of it may have been sent.
type trackedArgs struct {
	args         any
	writeStarted atomic.Bool
}

// clientCodec is the gob codec of net/rpc, with support for trackedArgs. net/rpc
// calls the write methods under a lock and the read methods from one goroutine.
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
	out := body.(*trackedArgs)
	out.writeStarted.Store(true)
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
