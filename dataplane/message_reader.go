package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/valyala/fasthttp"
)

// initialReadBufferBytes is the size of a new read buffer.
const initialReadBufferBytes = 4096

// messageReader reads the HTTP messages of one connection. Its buffer must hold the header of a message, so that its size limits the
// header. The buffer grows with a header up to the limit. The limit may be set anew for each message: that of a request is the limit in
// force when it begins, whatever the limit was when the connection was opened.
type messageReader struct {
	*bufio.Reader
	source      *pushbackReader
	headerLimit int
}

func newMessageReader(r io.Reader, headerLimit int) *messageReader {
	source := &pushbackReader{reader: r}
	return &messageReader{
		Reader:      bufio.NewReaderSize(source, min(initialReadBufferBytes, headerLimit)),
		source:      source,
		headerLimit: headerLimit,
	}
}

// setHeaderLimit sets the limit of the header of the next message, in bytes. A buffer that exceeds the limit, or that is too large to be
// retained, is replaced by a small one.
func (r *messageReader) setHeaderLimit(limit int) {
	r.headerLimit = limit
	if r.Size() > min(limit, maxRetainedBufferBytes) {
		r.resize(min(initialReadBufferBytes, limit))
	}
}

// grow doubles the buffer, up to the limit of the header. It reports false if the buffer has that size already.
func (r *messageReader) grow() bool {
	if r.Size() >= r.headerLimit {
		return false
	}
	r.resize(min(2*r.Size(), r.headerLimit))
	return true
}

// readHeader reads a header with read, which must read nothing if the header does not fit into the buffer. The buffer grows with the header.
func (r *messageReader) readHeader(read func(*bufio.Reader) error) error {
	for {
		err := read(r.Reader)
		if err == nil || !isSmallBuffer(err) || !r.grow() {
			return err
		}
	}
}

// isSmallBuffer reports whether a header does not fit into the buffer from which it was read.
func isSmallBuffer(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small)
}

// ReadSlice reads up to and including a delimiter, like the method of bufio.Reader, which it replaces. The buffer grows until it holds that
// much.
func (r *messageReader) ReadSlice(delimiter byte) ([]byte, error) {
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
func (r *messageReader) resize(size int) {
	unused, _ := r.Peek(r.Buffered())
	r.source.unread(unused)
	r.Reader = bufio.NewReaderSize(r.source, size)
	r.Peek(min(len(unused), r.Size())) // does not read from the source
}

// pushbackReader reads from another reader. Bytes that were read from it can be put back.
type pushbackReader struct {
	reader  io.Reader
	pending []byte // put back and not read again yet
}

// unread puts bytes back, before those that were put back earlier.
func (p *pushbackReader) unread(b []byte) { p.pending = slices.Concat(b, p.pending) }

// Read returns bytes that were put back, if there are any, or else reads from the other reader.
func (p *pushbackReader) Read(b []byte) (int, error) {
	if len(p.pending) == 0 {
		return p.reader.Read(b)
	}
	n := copy(b, p.pending)
	p.pending = p.pending[n:]
	if len(p.pending) == 0 {
		p.pending = nil // so that the bytes can be garbage-collected
	}
	return n, nil
}
