package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"slices"
)

// initialReadBufferBytes is the size of a new read buffer.
const initialReadBufferBytes = 4096

// requestReader reads the requests of one client's connection. Its buffer must hold the header of a request, so that its size limits the
// header. The limit is set anew for each request: the buffer grows with a header up to the limit in force when its request begins, whatever
// the limit was when the connection was opened.
type requestReader struct {
	*bufio.Reader
	source      *pushbackConn
	headerLimit int
}

func newRequestReader(conn net.Conn) requestReader {
	source := &pushbackConn{conn: conn}
	return requestReader{
		Reader:      bufio.NewReaderSize(source, initialReadBufferBytes),
		source:      source,
		headerLimit: initialReadBufferBytes,
	}
}

// setHeaderLimit sets the limit of the header of the next request, in bytes. A buffer that exceeds the limit, or that is too large to be
// retained, is replaced by a small one.
func (r *requestReader) setHeaderLimit(limit int) {
	r.headerLimit = limit
	if r.Size() > min(limit, maxRetainedBufferBytes) {
		r.resize(min(initialReadBufferBytes, limit))
	}
}

// grow doubles the buffer, up to the limit of the header. It reports false if the buffer has that size already.
func (r *requestReader) grow() bool {
	if r.Size() >= r.headerLimit {
		return false
	}
	r.resize(min(2*r.Size(), r.headerLimit))
	return true
}

// ReadSlice reads up to and including a delimiter, like the method of bufio.Reader, which it replaces. The buffer grows until it holds that
// much.
func (r *requestReader) ReadSlice(delimiter byte) ([]byte, error) {
	for {
		buffered, _ := r.Peek(r.Buffered())
		if bytes.IndexByte(buffered, delimiter) >= 0 {
			return r.Reader.ReadSlice(delimiter)
		}
		_, err := r.Peek(len(buffered) + 1)
		if err != nil && !(errors.Is(err, bufio.ErrBufferFull) && r.grow()) {
			return nil, err
		}
	}
}

// resize replaces the buffer by one of another size. Bytes in the buffer that were not used yet are read again.
func (r *requestReader) resize(size int) {
	unused, _ := r.Peek(r.Buffered())
	r.source.unread(unused)
	r.Reader = bufio.NewReaderSize(r.source, size)
	r.Peek(min(len(unused), r.Size())) // does not read from the connection
}

// pushbackConn reads from a connection. Bytes that were read from it can be put back.
type pushbackConn struct {
	conn    net.Conn
	pending []byte // put back and not read again yet
}

// unread puts bytes back, before those that were put back earlier.
func (c *pushbackConn) unread(b []byte) { c.pending = slices.Concat(b, c.pending) }

// Read returns bytes that were put back, if there are any, or else reads from the connection.
func (c *pushbackConn) Read(b []byte) (int, error) {
	if len(c.pending) == 0 {
		return c.conn.Read(b)
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.pending = nil // so that the bytes can be garbage-collected
	}
	return n, nil
}
